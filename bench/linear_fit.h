#pragma once

#include <vector>

namespace orchidlead::bench {

/// One measured point.
struct sample
{
    double size = 0; ///< nodes, servers, customers …
    double value = 0;
};

/// A straight line through samples, by least squares.
struct linear_fit
{
    double intercept = 0;
    double slope = 0;
    double residual = 0; ///< largest distance of a sample from the line, over the largest value

    [[nodiscard]] double at(double size) const { return intercept + slope * size; }
};

[[nodiscard]] linear_fit fitLine(const std::vector<sample> &samples);

} // namespace orchidlead::bench
