#include "gateway/quarantine/request_quarantine.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

request_digest digestNumber(std::size_t number)
{
    return requestDigestOf({customer_id("c"), "h", "/p/" + std::to_string(number), {}});
}

const request_digest Crashing = digestNumber(0);

/// The quarantine of one node, and servers that crash one after the other.
struct quarantine_world
{
    /// Makes the record of another server that crashes now and was sent these requests at `sentAt`.
    server_crash makeCrash(const std::vector<request_digest> &requests, steady_time sentAt)
    {
        server_crash crash{
            backend_server_id("s-" + std::to_string(++crashedServers)), clock.now(), {}};
        for (const auto &each : requests)
            crash.subjects.push_back({each, sentAt});
        return crash;
    }
    /// Crashes another server while these requests are in flight to it.
    std::vector<quarantine_entry> crashServer(const std::vector<request_digest> &requests)
    {
        quarantine.onServerCrash(makeCrash(requests, clock.now() - milliseconds{150}));
        return quarantine.decide();
    }
    [[nodiscard]] quarantine_level levelOf(const request_digest &request) const
    {
        return quarantine.statusOf(request).level;
    }
    void pass(std::chrono::nanoseconds time)
    {
        clock.advance(time);
        quarantine.removeExpired();
    }

    manual_clock clock;
    request_quarantine quarantine{clock};
    int crashedServers = 0;
};

constexpr milliseconds Apart{300};

} // namespace

TEST_CASE("request_quarantine: two crashes make a request suspected, three quarantine it")
{
    quarantine_world w;
    CHECK(w.crashServer({Crashing}).empty());
    CHECK(w.levelOf(Crashing) == quarantine_level::Unrestricted);
    w.pass(Apart);
    CHECK(w.crashServer({Crashing}).size() == 1);
    CHECK(w.levelOf(Crashing) == quarantine_level::Suspected);
    w.pass(Apart);
    CHECK(w.crashServer({Crashing}).size() == 1);
    CHECK(w.levelOf(Crashing) == quarantine_level::Quarantined);
    CHECK(w.quarantine.statusOf(Crashing).remaining > std::chrono::minutes{4});
    CHECK_FALSE(w.quarantine.tryStartTrial(Crashing));
}

TEST_CASE("request_quarantine: servers that crash together count as one crash")
{
    quarantine_world w;
    for (int i = 0; i < 5; ++i)
        w.crashServer({Crashing});
    CHECK(w.quarantine.evidenceOf(Crashing).crashCount == 1);
    CHECK(w.levelOf(Crashing) == quarantine_level::Unrestricted);
}

TEST_CASE("request_quarantine: crashes in quick succession count separately if the request ran on "
          "each server")
{
    quarantine_world w;
    for (int i = 0; i < 3; ++i) {
        const auto sentAt = w.clock.now() + milliseconds{1};
        w.pass(milliseconds{25});
        w.quarantine.onServerCrash(w.makeCrash({Crashing}, sentAt));
    }
    CHECK(w.quarantine.decide().size() == 1);
    CHECK(w.levelOf(Crashing) == quarantine_level::Quarantined);
}

TEST_CASE(
    "request_quarantine: a server that crashed before the request was sent to it does not count")
{
    quarantine_world w;
    for (int i = 0; i < 5; ++i) {
        const auto sentAt = w.clock.now() + milliseconds{1};
        w.pass(milliseconds{5});
        w.quarantine.onServerCrash(w.makeCrash({Crashing}, sentAt));
    }
    CHECK(w.quarantine.evidenceOf(Crashing).crashCount == 1);
}

TEST_CASE("request_quarantine: a crash that several nodes report counts once")
{
    quarantine_world w;
    const server_crash crash{backend_server_id("s"), w.clock.now(), {{Crashing, w.clock.now()}}};
    CHECK(w.quarantine.onServerCrash(crash));
    CHECK_FALSE(w.quarantine.onServerCrash(crash));
    auto late = crash;
    late.at += milliseconds{200};
    CHECK_FALSE(w.quarantine.onServerCrash(late));
    CHECK(w.quarantine.evidenceOf(Crashing).crashCount == 1);
    SECTION("but a server that restarts under the same id may crash again")
    {
        late.at += milliseconds{1500};
        CHECK(w.quarantine.onServerCrash(late));
        CHECK(w.quarantine.evidenceOf(Crashing).crashCount == 2);
    }
}

TEST_CASE("request_quarantine: crashes are not attributed to a request that is served elsewhere")
{
    quarantine_world w;
    CHECK_FALSE(w.quarantine.onRequestServed(Crashing));
    for (int i = 0; i < 8; ++i) {
        w.pass(Apart);
        w.crashServer({Crashing});
    }
    CHECK(w.levelOf(Crashing) == quarantine_level::Unrestricted);
    SECTION("until it has not been served for a while")
    {
        w.pass(std::chrono::minutes{1});
        for (int i = 0; i < 3; ++i) {
            w.pass(Apart);
            w.crashServer({Crashing});
        }
        CHECK(w.levelOf(Crashing) == quarantine_level::Quarantined);
    }
}

TEST_CASE("request_quarantine: a suspected request becomes free when it is served")
{
    quarantine_world w;
    w.crashServer({Crashing});
    w.pass(Apart);
    w.crashServer({Crashing});
    REQUIRE(w.quarantine.tryStartTrial(Crashing));
    const auto entry = w.quarantine.onRequestServed(Crashing);
    REQUIRE(entry);
    CHECK(entry->level == quarantine_level::Unrestricted);
    CHECK(w.levelOf(Crashing) == quarantine_level::Unrestricted);
    CHECK(w.quarantine.evidenceOf(Crashing).crashCount == 0);
}

TEST_CASE("request_quarantine: a suspected request is tried on one server at a time")
{
    quarantine_world w;
    w.crashServer({Crashing});
    w.pass(Apart);
    w.crashServer({Crashing});
    CHECK(w.quarantine.tryStartTrial(Crashing));
    CHECK_FALSE(w.quarantine.tryStartTrial(Crashing));
    w.quarantine.endTrial(Crashing);
    CHECK(w.quarantine.tryStartTrial(Crashing));
    SECTION("and again after a trial whose end was never reported times out")
    {
        w.pass(std::chrono::seconds{31});
        CHECK(w.quarantine.tryStartTrial(Crashing));
    }
}

TEST_CASE("request_quarantine: requests in flight beside the one that crashes servers are not "
          "quarantined")
{
    quarantine_world w;
    // Each crash also fails ten requests of other callers. Two of them repeatedly share a server
    // with the crashing request.
    const auto unlucky = digestNumber(1);
    const auto unluckier = digestNumber(2);
    w.crashServer({unlucky, unluckier, Crashing, digestNumber(10)});
    w.pass(Apart);
    w.crashServer({Crashing, digestNumber(11)});
    w.pass(Apart);
    w.crashServer({unlucky, unluckier, Crashing, digestNumber(12)});
    REQUIRE(w.levelOf(Crashing) == quarantine_level::Quarantined);
    w.pass(Apart);
    w.crashServer({unluckier, Crashing});
    CHECK(w.levelOf(unlucky) == quarantine_level::Suspected);
    CHECK(w.levelOf(unluckier) == quarantine_level::Suspected);
    CHECK(w.levelOf(digestNumber(10)) == quarantine_level::Unrestricted);
}

TEST_CASE(
    "request_quarantine: a request quarantined for another one's crashes becomes suspected again")
{
    quarantine_world w;
    const auto unlucky = digestNumber(1);
    // The report of a node that the crashing request was in flight as well arrives late.
    std::vector<server_crash> crashes;
    for (int i = 0; i < 3; ++i) {
        crashes.push_back({backend_server_id("s-" + std::to_string(i)),
                           w.clock.now(),
                           {{unlucky, w.clock.now()}}});
        w.quarantine.onServerCrash(crashes.back());
        CHECK(w.quarantine.decide().size() == (i == 0 ? 0 : 1));
        w.pass(Apart);
    }
    REQUIRE(w.levelOf(unlucky) == quarantine_level::Quarantined);
    w.crashServer({Crashing});
    for (auto each : crashes) {
        each.subjects = {{Crashing, each.at}};
        w.quarantine.onServerCrash(each);
    }
    CHECK(w.quarantine.decide().size() == 2);
    CHECK(w.levelOf(Crashing) == quarantine_level::Quarantined);
    CHECK(w.levelOf(unlucky) == quarantine_level::Suspected);
}

TEST_CASE("request_quarantine: after a quarantine, one crash starts a longer one")
{
    quarantine_world w;
    for (int i = 0; i < 3; ++i) {
        w.crashServer({Crashing});
        w.pass(Apart);
    }
    const auto first = w.quarantine.statusOf(Crashing).remaining;
    w.pass(first);
    CHECK(w.levelOf(Crashing) == quarantine_level::Suspected);
    CHECK(w.quarantine.tryStartTrial(Crashing));
    CHECK_FALSE(w.quarantine.tryStartTrial(Crashing));
    w.pass(Apart);
    w.crashServer({Crashing});
    CHECK(w.levelOf(Crashing) == quarantine_level::Quarantined);
    CHECK(w.quarantine.statusOf(Crashing).remaining > first + std::chrono::minutes{3});
}

TEST_CASE("request_quarantine: the later of two entries replaces the earlier one on every node")
{
    quarantine_world one;
    quarantine_world other;
    one.crashServer({Crashing});
    one.pass(Apart);
    const auto suspected = one.crashServer({Crashing});
    REQUIRE(suspected.size() == 1);
    const auto taken = other.quarantine.merge(suspected.front());
    REQUIRE(taken);
    CHECK(other.levelOf(Crashing) == quarantine_level::Suspected);
    CHECK_FALSE(other.quarantine.merge(suspected.front()));
    const auto served = other.quarantine.onRequestServed(Crashing);
    REQUIRE(served);
    CHECK(one.quarantine.merge(*served));
    CHECK(one.levelOf(Crashing) == quarantine_level::Unrestricted);
    CHECK_FALSE(one.quarantine.merge(suspected.front()));
}

TEST_CASE(
    "request_quarantine: a node that served the request recently overrides another node's entry")
{
    quarantine_world one;
    quarantine_world other;
    CHECK_FALSE(other.quarantine.onRequestServed(Crashing));
    one.crashServer({Crashing});
    one.pass(Apart);
    const auto suspected = one.crashServer({Crashing});
    const auto taken = other.quarantine.merge(suspected.front());
    REQUIRE(taken);
    CHECK(taken->level == quarantine_level::Unrestricted);
    CHECK(taken->version > suspected.front().version);
}

TEST_CASE("request_quarantine: stored crashes and entries are bounded and expire")
{
    quarantine_world w;
    for (std::size_t i = 0; i < 3000; ++i) {
        std::vector<request_digest> requests;
        for (std::size_t j = 0; j < 4; ++j)
            requests.push_back(digestNumber(4 * i + j));
        w.crashServer(requests);
    }
    CHECK(w.quarantine.crashes().size() <= 1024);
    w.pass(std::chrono::minutes{11});
    CHECK(w.quarantine.crashes().empty());
    CHECK(w.quarantine.entries().empty());
}
