#include "bench/linear_fit.h"

#include <catch2/catch.hpp>

using namespace orchidlead::bench;

TEST_CASE("A line through points on a line is found without residual")
{
    const auto fit = fitLine({{1, 5}, {2, 7}, {10, 23}});
    CHECK(fit.slope == Approx(2));
    CHECK(fit.intercept == Approx(3));
    CHECK(fit.at(350) == Approx(703));
    CHECK(fit.residual == Approx(0).margin(1e-9));
}

TEST_CASE("The residual is the largest distance over the largest value")
{
    const auto fit = fitLine({{0, 0}, {1, 3}, {2, 0}});
    CHECK(fit.slope == Approx(0));
    CHECK(fit.intercept == Approx(1));
    CHECK(fit.residual == Approx(2.0 / 3.0));
}
