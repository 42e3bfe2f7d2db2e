#include "bench/linear_fit.h"

#include <algorithm>
#include <cmath>

namespace orchidlead::bench {

linear_fit fitLine(const std::vector<sample> &samples)
{
    linear_fit fit;
    if (samples.empty())
        return fit;
    const auto count = static_cast<double>(samples.size());
    double sizes = 0;
    double values = 0;
    for (const auto &one : samples) {
        sizes += one.size / count;
        values += one.value / count;
    }
    double covariance = 0;
    double variance = 0;
    double largest = 0;
    for (const auto &one : samples) {
        covariance += (one.size - sizes) * (one.value - values);
        variance += (one.size - sizes) * (one.size - sizes);
        largest = std::max(largest, std::abs(one.value));
    }
    fit.slope = variance > 0 ? covariance / variance : 0;
    fit.intercept = values - fit.slope * sizes;
    for (const auto &one : samples) {
        const double distance = std::abs(one.value - fit.at(one.size));
        fit.residual = std::max(fit.residual, largest > 0 ? distance / largest : 0);
    }
    return fit;
}

} // namespace orchidlead::bench
