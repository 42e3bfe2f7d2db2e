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

/// One node's knowledge, and servers that end one after the other.
struct quarantine_world
{
    /// A further server ends now, to which these requests were sent then.
    server_end makeEnd(const std::vector<request_digest> &requests, steady_time sentAt)
    {
        server_end end{backend_server_id("s-" + std::to_string(++ended)), clock.now(), {}};
        for (const auto &each : requests)
            end.requests.push_back({each, sentAt});
        return end;
    }
    /// A further server ends while these requests are at it.
    std::vector<quarantine_entry> end(const std::vector<request_digest> &requests)
    {
        quarantine.onServerEnd(makeEnd(requests, clock.now() - milliseconds{150}));
        return quarantine.decide();
    }
    [[nodiscard]] quarantine_level levelOf(const request_digest &request) const
    {
        return quarantine.standingOf(request).level;
    }
    void pass(std::chrono::nanoseconds time)
    {
        clock.advance(time);
        quarantine.forgetOld();
    }

    manual_clock clock;
    request_quarantine quarantine{clock};
    int ended = 0;
};

constexpr milliseconds Apart{300};

} // namespace

TEST_CASE("request_quarantine: two ends make a request suspected, three keep it from servers")
{
    quarantine_world w;
    CHECK(w.end({Crashing}).empty());
    CHECK(w.levelOf(Crashing) == quarantine_level::Free);
    w.pass(Apart);
    CHECK(w.end({Crashing}).size() == 1);
    CHECK(w.levelOf(Crashing) == quarantine_level::Suspected);
    w.pass(Apart);
    CHECK(w.end({Crashing}).size() == 1);
    CHECK(w.levelOf(Crashing) == quarantine_level::Quarantined);
    CHECK(w.quarantine.standingOf(Crashing).left > std::chrono::minutes{4});
    CHECK_FALSE(w.quarantine.tryTrial(Crashing));
}

TEST_CASE("request_quarantine: servers that end together count once")
{
    quarantine_world w;
    for (int i = 0; i < 5; ++i)
        w.end({Crashing});
    CHECK(w.quarantine.evidenceOf(Crashing).seen == 1);
    CHECK(w.levelOf(Crashing) == quarantine_level::Free);
}

TEST_CASE("request_quarantine: servers that end together count each where it was sent on and ran")
{
    quarantine_world w;
    for (int i = 0; i < 3; ++i) {
        const auto sentAt = w.clock.now() + milliseconds{1};
        w.pass(milliseconds{25});
        w.quarantine.onServerEnd(w.makeEnd({Crashing}, sentAt));
    }
    CHECK(w.quarantine.decide().size() == 1);
    CHECK(w.levelOf(Crashing) == quarantine_level::Quarantined);
}

TEST_CASE("request_quarantine: a server that had ended before it was sent there counts for nothing")
{
    quarantine_world w;
    for (int i = 0; i < 5; ++i) {
        const auto sentAt = w.clock.now() + milliseconds{1};
        w.pass(milliseconds{5});
        w.quarantine.onServerEnd(w.makeEnd({Crashing}, sentAt));
    }
    CHECK(w.quarantine.evidenceOf(Crashing).seen == 1);
}

TEST_CASE("request_quarantine: one end that several nodes report counts once")
{
    quarantine_world w;
    const server_end end{backend_server_id("s"), w.clock.now(), {{Crashing, w.clock.now()}}};
    CHECK(w.quarantine.onServerEnd(end));
    CHECK_FALSE(w.quarantine.onServerEnd(end));
    auto late = end;
    late.at += milliseconds{200};
    CHECK_FALSE(w.quarantine.onServerEnd(late));
    CHECK(w.quarantine.evidenceOf(Crashing).seen == 1);
    SECTION("but a server that starts again under its id may end again")
    {
        late.at += milliseconds{1500};
        CHECK(w.quarantine.onServerEnd(late));
        CHECK(w.quarantine.evidenceOf(Crashing).seen == 2);
    }
}

TEST_CASE("request_quarantine: a request that is served elsewhere isn't blamed for ends")
{
    quarantine_world w;
    CHECK_FALSE(w.quarantine.onServed(Crashing));
    for (int i = 0; i < 8; ++i) {
        w.pass(Apart);
        w.end({Crashing});
    }
    CHECK(w.levelOf(Crashing) == quarantine_level::Free);
    SECTION("until it hasn't been for long")
    {
        w.pass(std::chrono::minutes{1});
        for (int i = 0; i < 3; ++i) {
            w.pass(Apart);
            w.end({Crashing});
        }
        CHECK(w.levelOf(Crashing) == quarantine_level::Quarantined);
    }
}

TEST_CASE("request_quarantine: a suspected request that is served is free again")
{
    quarantine_world w;
    w.end({Crashing});
    w.pass(Apart);
    w.end({Crashing});
    REQUIRE(w.quarantine.tryTrial(Crashing));
    const auto entry = w.quarantine.onServed(Crashing);
    REQUIRE(entry);
    CHECK(entry->level == quarantine_level::Free);
    CHECK(w.levelOf(Crashing) == quarantine_level::Free);
    CHECK(w.quarantine.evidenceOf(Crashing).seen == 0);
}

TEST_CASE("request_quarantine: a suspected request is tried on one server at a time")
{
    quarantine_world w;
    w.end({Crashing});
    w.pass(Apart);
    w.end({Crashing});
    CHECK(w.quarantine.tryTrial(Crashing));
    CHECK_FALSE(w.quarantine.tryTrial(Crashing));
    w.quarantine.endTrial(Crashing);
    CHECK(w.quarantine.tryTrial(Crashing));
    SECTION("and again after a node that tried it was never heard of")
    {
        w.pass(std::chrono::seconds{31});
        CHECK(w.quarantine.tryTrial(Crashing));
    }
}

TEST_CASE("request_quarantine: requests that were beside the one that ends servers stay free of it")
{
    quarantine_world w;
    // Each end takes ten requests of other callers along; two of them meet it again and again.
    const auto unlucky = digestNumber(1);
    const auto unluckier = digestNumber(2);
    w.end({unlucky, unluckier, Crashing, digestNumber(10)});
    w.pass(Apart);
    w.end({Crashing, digestNumber(11)});
    w.pass(Apart);
    w.end({unlucky, unluckier, Crashing, digestNumber(12)});
    REQUIRE(w.levelOf(Crashing) == quarantine_level::Quarantined);
    w.pass(Apart);
    w.end({unluckier, Crashing});
    CHECK(w.levelOf(unlucky) == quarantine_level::Suspected);
    CHECK(w.levelOf(unluckier) == quarantine_level::Suspected);
    CHECK(w.levelOf(digestNumber(10)) == quarantine_level::Free);
}

TEST_CASE("request_quarantine: one that was blamed for another's ends is cleared when that shows")
{
    quarantine_world w;
    const auto unlucky = digestNumber(1);
    // A node's report of the request that did it comes late.
    std::vector<server_end> ends;
    for (int i = 0; i < 3; ++i) {
        ends.push_back({backend_server_id("s-" + std::to_string(i)),
                        w.clock.now(),
                        {{unlucky, w.clock.now()}}});
        w.quarantine.onServerEnd(ends.back());
        CHECK(w.quarantine.decide().size() == (i == 0 ? 0 : 1));
        w.pass(Apart);
    }
    REQUIRE(w.levelOf(unlucky) == quarantine_level::Quarantined);
    w.end({Crashing});
    for (auto each : ends) {
        each.requests = {{Crashing, each.at}};
        w.quarantine.onServerEnd(each);
    }
    CHECK(w.quarantine.decide().size() == 2);
    CHECK(w.levelOf(Crashing) == quarantine_level::Quarantined);
    CHECK(w.levelOf(unlucky) == quarantine_level::Suspected);
}

TEST_CASE("request_quarantine: after a quarantine one more end is enough, and it lasts longer")
{
    quarantine_world w;
    for (int i = 0; i < 3; ++i) {
        w.end({Crashing});
        w.pass(Apart);
    }
    const auto first = w.quarantine.standingOf(Crashing).left;
    w.pass(first);
    CHECK(w.levelOf(Crashing) == quarantine_level::Suspected);
    CHECK(w.quarantine.tryTrial(Crashing));
    CHECK_FALSE(w.quarantine.tryTrial(Crashing));
    w.pass(Apart);
    w.end({Crashing});
    CHECK(w.levelOf(Crashing) == quarantine_level::Quarantined);
    CHECK(w.quarantine.standingOf(Crashing).left > first + std::chrono::minutes{3});
}

TEST_CASE("request_quarantine: the later entry of two nodes is in force on both")
{
    quarantine_world one;
    quarantine_world other;
    one.end({Crashing});
    one.pass(Apart);
    const auto suspected = one.end({Crashing});
    REQUIRE(suspected.size() == 1);
    const auto taken = other.quarantine.merge(suspected.front());
    REQUIRE(taken);
    CHECK(other.levelOf(Crashing) == quarantine_level::Suspected);
    CHECK_FALSE(other.quarantine.merge(suspected.front()));
    const auto served = other.quarantine.onServed(Crashing);
    REQUIRE(served);
    CHECK(one.quarantine.merge(*served));
    CHECK(one.levelOf(Crashing) == quarantine_level::Free);
    CHECK_FALSE(one.quarantine.merge(suspected.front()));
}

TEST_CASE("request_quarantine: a node that served the request lately contradicts another's entry")
{
    quarantine_world one;
    quarantine_world other;
    CHECK_FALSE(other.quarantine.onServed(Crashing));
    one.end({Crashing});
    one.pass(Apart);
    const auto suspected = one.end({Crashing});
    const auto taken = other.quarantine.merge(suspected.front());
    REQUIRE(taken);
    CHECK(taken->level == quarantine_level::Free);
    CHECK(taken->version > suspected.front().version);
}

TEST_CASE("request_quarantine: what it keeps is bounded, and ends")
{
    quarantine_world w;
    for (std::size_t i = 0; i < 3000; ++i) {
        std::vector<request_digest> requests;
        for (std::size_t j = 0; j < 4; ++j)
            requests.push_back(digestNumber(4 * i + j));
        w.end(requests);
    }
    CHECK(w.quarantine.ends().size() <= 1024);
    w.pass(std::chrono::minutes{11});
    CHECK(w.quarantine.ends().empty());
    CHECK(w.quarantine.entries().empty());
}
