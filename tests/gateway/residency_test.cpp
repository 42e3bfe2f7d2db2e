#include "gateway/servers/residency.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

const region_id North("north");
const region_id South("south");

} // namespace

TEST_CASE("work of which nothing is said may be done anywhere")
{
    const auto any = residencyOf({}, {});
    CHECK_FALSE(any.bound());
    CHECK(any.allows(North));
    CHECK(any.allows(region_id{}));
}

TEST_CASE("a list of regions binds, whoever gives it")
{
    for (const auto &bound : {residencyOf({North}, {}), residencyOf({}, {North})}) {
        CHECK(bound.bound());
        CHECK(bound.allows(North));
        CHECK_FALSE(bound.allows(South));
        CHECK_FALSE(bound.allows(region_id{}));
    }
}

TEST_CASE("lists of a route and of a customer bind both")
{
    const auto both = residencyOf({North, South}, {South});
    CHECK(both.allows(South));
    CHECK_FALSE(both.allows(North));
    const auto none = residencyOf({North}, {South});
    CHECK(none.bound());
    CHECK_FALSE(none.allows(North));
    CHECK_FALSE(none.allows(South));
}
