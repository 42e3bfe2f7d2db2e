#include "bench/fleet/peer_fleet.h"
#include "gateway/streams/stream_origin_table.h"

#include <orchidlead/clock.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

const stream_origin Origin{service_id("engine"), software_version("v1")};
constexpr milliseconds Lifetime{15'000};

request_digest streamOf(int number)
{
    return streamDigestOf(customer_id("t1"), "attempt-" + std::to_string(number));
}

} // namespace

TEST_CASE("a stream's origin is known until no client can continue it")
{
    manual_clock clock;
    stream_origin_table table(clock);
    table.add({streamOf(1), Origin, Lifetime});
    clock.advance(Lifetime - milliseconds{1});
    CHECK(table.find(streamOf(1)) == Origin);
    CHECK(table.recordOf(streamOf(1))->lifetime == milliseconds{1});
    clock.advance(milliseconds{1});
    CHECK_FALSE(table.find(streamOf(1)));
    table.removeExpired();
    CHECK(table.size() == 0);
}

TEST_CASE("the first origin of a stream that is recorded is kept")
{
    manual_clock clock;
    stream_origin_table table(clock);
    table.add({streamOf(1), Origin, Lifetime});
    table.add({streamOf(1), {Origin.service, software_version("v2")}, Lifetime});
    CHECK(table.find(streamOf(1)) == Origin);
}

TEST_CASE("streams of different customers never share a record")
{
    CHECK(streamDigestOf(customer_id("t1"), "a") != streamDigestOf(customer_id("t2"), "a"));
    CHECK(streamDigestOf(customer_id("t"), "1a") != streamDigestOf(customer_id("t1"), "a"));
}

TEST_CASE("the number of origins that a node keeps is bounded, and the oldest give way")
{
    manual_clock clock;
    stream_origin_table table(clock);
    const auto count = static_cast<int>(stream_origin_table::MaxRecords) + 100;
    for (int i = 0; i < count; ++i) {
        table.add({streamOf(i), Origin, Lifetime + milliseconds{i}});
    }
    CHECK(table.size() == stream_origin_table::MaxRecords);
    CHECK_FALSE(table.find(streamOf(99)));
    CHECK(table.find(streamOf(100)) == Origin);
}

namespace {

constexpr std::size_t DataCenters = 6;
constexpr int Streams = 3000;

/// Returns the largest number of records that one of `nodes` nodes is sent, divided by the number
/// of streams that one node begins on average.
double busiestKeeperLoad(std::size_t nodes)
{
    peer_fleet fleet(nodes, DataCenters, 7);
    fleet.startAll(milliseconds{300});
    fleet.run(milliseconds{4000});
    std::map<vm_id, std::size_t> sent;
    for (int i = 0; i < Streams; ++i) {
        for (const auto &each :
             fleet.view(static_cast<std::size_t>(i) % nodes).originKeepers(streamOf(i)))
            ++sent[each];
    }
    std::size_t most = 0;
    for (const auto &[vm, count] : sent)
        most = std::max(most, count);
    return static_cast<double>(most) * static_cast<double>(nodes) / Streams;
}

} // namespace

TEST_CASE("every node finds where a stream began after a sixth of the nodes were killed")
{
    constexpr std::size_t Nodes = 60;
    peer_fleet fleet(Nodes, DataCenters, 11);
    fleet.startAll(milliseconds{300});
    fleet.run(milliseconds{4000});
    REQUIRE(fleet.agreed());
    std::vector<std::vector<vm_id>> keepers;
    for (int i = 0; i < Streams; ++i)
        keepers.push_back(
            fleet.view(static_cast<std::size_t>(i) % Nodes).originKeepers(streamOf(i)));
    // All nodes of one data centre.
    for (std::size_t node = 0; node < Nodes; node += DataCenters)
        fleet.kill(node);
    REQUIRE(fleet.runUntilAgreed(milliseconds{30'000}) < milliseconds{30'000});
    int lost = 0;
    for (int i = 0; i < Streams; ++i) {
        const auto asker = (static_cast<std::size_t>(i) * 7 + 1) % Nodes;
        if (asker % DataCenters == 0)
            continue;
        auto &view = fleet.view(asker);
        auto asked = view.originCandidates(streamOf(i));
        asked.push_back(view.self());
        lost += std::ranges::none_of(keepers[static_cast<std::size_t>(i)], [&](const vm_id &each) {
            return std::ranges::find(asked, each) != asked.end();
        });
    }
    INFO("lost " << lost);
    CHECK(lost == 0);
}

TEST_CASE("the records of streams are spread over the nodes at every size of the fleet")
{
    // Four records per stream over at least 16 nodes in each of six data centres.
    CHECK(busiestKeeperLoad(24) < 12);
    CHECK(busiestKeeperLoad(96) < 16);
    CHECK(busiestKeeperLoad(240) < 24);
}
