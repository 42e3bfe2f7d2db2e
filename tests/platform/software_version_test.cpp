// Guards against streams that hold events of two software versions of a service: servers of two
// versions serve side by side, their events don't fit together, and servers don't check it.
#include "version_world.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

/// Servers that run models in batches and report what they run. Those of the first version left a
/// moment before the streams began, and the store doesn't show when.
struct reporting_world : version_world
{
    reporting_world()
    {
        publish(2, streamRoute(true),
                R"({"name":"engine","engine":{"slots":8,"kv_capacity":100000}})",
                R"(},{"name":"t2","api_keys":["k2"],"priority":1)");
        removeServers("v1");
        streams = begin("g1");
        breakOff(streams);
        killAll();
    }

    std::vector<stream> streams;
};

/// Servers of one version and clients that wait for long. All gateways were killed after a stream
/// had begun.
struct patient_world : version_world
{
    patient_world()
        : version_world({"v1"})
    {
        auto route = streamRoute(true);
        const std::string timeout = R"("timeout_ms":4000)";
        route.replace(route.find(timeout), timeout.size(), R"("timeout_ms":15000)");
        publish(2, route, {}, R"(},{"name":"t2","api_keys":["k2"],"priority":1)");
        early = begin("g1", 1);
        breakOff(early);
        killAll();
    }

    std::vector<stream> early;
};

void checkContinued(const version_world::counts &counts)
{
    INFO("continued " << counts.continued << ", refused " << counts.refused);
    CHECK(counts.joined == 0);
    CHECK(counts.continued >= MinContinued);
}

} // namespace

TEST_CASE("a stream that breaks off continues only at its software version within one answer")
{
    version_world w;
    // A node may retry 0.8 * (0.2 * requests + 50 / 8) times: 6 with 7 requests, 5.96 with 6.
    auto earlier = w.begin("g1", 1);
    w.breakOff(earlier);
    w.mode = first_try::BreaksOff;
    constexpr int Count = 6;
    auto streams = w.begin("g1", Count);
    int joined = 0;
    int complete = 0;
    for (const auto &each : streams) {
        REQUIRE(w.await(each.answer));
        joined += versionsIn(each.answer->body).size() > 1 ? 1 : 0;
        complete += each.answer->end == http::call_end::Complete ? 1 : 0;
    }
    CHECK(joined == 0);
    CHECK(complete == Count);
}

TEST_CASE("a stream that breaks off at the only server of its software version ends broken off")
{
    version_world w;
    for (int i = 1; i < ServersPerVersion; ++i)
        w.store.remove("servers/v2-" + std::to_string(i));
    w.runFor(milliseconds{500});
    w.mode = first_try::BreaksOff;
    auto streams = w.begin("g1");
    int brokenOff = 0;
    for (const auto &each : streams) {
        REQUIRE(w.await(each.answer));
        const auto versions = versionsIn(each.answer->body);
        CHECK(versions.size() == 1);
        if (versions != std::set<std::string>{"v2"})
            continue;
        ++brokenOff;
        CHECK(each.answer->end != http::call_end::Complete);
    }
    CHECK(brokenOff > 0);
}

TEST_CASE("a client's stream continues at its software version on the same gateway")
{
    version_world w;
    auto streams = w.begin("g1");
    w.breakOff(streams);
    checkContinued(w.resumeAll(streams, "g1"));
}

TEST_CASE("a client's stream continues at its software version on another gateway")
{
    version_world w;
    auto streams = w.begin("g1");
    w.breakOff(streams);
    checkContinued(w.resumeAll(streams, GENERATE("g2", "g3")));
}

TEST_CASE("a client's stream continues at its software version on a gateway that started later")
{
    version_world w;
    auto streams = w.begin("g1");
    w.startGateway("g5");
    REQUIRE(w.runUntil([&] { return w.knowsMembers(5); }));
    w.breakOff(streams);
    checkContinued(w.resumeAll(streams, "g5"));
}

TEST_CASE("a client's stream continues at its software version after its gateway was killed")
{
    version_world w;
    auto streams = w.begin("g1");
    w.breakOff(streams);
    w.killGateway("g1");
    checkContinued(w.resumeAll(streams, GENERATE("g2", "g4")));
}

TEST_CASE("a client's stream continues at its software version after its data centre lost all "
          "gateways")
{
    version_world w;
    auto streams = w.begin("g1");
    w.breakOff(streams);
    w.killGateway("g1");
    w.killGateway("g2");
    checkContinued(w.resumeAll(streams, "g3"));
}

TEST_CASE("a stream that began before the second software version appeared continues at its own")
{
    version_world w({"v1"});
    auto streams = w.begin("g1");
    for (int i = 0; i < ServersPerVersion; ++i)
        w.setVersion(w.addServerOfVersion("engine", "v2-" + std::to_string(i), "v2", FirstStart),
                     "v2");
    w.runFor(milliseconds{500});
    w.breakOff(streams);
    w.killGateway("g1");
    checkContinued(w.resumeAll(streams, "g3"));
}

TEST_CASE("a stream continues at its software version after its servers' ids started again with "
          "another one")
{
    version_world w;
    auto streams = w.begin("g1");
    w.restartAs("v1", "v2");
    w.restartAs("v2", "v1");
    w.runFor(milliseconds{500});
    w.breakOff(streams);
    checkContinued(w.resumeAll(streams, GENERATE("g1", "g3")));
}

TEST_CASE("a third try that names the attempt of the first event stays at its software version")
{
    version_world w;
    auto streams = w.begin("g1");
    w.breakOff(streams);
    checkContinued(w.resumeAll(streams, "g3"));
    checkContinued(w.resumeAll(streams, "g2"));
}

TEST_CASE("two tries at once to continue a stream both stay at its software version")
{
    version_world w;
    auto streams = w.begin("g1");
    w.breakOff(streams);
    auto others = streams;
    const auto first = w.resume("g2", streams[0].attempt, "2");
    checkContinued(w.resumeAll(others, "g3"));
    REQUIRE(w.await(first));
    CHECK(versionsIn(first->body) == versionsIn(streams[0].received));
}

TEST_CASE("a stream of which no software version is left is refused at once, without a time to "
          "retry")
{
    version_world w;
    auto streams = w.begin("g1");
    w.breakOff(streams);
    w.removeServers("v1");
    const auto begun = w.clock.now();
    const auto counts = w.resumeAll(streams, GENERATE("g1", "g3"));
    CHECK(w.clock.now() - begun < AtOnce);
    CHECK(counts.joined == 0);
    const auto lost = std::ranges::count_if(streams, [](const auto &each) {
        return versionsIn(each.received) == std::set<std::string>{"v1"};
    });
    CHECK(counts.refused == lost);
    CHECK(counts.continued == Streams - lost);
    const auto refused = w.resume("g1", streams[0].attempt, "2");
    REQUIRE(w.await(refused));
    if (refused->status == 503)
        CHECK(refused->field("retry-after").empty());
}

TEST_CASE("a stream of an unnamed attempt is refused while two software versions serve")
{
    version_world w;
    const auto answer = w.resume("g1", "", "2");
    REQUIRE(w.await(answer));
    CHECK(answer->status == 503);
}

TEST_CASE("a stream of which no gateway has a record continues at the same software version on all")
{
    version_world w;
    const auto attempt = GENERATE(std::string("never-seen"), std::string("\"; x"));
    std::set<std::string> versions;
    for (const auto *each : {"g1", "g2", "g3", "g4"}) {
        const auto answer = w.resume(each, attempt, "2");
        REQUIRE(w.await(answer));
        CHECK(answer->status == 200);
        versions.merge(versionsIn(answer->body));
    }
    CHECK(versions.size() == 1);
}

TEST_CASE("an unreadable last event does not let a stream change its software version")
{
    version_world w;
    const auto answer = w.resume("g1", "never-seen", "x");
    REQUIRE(w.await(answer));
    CHECK(answer->status == 503);
}

TEST_CASE("a stream without a last event begins anew although its first attempt is unknown")
{
    version_world w;
    const auto answer = w.resume("g1", "never-seen", std::nullopt);
    REQUIRE(w.runUntil([&] { return !answer->body.empty(); }));
    CHECK(answer->status == 200);
}

TEST_CASE("a customer learns nothing about the streams of another customer")
{
    version_world w;
    std::vector<std::string> attempts;
    std::vector<std::shared_ptr<client_answer>> before;
    for (int i = 1; i <= Streams; ++i) {
        attempts.push_back("a-" + std::to_string(i));
        before.push_back(w.resume("g1", attempts.back(), "2", "k2"));
        REQUIRE(w.await(before.back()));
    }
    w.restartAttempts();
    const auto streams = w.begin("g1");
    std::set<std::string> differences;
    for (std::size_t i = 0; i < streams.size(); ++i) {
        REQUIRE(streams[i].attempt == attempts[i]);
        const auto after = w.resume("g1", attempts[i], "2", "k2");
        REQUIRE(w.await(after));
        CHECK(after->status == before[i]->status);
        CHECK(after->body == before[i]->body);
        CHECK(after->field("retry-after") == before[i]->field("retry-after"));
        if (versionsIn(after->body) != versionsIn(streams[i].answer->body))
            differences.insert(attempts[i]);
    }
    CHECK_FALSE(differences.empty());
}

TEST_CASE("no stream is refused while only one software version has served")
{
    version_world w({"v1"});
    auto streams = w.begin("g1");
    w.breakOff(streams);
    w.killGateway("g1");
    checkContinued(w.resumeAll(streams, "g3"));
    for (const auto *each : {"g2", "g3", "g4"})
        w.killGateway(each);
    w.startGateway("g5");
    checkContinued(w.resumeAll(streams, "g5"));
}

TEST_CASE("streams are never joined after all gateways started again")
{
    version_world w;
    auto streams = w.begin("g1");
    w.breakOff(streams);
    for (const auto *each : {"g1", "g2", "g3", "g4"})
        w.killGateway(each);
    w.startGateway("g5");
    const auto counts = w.resumeAll(streams, "g5");
    CHECK(counts.joined == 0);
    CHECK(counts.continued + counts.refused == Streams);
}

// A gateway that lost its memory took a list that it had just read for the whole history.
TEST_CASE("streams of two versions that both serve go on after all gateways were killed")
{
    version_world w;
    auto streams = w.begin("g1");
    w.breakOff(streams);
    w.killAll();
    w.startAgain("g5");
    checkContinued(w.resumeAll(streams, "g5"));
}

TEST_CASE("no stream is joined after all gateways were killed and the old version left")
{
    version_world w;
    auto streams = w.begin("g1");
    w.breakOff(streams);
    const bool leftBefore = GENERATE(true, false);
    if (leftBefore)
        w.removeServers("v1");
    w.killAll();
    if (!leftBefore)
        w.removeServers("v1");
    w.startAgain("g5");
    const auto ofNew = static_cast<int>(std::ranges::count_if(streams, [](const auto &each) {
        return versionsIn(each.received) == std::set<std::string>{"v2"};
    }));
    const auto counts = w.resumeAll(streams, "g5");
    INFO("continued " << counts.continued << " of " << ofNew);
    CHECK(counts.joined == 0);
    CHECK(2 * counts.continued >= ofNew);
    CHECK(counts.continued + counts.refused == Streams);
}

TEST_CASE("no stream is joined after ids started again with the new version while all gateways "
          "were down")
{
    version_world w({"v1"});
    auto streams = w.begin("g1");
    w.breakOff(streams);
    w.killAll();
    w.restartAs("v1", "v2");
    w.startAgain("g5");
    const auto counts = w.resumeAll(streams, "g5");
    CHECK(counts.joined == 0);
    CHECK(counts.refused == Streams);
}

TEST_CASE("no stream is joined if the store dropped the history of a release that has just ended")
{
    version_world w({"v1"});
    auto streams = w.begin("g1");
    w.breakOff(streams);
    w.addVersion("v2", w.unixTime());
    w.removeServers("v1");
    w.killAll();
    w.store.compact();
    w.startAgain("g5");
    const auto counts = w.resumeAll(streams, "g5");
    CHECK(counts.joined == 0);
    CHECK(counts.refused == Streams);
}

TEST_CASE("streams of a single version go on after all gateways were killed, whatever the store "
          "kept of its history")
{
    version_world w({"v1"});
    auto streams = w.begin("g1");
    w.breakOff(streams);
    w.killAll();
    const bool dropped = GENERATE(true, false);
    if (dropped)
        w.store.compact();
    w.startAgain("g5");
    checkContinued(w.resumeAll(streams, "g5"));
}

TEST_CASE("no stream is joined after gateways were killed one after another during a release")
{
    version_world w({"v1"});
    auto streams = w.begin("g1");
    w.breakOff(streams);
    w.killGateway("g1");
    w.addVersion("v2", w.unixTime());
    w.killGateway("g2");
    w.startAgain("g5");
    w.killGateway("g3");
    w.removeServers("v1");
    w.startAgain("g6");
    w.killGateway("g4");
    w.killGateway("g5");
    const auto counts = w.resumeAll(streams, "g6");
    CHECK(counts.joined == 0);
    CHECK(counts.continued + counts.refused == Streams);
}

// Guards against streams that are refused after a release and a kill of all gateways although the
// servers of their version go on with them.
TEST_CASE("streams that servers are running continue after a release and a kill of all gateways")
{
    reporting_world w;
    const std::string gateway = GENERATE("g1", "g3");
    w.startAgain("g1");
    w.startAgain("g3");
    REQUIRE(w.runUntil([&] { return w.knowsMembers(2); }));
    const auto counts = w.resumeAll(w.streams, gateway);
    CHECK(counts.continued == Streams);
    CHECK(counts.joined == 0);
}

// Guards against a report that is taken for evidence though it is none, and against lookups that
// wait for it.
TEST_CASE("reports that don't show which server began a stream leave its version uncertain")
{
    reporting_world w;
    w.reports = GENERATE(report_kind::NoRuns, report_kind::NoEvents, report_kind::OtherStart,
                         report_kind::Unreadable, report_kind::Silent);
    w.startAgain("g1");
    w.runFor(AtOnce);
    const auto begin = w.clock.now();
    const auto counts = w.resumeAll(w.streams, "g1");
    CHECK(counts.joined == 0);
    CHECK(counts.refused > 0);
    CHECK(counts.continued + counts.refused == Streams);
    CHECK(w.clock.now() - begin < AtOnce + milliseconds{500});
}

// Guards against streams that are joined because two requests have the same attempt identifier.
TEST_CASE("an attempt that servers of two versions report leaves its version uncertain")
{
    version_world w;
    w.publish(2, streamRoute(true),
              R"({"name":"engine","engine":{"slots":8,"kv_capacity":100000}})",
              R"(},{"name":"t2","api_keys":["k2"],"priority":1)");
    w.removeServers("v2");
    auto streams = w.begin("g1");
    w.breakOff(streams);
    w.killAll();
    w.runs["v2-0"] = w.runs["v1-0"];
    REQUIRE_FALSE(w.runs["v2-0"].empty());
    w.announceVersion(w.server("v2-0"), "engine", "v2", FirstStart);
    w.startAgain("g1");
    const auto counts = w.resumeAll(streams, "g1");
    CHECK(counts.joined == 0);
    CHECK(counts.refused > 0);
}

// Guards against a stream that is taken for an old one because no node that was asked has its
// record, although the node that began it could send none and has ended since.
TEST_CASE("no stream is joined whose gateway couldn't send its record and ended, after a kill of "
          "all gateways")
{
    patient_world w;
    w.peersCanBeCut = true;
    w.startGateway("g1");
    w.startGateway("g2");
    w.startGateway("g3", true, "y");
    REQUIRE(w.runUntil([&] { return w.knowsMembers(3); }));
    // The history is read before the release.
    REQUIRE(w.resumeAll(w.early, "g3").continued == 1);
    w.runFor(milliseconds{7000});
    w.cutFromPeers("g1", cut_kind::Hang);
    w.addVersion("v2", w.unixTime());
    auto streams = w.begin("g1");
    w.breakOff(streams);
    w.killGateway("g1");
    REQUIRE(w.runUntil([&] { return w.knowsMembers(2); }, milliseconds{10'000}));
    const auto counts = w.resumeAll(streams, "g3");
    INFO("continued " << counts.continued << ", refused " << counts.refused);
    CHECK(counts.joined == 0);
}

// Guards against a report with more runs than a server can have, whose records replace those of the
// streams of the gateway.
TEST_CASE("a report of very many runs doesn't end the records of streams")
{
    constexpr int ReportedRuns = 40'000;
    version_world w({"v1"});
    w.publish(2, streamRoute(true),
              R"({"name":"engine","engine":{"slots":8,"kv_capacity":100000}})",
              R"(},{"name":"t2","api_keys":["k2"],"priority":1)");
    w.runFor(milliseconds{500});
    w.killAll();
    for (int i = 0; i < ReportedRuns; ++i)
        w.runs["v1-0"].push_back("x" + std::to_string(i));
    w.startAgain("g1");
    w.runFor(milliseconds{1000});
    // Of requests that succeed the log has some 20 a second.
    constexpr int Batch = Streams / 2;
    int own = 0;
    for (int i = 0; i < Streams; i += Batch) {
        auto streams = w.begin("g1", Batch);
        w.breakOff(streams);
        w.logOutput.str({});
        (void)w.resumeAll(streams, "g1");
        w.runFor(milliseconds{1000}); // another thread writes the log
        const auto log = w.logOutput.str();
        const std::string source = " source=own ";
        for (auto at = log.find(source); at != std::string::npos; at = log.find(source, at + 1))
            ++own;
    }
    CHECK(own == Streams);
}

// Guards against records that a node has sent to nobody, because it began streams before it knew
// its peers.
TEST_CASE("no stream is joined whose gateway ended a moment after its start")
{
    patient_world w;
    w.startGateway("g2");
    w.startGateway("g3", true, "y");
    REQUIRE(w.runUntil([&] { return w.knowsMembers(2); }));
    // The history is read before the release.
    REQUIRE(w.resumeAll(w.early, "g3").continued == 1);
    w.runFor(milliseconds{7000});
    w.addVersion("v2", w.unixTime());
    w.startGateway("g1");
    auto streams = w.begin("g1");
    w.breakOff(streams);
    w.killGateway("g1");
    REQUIRE(w.runUntil([&] { return w.knowsMembers(2); }, milliseconds{10'000}));
    const auto counts = w.resumeAll(streams, "g3");
    INFO("continued " << counts.continued << ", refused " << counts.refused);
    CHECK(counts.joined == 0);
}

// Guards against servers of a later version that are taken for ready since the start of the gateway
// once it has read the history of the store.
TEST_CASE("no stream is joined whose gateway ended before a release that the history shows")
{
    patient_world w;
    w.peersCanBeCut = true;
    w.startGateway("g1");
    w.startGateway("g3", true, "y");
    REQUIRE(w.runUntil([&] { return w.knowsMembers(2); }));
    w.runFor(milliseconds{4000});
    w.cutFromPeers("g1", cut_kind::Hang);
    auto streams = w.begin("g1");
    w.breakOff(streams);
    w.killGateway("g1");
    w.runFor(milliseconds{1000});
    w.addVersion("v2", w.unixTime());
    (void)w.resumeAll(w.early, "g3");
    w.runFor(milliseconds{1500});
    w.timeLeft = milliseconds{12'000};
    const auto counts = w.resumeAll(streams, "g3");
    INFO("continued " << counts.continued << ", refused " << counts.refused);
    CHECK(counts.joined == 0);
}
