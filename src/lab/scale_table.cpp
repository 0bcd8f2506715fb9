#include "lab/scale_table.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <iomanip>
#include <iostream>

namespace rushhill::lab {
namespace {

constexpr double first_without_decimals = 100;
constexpr double most_steepening_shown = 100;
constexpr std::size_t longest_number = 32;

// Widths of the columns.
constexpr int cost_width = 36;
constexpr int figure_width = 34;
constexpr int size_width = 8;
constexpr int value_width = 13;
constexpr int slope_width = 11;
constexpr int residual_width = 9;
constexpr int steepening_width = 7;

std::string steepening_text(double steepening) {
  const bool is_shown = std::abs(steepening) < most_steepening_shown;
  if (!is_shown) return "-";
  std::array<char, longest_number> text{};
  std::snprintf(text.data(), text.size(), "%.2f", steepening);
  return text.data();
}

}  // namespace

std::string figure_text(double value) {
  std::array<char, longest_number> text{};
  std::snprintf(text.data(), text.size(), std::abs(value) >= first_without_decimals ? "%.0f" : "%.3g", value);
  return text.data();
}

void print_table_head() {
  std::cout << "figures are for one unit; base and slope by least squares, residual and steepening say "
               "whether it is a line\n"
            << std::left << std::setw(cost_width) << "cost" << std::setw(figure_width) << "figure"
            << std::right << std::setw(size_width) << "from" << std::setw(size_width) << "to"
            << std::setw(value_width) << "first" << std::setw(value_width) << "last" << std::setw(value_width)
            << "base" << std::setw(slope_width) << "slope" << std::setw(residual_width) << "off by"
            << std::setw(steepening_width) << "steep"
            << "  shape\n";
}

void print_table_row(const FittedFigure& fitted) {
  const scale::Fit& fit = fitted.fit;
  std::cout << std::left << std::setw(cost_width) << fitted.cost->name << std::setw(figure_width)
            << fitted.figure << std::right << std::setw(size_width) << figure_text(fit.sizes.front())
            << std::setw(size_width) << figure_text(fit.sizes.back()) << std::setw(value_width)
            << figure_text(fit.costs.front()) << std::setw(value_width) << figure_text(fit.costs.back())
            << std::setw(value_width) << figure_text(fit.base) << std::setw(slope_width)
            << figure_text(fit.slope) << std::setw(residual_width) << figure_text(100 * fit.residual) + "%"
            << std::setw(steepening_width) << steepening_text(fit.steepening) << "  " << scale::name_of(fit)
            << "\n"
            << std::flush;
}

}  // namespace rushhill::lab
