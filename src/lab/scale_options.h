// The options of `rushhill lab scale`.
#pragma once

#include <string>
#include <vector>

namespace rushhill::lab {

// What to measure and how to print it, as given on the command line.
struct ScaleOptions {
  std::string only{};        // costs whose names contain this; empty: all
  int repeats = 3;           // runs of each point for user time, of which the least counts
  int jobs = 2;              // points measured at once, in a process each
  bool json = false;         // a line of JSON for each cost and figure
  bool list = false;         // names the costs and measures nothing
  bool size = false;         // instead: fleets near the size to design for, beside what is predicted
  bool faults = false;       // instead: fleets in which something fails
  bool small = false;        // the sizes for continuous integration
  std::vector<double> at{};  // these sizes instead of each cost's own; fewer than three are printed unfitted
  std::string from{};        // a file written with --json: printed and drawn again, nothing is measured
  std::string plots{};       // a directory for plots, drawn by gnuplot; empty: none
};

}  // namespace rushhill::lab
