#include "gateway/servers/residency.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

const region_id North("north");
const region_id South("south");

} // namespace

TEST_CASE("requests without a restriction may be processed in any region")
{
    const auto any = residencyOf({}, {});
    CHECK_FALSE(any.restricted());
    CHECK(any.allows(North));
    CHECK(any.allows(region_id{}));
}

TEST_CASE("a region list of a route or of a customer restricts requests")
{
    for (const auto &bound : {residencyOf({North}, {}), residencyOf({}, {North})}) {
        CHECK(bound.restricted());
        CHECK(bound.allows(North));
        CHECK_FALSE(bound.allows(South));
        CHECK_FALSE(bound.allows(region_id{}));
    }
}

TEST_CASE("region lists of a route and of a customer both apply")
{
    const auto both = residencyOf({North, South}, {South});
    CHECK(both.allows(South));
    CHECK_FALSE(both.allows(North));
    const auto none = residencyOf({North}, {South});
    CHECK(none.restricted());
    CHECK_FALSE(none.allows(North));
    CHECK_FALSE(none.allows(South));
}
