#include "gateway/admission/unasked_allowance.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

struct allowance_fixture
{
    manual_clock clock;
    unasked_allowance allowance{clock};
    pool_key pool{service_id("s")};
    stage_rank rank{1, 0};

    bool tryUse(std::uint32_t pieces)
    {
        return allowance.tryUse(pool, rank, {pieces, milliseconds{200}, 8});
    }
    void report(milliseconds wait) { allowance.onReportedWait(pool, rank, wait); }
};

} // namespace

// Guards against messages for admission while nothing is scarce.
TEST_CASE("requests one after another go unasked while the pool reports short waits")
{
    allowance_fixture f;
    for (int i = 0; i < 5; ++i) {
        CHECK(f.tryUse(4));
        f.clock.advance(milliseconds{4000});
        f.report(milliseconds{0});
    }
}

// Guards against a burst whose first requests are all let in before a report shows the wait.
TEST_CASE("only the pieces of one call go unasked until the next report")
{
    allowance_fixture f;
    f.report(milliseconds{50});
    CHECK(f.tryUse(4));
    CHECK(f.tryUse(4));
    CHECK_FALSE(f.tryUse(1));
    f.report(milliseconds{100});
    CHECK(f.tryUse(1));
}

// Guards against a burst in which each report lets in a full call, although the pieces that went
// before are still in the stages ahead and no report can include them.
TEST_CASE("pieces that have not arrived yet count beyond the next report")
{
    allowance_fixture f;
    f.report(milliseconds{0});
    CHECK(f.tryUse(4));
    f.clock.advance(milliseconds{100});
    f.report(milliseconds{0});
    CHECK(f.tryUse(4));
    f.report(milliseconds{0});
    CHECK_FALSE(f.tryUse(4));
    f.clock.advance(milliseconds{601}); // the first ones have arrived
    f.report(milliseconds{0});
    CHECK(f.tryUse(4));
}

TEST_CASE("only one request goes unasked after the last report has become old")
{
    allowance_fixture f;
    f.report(milliseconds{0});
    f.clock.advance(milliseconds{301});
    CHECK(f.tryUse(2));
    CHECK_FALSE(f.tryUse(2));
}

TEST_CASE("a pool that reported a wait of a call is always asked until it reports a shorter one")
{
    allowance_fixture f;
    f.report(milliseconds{200});
    f.clock.advance(milliseconds{5000});
    CHECK_FALSE(f.tryUse(1));
    f.report(milliseconds{0});
    CHECK(f.tryUse(1));
}
