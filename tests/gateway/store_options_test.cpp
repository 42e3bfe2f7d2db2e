#include "gateway/publication/store_options.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

TEST_CASE(
    "for every bound a silent store is detected early enough for followers to read it themselves")
{
    for (const milliseconds bound :
         {milliseconds{2000}, milliseconds{3000}, milliseconds{4000}, milliseconds{60'000}}) {
        const auto options = storeOptionsFor(bound);
        INFO("bound " << bound.count() << " ms, silence " << options.silenceTimeout.count()
                      << " ms");
        CHECK(options.silenceTimeout + milliseconds{600} <= bound);
        CHECK(options.watchWaitWithFollowers + options.watchPause <= options.silenceTimeout);
    }
}

TEST_CASE("with a longer bound readers use a longer watch wait and make fewer calls")
{
    CHECK(storeOptionsFor(milliseconds{2000}).watchWaitWithFollowers == milliseconds{700});
    CHECK(storeOptionsFor(milliseconds{4000}).watchWaitWithFollowers == milliseconds{1700});
    CHECK(storeOptionsFor(milliseconds{60'000}).watchWaitWithFollowers == milliseconds{1700});
}

TEST_CASE("a bound below the minimum is treated as the minimum")
{
    CHECK(storeOptionsFor(milliseconds{1000}).watchWaitWithFollowers == milliseconds{700});
}
