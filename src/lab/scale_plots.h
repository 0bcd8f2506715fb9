// Plots of fitted costs, drawn by gnuplot.
#pragma once

#include <string>
#include <vector>

#include "lab/scale_fits.h"

namespace rushhill::lab {

// Draws a picture for each part of the program into the directory: the cost as a multiple of its first point,
// by the size as a multiple of the first size. False: gnuplot is not there or failed, which is printed.
bool draw_plots(const std::vector<FittedFigure>& fits, const std::string& directory);

}  // namespace rushhill::lab
