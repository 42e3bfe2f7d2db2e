#include <orchidlead/router.h>

#include <catch2/catch.hpp>

#include <numeric>

using namespace orchidlead;

namespace {

/// A pool whose slots are all available. The first `localSize` of them are in the local data
/// centre.
struct fake_pool
{
    std::vector<routing_entry> entries;
    std::vector<std::uint32_t> local;
    std::vector<std::uint32_t> remote;

    fake_pool(std::uint32_t size, std::uint32_t localSize)
        : entries(size)
    {
        for (std::uint32_t slot = 0; slot < size; ++slot) {
            entries[slot].nameHash = 1'000 + slot;
            entries[slot].latency = 10.0;
            entries[slot].available = true;
            entries[slot].local = slot < localSize;
            (slot < localSize ? local : remote).push_back(slot);
        }
    }

    [[nodiscard]] routing_view view() const
    {
        double outstanding = 0.0;
        for (const auto &entry : entries)
            outstanding += entry.outstanding;
        return {entries, local, remote, outstanding / static_cast<double>(entries.size()), 10.0};
    }

    [[nodiscard]] std::vector<std::uint32_t> members() const
    {
        std::vector<std::uint32_t> all(entries.size());
        std::iota(all.begin(), all.end(), 0U);
        return all;
    }

    /// Counts how often each slot is picked.
    std::vector<int> picks(load_router &router, const routing_request &request, int times) const
    {
        random_source random(1);
        std::vector<int> counts(entries.size());
        for (int time = 0; time < times; ++time)
            ++counts[router.pick(view(), request, random)->slot];
        return counts;
    }
};

} // namespace

TEST_CASE("a slow server gets almost no work")
{
    fake_pool pool(12, 12);
    pool.entries[5].latency = 100.0;
    load_router router{routing_settings{}};
    const auto counts = pool.picks(router, {}, 1'200);
    CAPTURE(counts[5]);
    CHECK(counts[5] < 30);
}

TEST_CASE("the local data centre is preferred until it is loaded")
{
    fake_pool pool(8, 4);
    load_router router{routing_settings{}};
    auto counts = pool.picks(router, {}, 400);
    CHECK(std::accumulate(counts.begin() + 4, counts.end(), 0) == 0);
    for (std::uint32_t slot = 0; slot < 4; ++slot)
        pool.entries[slot].outstanding = 6;
    counts = pool.picks(router, {}, 400);
    CHECK(std::accumulate(counts.begin() + 4, counts.end(), 0) == 400);
}

TEST_CASE("requests with the same prefix go to the same server up to a load bound")
{
    fake_pool pool(12, 12);
    load_router router{routing_settings{}};
    router.onMembers(pool.entries, pool.members());
    routing_request request;
    request.prefixHash = 0x1234567890abcdefULL;
    auto counts = pool.picks(router, request, 100);
    const auto home =
        static_cast<std::uint32_t>(std::max_element(counts.begin(), counts.end()) - counts.begin());
    CHECK(counts[home] == 100);
    pool.entries[home].outstanding = 8;
    counts = pool.picks(router, request, 100);
    CHECK(counts[home] == 0);
}

TEST_CASE("removing a server moves only the prefixes that were assigned to it")
{
    fake_pool pool(12, 12);
    load_router before{routing_settings{}};
    before.onMembers(pool.entries, pool.members());
    load_router after{routing_settings{}};
    auto members = pool.members();
    members.pop_back();
    after.onMembers(pool.entries, members);
    random_source random(3);
    int moved = 0;
    int had = 0;
    for (int prefix = 0; prefix < 1'000; ++prefix) {
        routing_request request;
        request.prefixHash = random.next() | 1U;
        const auto old = before.pick(pool.view(), request, random)->slot;
        const auto now = after.pick(pool.view(), request, random)->slot;
        had += old == 11 ? 1 : 0;
        moved += old != now ? 1 : 0;
    }
    CAPTURE(had, moved);
    CHECK(moved == had);
    CHECK(had > 20);
    CHECK(had < 200);
}

TEST_CASE("tried servers are avoided and so are probed ones for calls that must not be repeated")
{
    fake_pool pool(3, 3);
    pool.entries[0].probing = true;
    load_router router{routing_settings{}};
    routing_request request;
    request.avoidProbing = true;
    const std::vector<std::uint32_t> tried{1};
    request.avoid = tried;
    const auto counts = pool.picks(router, request, 50);
    CHECK(counts[2] == 50);
}

TEST_CASE("a restored server gets its share gradually")
{
    fake_pool pool(4, 4);
    const steady_time restoredAt{std::chrono::hours{2}};
    pool.entries[0].slowStartBegin = restoredAt;
    load_router router{routing_settings{}};
    routing_request request;
    request.now = restoredAt + milliseconds{500};
    const int early = pool.picks(router, request, 400)[0];
    request.now = restoredAt + milliseconds{6'000};
    const int late = pool.picks(router, request, 400)[0];
    CAPTURE(early, late);
    CHECK(early < late);
}
