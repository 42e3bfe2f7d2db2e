#include "gateway/peers/peer_frames.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

pool_load makeLoad()
{
    pool_load load;
    load.pool = {service_id("s"), data_center_id("dc-1"), region_id("r")};
    load.waiting = 337;
    load.idleServers = 4;
    load.piecesPerSecond = 143.9;
    load.freeResultBytes = 42'000'000;
    load.waits = {{{0, 1}, milliseconds{40}}, {{2, 0}, milliseconds{1200}}};
    return load;
}

std::string encodeBody(const pool_load &load)
{
    return encodeFrame(pool_load_frame{load}).substr(FrameHeaderBytes);
}

} // namespace

TEST_CASE("a pool load frame keeps the load")
{
    const auto read = decodeFrame(encodeBody(makeLoad()));
    REQUIRE(read);
    CHECK(std::get<pool_load_frame>(read.value()).load == makeLoad());
    // Ten reports a second to each of two other pools are a third of the 6 kB/s that a node may use
    // for control.
    CHECK(encodeBody(makeLoad()).size() <= 100);
    auto unlimited = makeLoad();
    unlimited.freeResultBytes = UnlimitedResultBytes;
    unlimited.waits.clear();
    const auto idle = decodeFrame(encodeBody(unlimited));
    REQUIRE(idle);
    CHECK(std::get<pool_load_frame>(idle.value()).load == unlimited);
}

TEST_CASE("a pool load frame with a rate that is no rate, or without a pool, is rejected")
{
    for (const double rate : {-1.0, std::nan(""), std::numeric_limits<double>::infinity()}) {
        auto load = makeLoad();
        load.piecesPerSecond = rate;
        INFO("rate " << rate);
        CHECK_FALSE(decodeFrame(encodeBody(load)));
    }
    auto nameless = makeLoad();
    nameless.pool.dataCenter = {};
    CHECK_FALSE(decodeFrame(encodeBody(nameless)));
    auto negative = makeLoad();
    negative.waits[0].wait = milliseconds{-1};
    CHECK_FALSE(decodeFrame(encodeBody(negative)));
}

TEST_CASE("a pool load frame with a field missing, mistyped or cut off is rejected")
{
    const auto whole = encodeBody(makeLoad());
    for (std::size_t length = 0; length < whole.size(); ++length) {
        INFO("length " << length);
        CHECK_FALSE(decodeFrame(std::string_view(whole).substr(0, length)));
    }
    // Byte 0 is the array of kind and fields, byte 1 the kind, byte 2 the array of the 8 fields.
    auto fewer = whole;
    REQUIRE(static_cast<unsigned char>(fewer[2]) == 0x98);
    fewer[2] = static_cast<char>(0x97);
    CHECK_FALSE(decodeFrame(fewer));
    auto mistyped = whole;
    mistyped[2] = static_cast<char>(0xc0); // nil
    CHECK_FALSE(decodeFrame(mistyped));
}

TEST_CASE("a report contains the most urgent ranks if there are too many")
{
    auto load = makeLoad();
    load.waits.clear();
    for (std::uint32_t i = 0; i < 2 * MaxReportedRanks; ++i)
        load.waits.push_back({{i, 0}, milliseconds{i}});
    const auto read = decodeFrame(encodeBody(load));
    REQUIRE(read);
    const auto &waits = std::get<pool_load_frame>(read.value()).load.waits;
    REQUIRE(waits.size() == MaxReportedRanks);
    CHECK(waits.back().rank.priority == MaxReportedRanks - 1);
}
