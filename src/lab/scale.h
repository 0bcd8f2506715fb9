// `rushhill lab scale`: what the program's parts cost by the sizes of a fleet, as lines fitted to points, and
// a run near the size to design for beside what the lines foretell.
#pragma once

#include <string>
#include <vector>

namespace rushhill::lab {

struct Scale {
  std::string only;     // costs whose names hold this; empty: all
  int repeats = 3;      // runs of each point for user CPU, of which the least counts
  int jobs = 2;         // points at once, a process each
  bool json = false;    // a line each cost and figure
  bool list = false;    // names the costs and runs nothing
  bool size = false;    // instead: the runs near the size, beside what the slopes foretell
  bool faults = false;  // instead: faults beside many routers
  bool small = false;   // the points that continuous integration runs
  std::vector<double>
      at{};           // these sizes instead of each cost's own; fewer than three are told without a line
  std::string from;   // a file of what --json printed: told and drawn again, nothing is measured
  std::string plots;  // a folder for plots, drawn by gnuplot; empty: none
};

int scale(const Scale& of);  // 1: something could not be measured

}  // namespace rushhill::lab
