#include "lab/scale_plots.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <map>

namespace rushhill::lab {
namespace {

constexpr std::array<const char*, 6> plotted_figures{
    scale::figure_name::instructions, scale::figure_name::next_request, scale::figure_name::receiving,
    scale::figure_name::bytes,        scale::figure_name::port_bytes,   scale::figure_name::messages};

using FitsByPart = std::map<std::string, std::vector<const FittedFigure*>>;

bool is_plotted(const FittedFigure& fitted) {
  return std::ranges::find(plotted_figures, fitted.figure) != plotted_figures.end() &&
         fitted.fit.costs.front() > 0;
}

// The part of the program is what stands before the first point of a cost's name.
FitsByPart plotted_by_part(const std::vector<FittedFigure>& fits) {
  FitsByPart parts;
  for (const FittedFigure& fitted : fits) {
    const std::string& name = fitted.cost->name;
    if (is_plotted(fitted)) parts[name.substr(0, name.find('.'))].push_back(&fitted);
  }
  return parts;
}

// The points of one curve, as gnuplot reads them from its commands.
std::string points_text(const scale::Fit& fit) {
  std::string text;
  for (std::size_t i = 0; i < fit.sizes.size(); ++i) {
    text += std::to_string(fit.sizes[i] / fit.sizes[0]) + " " + std::to_string(fit.costs[i] / fit.costs[0]) +
            "\n";
  }
  return text + "e\n";
}

std::string commands_for(const std::string& part, const std::vector<const FittedFigure*>& fits,
                         const std::string& directory) {
  std::string text =
      "set terminal svg size 1200,620\nset output '" + directory + "/" + part +
      ".svg'\nset logscale xy\nset grid\nset key outside right top vertical\nset title '" + part +
      ": times the first point, by times the first size'\nplot x dashtype 2 lc 'gray' title 'as the size'"
      ", x**2 dashtype 3 lc 'gray' title 'as its square'";
  for (const FittedFigure* fitted : fits)
    text += ", '-' with linespoints title '" + fitted->cost->name + ", " + fitted->figure + "' noenhanced";
  text += "\n";
  for (const FittedFigure* fitted : fits) text += points_text(fitted->fit);
  return text;
}

bool run_gnuplot(const std::string& commands) {
  FILE* const gnuplot = popen("gnuplot", "w");
  if (gnuplot == nullptr) {
    std::cerr << "gnuplot does not start\n";
    return false;
  }
  std::fputs(commands.c_str(), gnuplot);
  if (pclose(gnuplot) == 0) return true;
  std::cerr << "gnuplot is not there or failed\n";
  return false;
}

}  // namespace

bool draw_plots(const std::vector<FittedFigure>& fits, const std::string& directory) {
  std::filesystem::create_directories(directory);
  return std::ranges::all_of(plotted_by_part(fits), [&](const auto& part) {
    return run_gnuplot(commands_for(part.first, part.second, directory));
  });
}

}  // namespace rushhill::lab
