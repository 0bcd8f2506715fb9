#include "lab/scale.h"

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <vector>

#include "routing/time.h"
#include "scale/costs.h"
#include "scale/fault_run.h"
#include "scale/fit.h"
#include "scale/fleet_run.h"
#include "scale/function_picker.h"

namespace rushhill::lab {
namespace {

using Json = nlohmann::json;

constexpr rlim_t most_memory = 4'000'000'000;  // bytes of address space of one point; two at once are 8 GB
#ifdef __SANITIZE_ADDRESS__
constexpr bool limited = false;  // the sanitizer's own maps are beyond any limit
#else
constexpr bool limited = true;
#endif

// Where the machine counts no instructions, or for the clock alone.
class NoCounter final : public scale::Counter {
 public:
  std::uint64_t read() override { return 0; }
  bool counts() const override { return false; }
};

// One point in a process of its own, so that the allocator and the memory held begin afresh.
struct Run {
  pid_t process = 0;
  int read_end = -1;
};

template <typename Measure>
Run begin(bool counted, Measure measure_at) {
  int ends[2];
  if (pipe(ends) != 0) throw std::runtime_error("no pipe");
  std::cout.flush();
  const pid_t process = fork();
  if (process < 0) throw std::runtime_error("no process");
  if (process > 0) {
    close(ends[1]);
    return {process, ends[0]};
  }
  close(ends[0]);
  const rlimit limit{most_memory, most_memory};
  if (limited) setrlimit(RLIMIT_AS, &limit);
  Json told;
  try {
    scale::InstructionCounter instructions;
    NoCounter none;
    scale::Counter& counter = counted ? static_cast<scale::Counter&>(instructions) : none;
    scale::Figures figures = measure_at(counter);
    if (!counter.counts())
      std::erase_if(figures, [](const auto& figure) { return figure.first.starts_with("instructions"); });
    if (counted) figures.erase("user ns");
    told = figures;
  } catch (const std::exception& wrong) {
    told = Json{{"failed", wrong.what()}};
  }
  const std::string text = told.dump();
  const ssize_t written = write(ends[1], text.data(), text.size());
  _exit(written == static_cast<ssize_t>(text.size()) ? 0 : 1);
}

Json end(const Run& run) {
  std::string text;
  char part[4'096];
  for (ssize_t got = 0; (got = read(run.read_end, part, sizeof part)) > 0;)
    text.append(part, static_cast<std::size_t>(got));
  close(run.read_end);
  int status = 0;
  waitpid(run.process, &status, 0);
  const Json told = Json::parse(text, nullptr, false);
  return told.is_object() ? told : Json{{"failed", "the process ended"}};
}

struct Point {
  double size = 0;
  std::map<std::string, double> figures{};  // of several runs the least
  std::string failed{};
};

// Every point counted once and timed several times, `jobs` at a time.
std::vector<Point> measure(const scale::Cost& cost, const Scale& of) {
  std::vector<Point> points;
  const std::vector<double>& own = of.small ? cost.small_points : cost.points;
  for (const double size : of.at.empty() ? own : of.at) points.push_back({size});
  struct Under {
    std::size_t point = 0;
    Run run;
  };
  std::deque<Under> under_way;
  const auto take = [&] {
    const Under done = under_way.front();
    under_way.pop_front();
    Point& point = points[done.point];
    const Json told = end(done.run);
    if (told.contains("failed")) {
      point.failed = told.at("failed").get<std::string>();
      return;
    }
    for (const auto& [name, value] : told.items()) {
      const auto [it, fresh] = point.figures.try_emplace(name, value.get<double>());
      if (!fresh && name == "user ns") it->second = std::min(it->second, value.get<double>());
    }
  };
  for (int round = 0; round <= of.repeats; ++round) {
    for (std::size_t i = 0; i < points.size(); ++i) {
      if (under_way.size() >= static_cast<std::size_t>(of.jobs)) take();
      under_way.push_back(
          {i, begin(round == 0, [&](scale::Counter& c) { return cost.measure(points[i].size, c); })});
    }
  }
  while (!under_way.empty()) take();
  return points;
}

struct Row {
  const scale::Cost* cost = nullptr;
  std::string figure;
  scale::Fit fit;
};

std::vector<Row> rows_of(const scale::Cost& cost, const std::vector<Point>& points) {
  std::vector<Row> rows;
  std::set<std::string> names;
  for (const Point& point : points) {
    for (const auto& [name, value] : point.figures) names.insert(name);
  }
  for (const std::string& name : names) {
    std::vector<double> sizes, values;
    for (const Point& point : points) {
      const auto it = point.figures.find(name);
      if (it != point.figures.end()) sizes.push_back(point.size), values.push_back(it->second);
    }
    const bool enough = sizes.size() == points.size() || (name == "user ns" && sizes.size() >= 3);
    if (enough) rows.push_back({&cost, name, scale::fit({.sizes = sizes, .costs = values})});
  }
  return rows;
}

std::string figure_text(double value) {
  char text[32];
  std::snprintf(text, sizeof text, std::abs(value) >= 100 ? "%.0f" : "%.3g", value);
  return text;
}

void print_head() {
  std::cout << "figures are for one unit; base and slope by least squares, residual and steepening say "
               "whether it is a line\n"
            << std::left << std::setw(36) << "cost" << std::setw(34) << "figure" << std::right << std::setw(8)
            << "from" << std::setw(8) << "to" << std::setw(13) << "first" << std::setw(13) << "last"
            << std::setw(13) << "base" << std::setw(11) << "slope" << std::setw(9) << "off by" << std::setw(7)
            << "steep"
            << "  shape\n";
}
void print(const Row& row) {
  const scale::Fit& fit = row.fit;
  char steep[16];
  std::snprintf(steep, sizeof steep, std::abs(fit.steepening) < 100 ? "%.2f" : "-", fit.steepening);
  std::cout << std::left << std::setw(36) << row.cost->name << std::setw(34) << row.figure << std::right
            << std::setw(8) << figure_text(fit.sizes.front()) << std::setw(8) << figure_text(fit.sizes.back())
            << std::setw(13) << figure_text(fit.costs.front()) << std::setw(13)
            << figure_text(fit.costs.back()) << std::setw(13) << figure_text(fit.base) << std::setw(11)
            << figure_text(fit.slope) << std::setw(8) << figure_text(100 * fit.residual) << "%"
            << std::setw(7) << steep << "  " << scale::name_of(fit) << "\n"
            << std::flush;
}
Json json_of(const Row& row) {
  Json points = Json::array();
  for (std::size_t i = 0; i < row.fit.sizes.size(); ++i)
    points.push_back({row.fit.sizes[i], row.fit.costs[i]});
  return {{"cost", row.cost->name},       {"figure", row.figure},
          {"unit", row.cost->unit},       {"varied", row.cost->varied},
          {"fixed", row.cost->fixed},     {"mechanism", row.cost->mechanism},
          {"points", std::move(points)},  {"shape", scale::name_of(row.fit)},
          {"base", row.fit.base},         {"slope", row.fit.slope},
          {"residual", row.fit.residual}, {"steepening", row.fit.steepening},
          {"power", row.fit.power}};
}

// The fit of one figure of one cost, measured now.
scale::Fit fit_of(const std::string& name, const std::string& figure, const Scale& of) {
  Scale once = of;
  once.repeats = 0;
  for (const scale::Cost& cost : scale::costs()) {
    if (cost.name != name) continue;
    for (const Row& row : rows_of(cost, measure(cost, once))) {
      if (row.figure == figure) return row.fit;
    }
  }
  throw std::runtime_error(name + ": " + figure + " was not counted");
}
double at(const scale::Fit& fit, double size, const char* what) {
  const auto value = fit.at(size);
  if (!value) throw std::runtime_error(std::string(what) + ": no line, and beyond its points");
  return *value;
}

struct Foretold {
  double instructions = 0, bytes = 0;
};

// What the slopes say of a router in a fleet of that size, before it is run.
class Slopes {
 public:
  explicit Slopes(const Scale& of)
      : second_(fit_of("core.second-by-requests", "instructions", of)),
        request_(fit_of("module.request-by-servers", "instructions", of)),
        tick_(fit_of("module.tick-by-servers", "instructions", of)),
        memory_(fit_of("module.memory-by-servers", "bytes", of)),
        met_(fit_of("module.memory-by-servers", "functions met", of)),
        held_(fit_of("module.memory-by-functions-held", "bytes", of)) {}
  // The core's second is known beside a hundred servers: what the module costs more beside more is added.
  // Memory is servers by functions, and what a server and a function cost by themselves.
  Foretold of(const scale::SimulationSize& size, double functions_met) const {
    const double servers = size.fleet.servers, least = request_.sizes.front();
    const double more = at(request_, servers, "request") - at(request_, least, "request");
    const double more_ticks = at(tick_, servers, "tick") - at(tick_, least, "tick");
    const double function = memory_.base / met_.costs.back();
    const double each = (held_.slope - function) / servers_of_held;
    const double server = memory_.slope - each * met_.costs.back();
    return {at(second_, size.fleet.requests_per_second, "second") + size.fleet.requests_per_second * more +
                ticks * more_ticks,
            servers * (server + each * functions_met) + function * functions_met};
  }
  double met() const { return met_.costs.back(); }

 private:
  static constexpr double servers_of_held = 250;  // that module.memory-by-functions-held is measured beside
  static constexpr double ticks = 10;             // a second
  scale::Fit second_, request_, tick_, memory_, met_, held_;
};

// Functions of that many that are met in so many calls drawn: counted, not worked out.
double met_in(const scale::FleetSize& sizes, double calls) {
  scale::FunctionPicker drawn(sizes, 3);
  std::set<int> met;
  for (int i = 0; i < static_cast<int>(calls); ++i) met.insert(drawn.next());
  return static_cast<double>(met.size());
}

int beside(const char* what, const scale::SimulationSize& size, const Slopes& slopes, const Scale& of) {
  constexpr double kept = 120;  // seconds that the module keeps a function not called
  const double calls = size.fleet.requests_per_second *
                       std::min(kept, static_cast<double>(size.warm_up + size.measured_span) / 10'000);
  const Foretold foretold = slopes.of(size, met_in(size.fleet, calls));
  std::cerr << what << ": foretold " << figure_text(foretold.instructions) << " instructions a second, "
            << figure_text(foretold.bytes) << " bytes a router"
            << "\n"
            << std::flush;
  const auto run = [&](scale::Counter& counter) { return scale::run_fleet(size, counter).figures(); };
  Json found = end(begin(true, run));
  for (int i = 0; i < of.repeats && !found.contains("failed"); ++i) {
    const Json timed = end(begin(false, run));
    const double ns = timed.value("user ns", 0.0);
    if (ns > 0) found["user ns"] = std::min(ns, found.value("user ns", ns));
  }
  if (found.contains("failed")) {
    std::cerr << what << ": " << found.at("failed").get<std::string>() << '\n';
    return 1;
  }
  const Json row{{"run", what},
                 {"servers", size.fleet.servers},
                 {"functions", size.fleet.functions},
                 {"instances", size.instances},
                 {"routers", size.routers},
                 {"requests a second at each", size.fleet.requests_per_second},
                 {"foretold", {{"instructions", foretold.instructions}, {"bytes", foretold.bytes}}},
                 {"found", found}};
  if (of.json) {
    std::cout << row.dump() << "\n" << std::flush;
    return 0;
  }
  std::cout << what << ": " << size.routers << " routers, " << size.fleet.servers << " servers with "
            << size.instances << " instances, " << size.fleet.functions << " functions, "
            << size.fleet.requests_per_second << " requests a second at each\n";
  for (const auto& [name, value] : found.items()) {
    std::cout << "  " << std::left << std::setw(22) << name << std::right << std::setw(16)
              << figure_text(value.get<double>());
    const double said = name == "instructions" ? foretold.instructions : name == "bytes" ? foretold.bytes : 0;
    if (said > 0)
      std::cout << "   foretold " << figure_text(said) << ", off by "
                << figure_text(100 * (value.get<double>() / said - 1)) << "%";
    std::cout << "\n" << std::flush;
  }
  return 0;
}

// One router told the whole, then all routers beside a quarter of the servers and a hundredth of the
// requests, which fit into one process.
int run_sizes(const Scale& of) {
  constexpr Time second = 10'000;
  const Slopes slopes(of);
  scale::SimulationSize whole{.fleet = {.servers = 4'000},
                              .instances = 160'000,
                              .warm_up = 120 * second,
                              .measured_span = 30 * second};
  scale::SimulationSize all{.fleet = {.servers = 1'000, .requests_per_second = 1.62},
                            .routers = 680,
                            .instances = 40'000,
                            .warm_up = 40 * second,
                            .measured_span = 20 * second};
  if (of.small) {
    whole.fleet.servers = 250, whole.instances = 10'000, whole.warm_up = whole.measured_span = 10 * second;
    all.fleet.servers = 125, all.routers = 68, all.instances = 5'000,
    all.warm_up = all.measured_span = 10 * second;
  }
  const int one = beside("one router told the whole", whole, slopes, of);
  return std::max(one, beside("all routers", all, slopes, of));
}

// Faults beside as many routers as run_sizes has.
int run_faults(const Scale& of) {
  constexpr Time second = 10'000;
  scale::SimulationSize size{.fleet = {.servers = 1'000, .requests_per_second = 1.62},
                             .routers = 680,
                             .instances = 40'000,
                             .warm_up = 40 * second,
                             .measured_span = 30 * second};
  if (of.small)
    size.fleet.servers = 120, size.fleet.requests_per_second = 4, size.routers = 24, size.instances = 4'800;
  int wrong = 0;
  for (const scale::Fault& fault : scale::faults(size)) {
    if (fault.name.find(of.only) == std::string::npos) continue;
    const Json found = end(begin(
        true, [&](scale::Counter& counter) { return scale::run_fault(size, fault, counter).figures(); }));
    if (found.contains("failed")) wrong = 1;
    if (of.json) std::cout << Json{{"fault", fault.name}, {"found", found}}.dump() << "\n" << std::flush;
    if (of.json) continue;
    std::cout << fault.name << ":";
    for (const auto& [name, value] : found.items())
      std::cout << "  " << name << ' '
                << (value.is_number() ? figure_text(value.get<double>()) : value.dump());
    std::cout << "\n" << std::flush;
  }
  return wrong;
}

// A picture a part: how many times its first point each cost is, by how many times its first size.
int draw(const std::vector<Row>& rows, const std::string& folder) {
  std::filesystem::create_directories(folder);
  static const std::set<std::string> growth{
      "instructions", "instructions of the next request", "instructions of hearing", "bytes", "port bytes",
      "messages"};
  std::map<std::string, std::vector<const Row*>> parts;
  for (const Row& row : rows) {
    const bool shown = growth.contains(row.figure) && row.fit.costs.front() > 0;
    if (shown) parts[row.cost->name.substr(0, row.cost->name.find('.'))].push_back(&row);
  }
  for (const auto& [part, shown] : parts) {
    FILE* const plot = popen("gnuplot", "w");
    if (plot == nullptr) return std::cerr << "gnuplot does not start\n", 1;
    std::string text =
        "set terminal svg size 1200,620\nset output '" + folder + "/" + part +
        ".svg'\nset logscale xy\nset grid\nset key outside right top vertical\nset title '" + part +
        ": times the first point, by times the first size'\nplot x dashtype 2 lc 'gray' title 'as the size'"
        ", x**2 dashtype 3 lc 'gray' title 'as its square'";
    for (const Row* row : shown)
      text += ", '-' with linespoints title '" + row->cost->name + ", " + row->figure + "' noenhanced";
    text += "\n";
    for (const Row* row : shown) {
      for (std::size_t i = 0; i < row->fit.sizes.size(); ++i)
        text += std::to_string(row->fit.sizes[i] / row->fit.sizes[0]) + " " +
                std::to_string(row->fit.costs[i] / row->fit.costs[0]) + "\n";
      text += "e\n";
    }
    std::fputs(text.c_str(), plot);
    if (pclose(plot) != 0) return std::cerr << "gnuplot is not there or failed\n", 1;
  }
  return 0;
}

}  // namespace

// What was measured before, from its lines of JSON.
std::vector<Row> read_rows(const std::string& file) {
  std::ifstream in(file);
  if (!in.is_open()) throw std::runtime_error(file + ": cannot be read");
  std::vector<Row> rows;
  for (std::string line; std::getline(in, line);) {
    const Json told = Json::parse(line, nullptr, false);
    if (!told.is_object() || !told.contains("points")) continue;
    for (const scale::Cost& cost : scale::costs()) {
      if (cost.name != told.value("cost", "")) continue;
      std::vector<double> sizes, values;
      for (const Json& point : told.at("points")) {
        sizes.push_back(point.at(0).get<double>());
        values.push_back(point.at(1).get<double>());
      }
      rows.push_back({&cost, told.value("figure", ""), scale::fit({.sizes = sizes, .costs = values})});
    }
  }
  return rows;
}

int scale(const Scale& of) {
  if (of.size) return run_sizes(of);
  if (of.faults) return run_faults(of);
  int wrong = 0;
  std::vector<Row> all;
  if (!of.list && !of.json && of.at.size() != 1 && of.at.size() != 2) print_head();
  if (!of.from.empty()) {
    const std::vector<Row> rows = read_rows(of.from);
    for (const Row& row : rows) of.json ? void(std::cout << json_of(row).dump() << '\n') : print(row);
    return of.plots.empty() ? 0 : draw(rows, of.plots);
  }
  for (const scale::Cost& cost : scale::costs()) {
    if (cost.name.find(of.only) == std::string::npos) continue;
    if (of.list) {
      std::cout << cost.name << ": for a " << cost.unit << "; " << cost.mechanism << '\n';
      continue;
    }
    const std::vector<Point> points = measure(cost, of);
    for (const Point& point : points) {
      if (point.failed.empty()) continue;
      wrong = 1;
      std::cerr << cost.name << " at " << point.size << ": " << point.failed << '\n';
    }
    if (points.size() < 3) {
      for (const Point& point : points) {
        for (const auto& [name, value] : point.figures)
          std::cout << Json{{"cost", cost.name},
                            {"figure", name},
                            {"unit", cost.unit},
                            {cost.varied, point.size},
                            {"is", value}}
                           .dump()
                    << "\n"
                    << std::flush;
      }
      continue;
    }
    for (Row& row : rows_of(cost, points)) {
      if (of.json) std::cout << json_of(row).dump() << "\n" << std::flush;
      if (!of.json) print(row);
      all.push_back(std::move(row));
    }
  }
  if (!of.plots.empty() && draw(all, of.plots) != 0) wrong = 1;
  return wrong;
}

}  // namespace rushhill::lab
