#pragma once

#include <string>
#include <utility>
#include <vector>

namespace orchidlead::bench {

/// One line of a plot.
struct plot_line
{
    std::string name;
    std::vector<std::pair<double, double>> points; ///< x ascending
};

/// A plot of lines over time, with one span of time marked.
struct line_plot
{
    std::string title;
    std::string xLabel;
    std::string yLabel;
    double yMax = 1;
    std::pair<double, double> marked; ///< x from and to
    std::vector<plot_line> lines;
};

/// Draws the plot as an SVG document.
[[nodiscard]] std::string drawSvg(const line_plot &plot);

} // namespace orchidlead::bench
