#include "gateway/publication/store_options.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

TEST_CASE("a silent store is noticed with time left for followers to read it, whatever the bound")
{
    for (const milliseconds bound :
         {milliseconds{2000}, milliseconds{3000}, milliseconds{4000}, milliseconds{60'000}}) {
        const auto options = storeOptionsFor(bound);
        INFO("bound " << bound.count() << " ms, silence " << options.silence.count() << " ms");
        CHECK(options.silence + milliseconds{600} <= bound);
        CHECK(options.relayedWait + options.watchPause <= options.silence);
    }
}

TEST_CASE("a longer bound spares calls: readers wait longer at the store")
{
    CHECK(storeOptionsFor(milliseconds{2000}).relayedWait == milliseconds{700});
    CHECK(storeOptionsFor(milliseconds{4000}).relayedWait == milliseconds{1700});
    CHECK(storeOptionsFor(milliseconds{60'000}).relayedWait == milliseconds{1700});
}

TEST_CASE("under the least bound the figures of the least bound hold")
{
    CHECK(storeOptionsFor(milliseconds{1000}).relayedWait == milliseconds{700});
}
