// The table of fits that `rushhill lab scale` prints.
#pragma once

#include <string>

#include "lab/scale_fits.h"

namespace rushhill::lab {

// Three significant digits; none after the point from 100 on.
std::string figure_text(double value);

void print_table_head();
void print_table_row(const FittedFigure& fitted);

}  // namespace rushhill::lab
