#include "gateway/servers/server_directory.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

server_record makeRecord(const std::string &id, const std::string &dataCenter = "a")
{
    server_record record;
    record.id = backend_server_id(id);
    record.service = service_id("s");
    record.address = {"10.0.0.1", static_cast<std::uint16_t>(1000 + id.back())};
    record.dataCenter = data_center_id(dataCenter);
    record.slots = 4;
    return record;
}

server_query wishFor(const std::string &dataCenter = "a")
{
    server_query query;
    query.service = service_id("s");
    query.preferredDataCenter = data_center_id(dataCenter);
    return query;
}

} // namespace

TEST_CASE(
    "the server with the lowest load is chosen, at equal load one in the preferred data centre")
{
    manual_clock clock;
    server_directory directory(clock);
    directory.put(makeRecord("s1", "b"));
    directory.put(makeRecord("s2", "a"));
    CHECK(directory.choose(wishFor())->record.id.value == "s2");
    directory.find(backend_server_id("s2"))->outstanding = 2;
    CHECK(directory.choose(wishFor())->record.id.value == "s1");
}

// Pattern: far more nodes than servers, a request from each node every few seconds, and idle
// servers. Guards against all nodes choosing the same one of several equal servers.
TEST_CASE("all servers of equal cost get requests, and each node uses two of them")
{
    constexpr std::size_t Nodes = 96;
    constexpr std::size_t Servers = 21;
    constexpr std::size_t RequestsOfANode = 6;
    std::map<std::string, std::size_t> requests;
    for (std::size_t node = 0; node < Nodes; ++node) {
        manual_clock clock;
        server_directory directory(clock);
        directory.setSelf(vm_id("node-" + std::to_string(node)));
        for (std::size_t i = 0; i < Servers; ++i)
            directory.put(makeRecord("s" + std::to_string(100 + i)));
        std::set<std::string> used;
        for (std::size_t i = 0; i < RequestsOfANode; ++i) {
            clock.advance(milliseconds{3000});
            const auto chosen = directory.choose(wishFor());
            REQUIRE(chosen);
            directory.onSending(*chosen);
            ++requests[chosen->record.id.value];
            used.insert(chosen->record.id.value);
        }
        CHECK(used.size() == 2);
    }
    CHECK(requests.size() == Servers);
    const auto mean = Nodes * RequestsOfANode / Servers;
    const auto busiest = std::ranges::max_element(requests, {}, [](const auto &entry) {
                             return entry.second;
                         })->second;
    INFO("busiest " << busiest << ", mean " << mean);
    CHECK(busiest <= 2 * mean);
}

TEST_CASE("a server that is leaving or no longer published gets no new work")
{
    manual_clock clock;
    server_directory directory(clock);
    directory.put(makeRecord("s1"));
    auto leaving = makeRecord("s1");
    leaving.leaving = true;
    directory.put(leaving);
    CHECK(directory.choose(wishFor()) == nullptr);
    directory.put(makeRecord("s2"));
    directory.find(backend_server_id("s2"))->removed = true;
    CHECK(directory.choose(wishFor()) == nullptr);
}

TEST_CASE("a server with two consecutive failures is avoided for a while")
{
    manual_clock clock;
    server_directory directory(clock);
    directory.put(makeRecord("s1"));
    directory.put(makeRecord("s2", "b"));
    const auto failing = directory.find(backend_server_id("s1"));
    directory.onFailure(*failing);
    CHECK(directory.choose(wishFor()) == failing);
    directory.onFailure(*failing);
    CHECK(directory.choose(wishFor())->record.id.value == "s2");
    clock.advance(milliseconds{1100});
    CHECK(directory.choose(wishFor()) == failing);
}

TEST_CASE("an avoided server is chosen if all are avoided")
{
    manual_clock clock;
    server_directory directory(clock);
    directory.put(makeRecord("s1"));
    const auto only = directory.find(backend_server_id("s1"));
    directory.onFailure(*only);
    directory.onFailure(*only);
    CHECK(directory.choose(wishFor()) == only);
}

TEST_CASE("a load report is used only while it is recent")
{
    manual_clock clock;
    server_directory directory(clock);
    directory.put(makeRecord("s1"));
    directory.put(makeRecord("s2", "b"));
    directory.onSignals(*directory.find(backend_server_id("s1")), {.load = server_load{4, 3, 4}});
    CHECK(directory.choose(wishFor())->record.id.value == "s2");
    clock.advance(milliseconds{500});
    CHECK(directory.choose(wishFor())->record.id.value == "s1");
}

TEST_CASE("the reported time of a server is that of the latest response of any node")
{
    manual_clock clock;
    clock.advance(std::chrono::seconds{60});
    server_directory directory(clock);
    directory.put(makeRecord("s1"));
    const auto server = directory.find(backend_server_id("s1"));
    directory.onSignals(*server, {.load = server_load{4, 3, 4}});
    CHECK_FALSE(server->reportedTime);
    directory.onSignals(*server, {.load = server_load{4, 3, 4, 250}});
    server_directory::onReportedTime(*server, 100, clock.now() - milliseconds{10});
    REQUIRE(server->reportedTime);
    CHECK(server->reportedTime->percent == 250);
    server_directory::onReportedTime(*server, 100, clock.now());
    CHECK(server->reportedTime->percent == 100);
}

TEST_CASE("servers already tried are not chosen again")
{
    manual_clock clock;
    server_directory directory(clock);
    directory.put(makeRecord("s1"));
    auto query = wishFor();
    query.exclude.push_back(backend_server_id("s1"));
    CHECK(directory.choose(query) == nullptr);
}

TEST_CASE("a reused address is resolved to its new server")
{
    manual_clock clock;
    server_directory directory(clock);
    auto record = makeRecord("s1");
    directory.put(record);
    const auto old = directory.findAt(record.address);
    directory.remove(record.id);
    record.id = backend_server_id("s9");
    directory.put(record);
    REQUIRE(directory.findAt(record.address));
    CHECK(directory.findAt(record.address)->record.id.value == "s9");
    CHECK(old->removed);
}

TEST_CASE("the start and the end of avoiding a server are each reported once")
{
    manual_clock clock;
    server_directory directory(clock);
    directory.put(makeRecord("s1"));
    std::vector<bool> reported;
    directory.onAvoidanceChanged(
        [&](const server &, bool avoided) { reported.push_back(avoided); });
    auto &only = *directory.find(backend_server_id("s1"));
    directory.onFailure(only);
    CHECK(reported.empty());
    directory.onFailure(only);
    directory.onFailure(only);
    CHECK(reported == std::vector<bool>{true});
    directory.onAnswer(only);
    directory.onAnswer(only);
    CHECK(reported == std::vector<bool>{true, false});
}

TEST_CASE("a rate limit holds until a response changes it, and each change is reported")
{
    manual_clock clock;
    server_directory directory(clock);
    directory.put(makeRecord("s1"));
    std::vector<std::optional<double>> reported;
    directory.onRateLimitChanged([&](const server &backend, std::optional<double> before) {
        reported.push_back(before);
        reported.push_back(backend.rateLimit);
    });
    auto &server = *directory.find(backend_server_id("s1"));
    directory.onRateLimit(server, {});
    directory.onRateLimit(server, {2.5});
    directory.onRateLimit(server, {2.5});
    directory.onRateLimit(server, {std::nullopt, false});
    CHECK(server.rateLimit == 2.5);
    directory.onRateLimit(server, {});
    CHECK_FALSE(server.rateLimit);
    CHECK(reported == std::vector<std::optional<double>>{std::nullopt, 2.5, 2.5, std::nullopt});
}

TEST_CASE("a rate limit is formatted as a number, and a missing one as none")
{
    CHECK(rateLimitText(2.5) == "2.5");
    CHECK(rateLimitText(1.0) == "1");
    CHECK(rateLimitText(std::nullopt) == "none");
}

TEST_CASE("a rate-limited server is never chosen locally, and outdated limit reports are ignored")
{
    manual_clock clock;
    server_directory directory(clock);
    directory.put(makeRecord("s1"));
    directory.put(makeRecord("s2"));
    auto &limited = *directory.find(backend_server_id("s1"));
    directory.onRateLimit(limited, {1.0});
    CHECK(directory.choose(wishFor())->record.id.value == "s2");
    CHECK(directory.anyRateLimited(service_id("s"), {}));
    CHECK_FALSE(directory.allRateLimited(service_id("s"), {}));
    directory.onRateLimit(limited, {}, clock.now() - milliseconds{1});
    CHECK(limited.rateLimit == 1.0);
    directory.onRateLimit(*directory.find(backend_server_id("s2")), {1.0});
    CHECK(directory.allRateLimited(service_id("s"), {}));
    CHECK(directory.choose(wishFor()) == nullptr);
    CHECK_FALSE(directory.allRateLimited(service_id("other"), {}));
}

TEST_CASE("server_directory: a later start of a server gets fresh state")
{
    manual_clock clock;
    server_directory directory(clock);
    auto record = makeRecord("s1");
    record.startedAt = 1'000;
    directory.put(record);
    const auto earlier = directory.find(record.id);
    earlier->removed = true;
    earlier->outstanding = 3;
    earlier->latencyRatio = 5.0;
    directory.onFailure(*earlier);
    directory.onFailure(*earlier);
    REQUIRE(directory.choose(wishFor()) == nullptr);
    record.startedAt = 2'000;
    directory.put(record);
    const auto later = directory.choose(wishFor());
    REQUIRE(later);
    CHECK(later != earlier);
    CHECK(later->outstanding == 0);
    CHECK(later->consecutiveFailures == 0);
    CHECK(later->latencyRatio == 1.0);
    SECTION("a late record of the earlier start is ignored")
    {
        record.startedAt = 1'000;
        record.leaving = true;
        directory.put(record);
        CHECK(directory.choose(wishFor()) == later);
    }
    SECTION("a record without a start time updates the known start")
    {
        record.startedAt.reset();
        record.leaving = true;
        directory.put(record);
        CHECK(directory.find(record.id) == later);
        CHECK(later->record.leaving);
        CHECK(later->record.startedAt == 2'000);
    }
}

TEST_CASE("server_directory: a record with another software version is another start")
{
    manual_clock clock;
    server_directory directory(clock);
    auto record = makeRecord("s1");
    record.version = software_version("v1");
    directory.put(record);
    const auto earlier = directory.find(record.id);
    record.version = software_version("v2");
    directory.put(record);
    CHECK(earlier->removed);
    CHECK(earlier->record.version == software_version("v1"));
    CHECK(directory.find(record.id)->record.version == software_version("v2"));
}

TEST_CASE("server_directory: only servers of the required software version are chosen")
{
    manual_clock clock;
    server_directory directory(clock);
    for (const std::string id : {"s1", "s2", "s3"}) {
        auto record = makeRecord(id);
        record.version = software_version(id == "s2" ? "v2" : "v1");
        directory.put(record);
    }
    auto query = wishFor();
    query.version = software_version("v2");
    for (int i = 0; i < 4; ++i) {
        const auto chosen = directory.choose(query);
        REQUIRE(chosen);
        CHECK(chosen->record.id.value == "s2");
        directory.onSending(*chosen);
    }
    query.exclude = {backend_server_id("s2")};
    CHECK_FALSE(directory.choose(query));
}

TEST_CASE("server_directory: versions count as serving until their last server is long gone")
{
    manual_clock clock;
    server_directory directory(clock);
    auto record = makeRecord("s1");
    record.version = software_version("v1");
    directory.put(record);
    record.version = software_version("v2");
    directory.put(record);
    const auto removed = clock.now();
    clock.advance(std::chrono::seconds{30});
    CHECK(directory.versionsSince(record.service, removed).size() == 2);
    CHECK(directory.versionsSince(record.service, removed + milliseconds{1}).size() == 1);
    CHECK(directory.mayReturn(record.service, software_version("v2")));
    CHECK_FALSE(directory.mayReturn(record.service, software_version("v1")));
    record.leaving = true;
    directory.put(record);
    CHECK_FALSE(directory.mayReturn(record.service, software_version("v2")));
}

namespace {

server_signals refusal(milliseconds retryAfter = {})
{
    server_signals signals;
    signals.refused = true;
    if (retryAfter > milliseconds{0})
        signals.retryAfter = retryAfter;
    return signals;
}

server_signals taken()
{
    server_signals signals;
    signals.accepted = true;
    return signals;
}

server_signals leaving()
{
    server_signals signals;
    signals.leaving = true;
    return signals;
}

} // namespace

TEST_CASE("a leaving announcement holds for one start, even if its entry expires in between")
{
    manual_clock clock;
    server_directory directory(clock);
    auto record = makeRecord("s1");
    record.startedAt = 1000;
    directory.put(record);
    directory.onSignals(*directory.find(record.id), leaving());
    directory.put(record);
    CHECK_FALSE(directory.find(record.id)->usable());
    directory.remove(record.id);
    directory.put(record);
    CHECK_FALSE(directory.find(record.id)->usable());
    record.startedAt = 2000;
    directory.put(record);
    CHECK(directory.find(record.id)->usable());
}

TEST_CASE("a start that another node reported as leaving is leaving once it is published")
{
    manual_clock clock;
    server_directory directory(clock);
    auto record = makeRecord("s1");
    record.startedAt = 1000;
    CHECK(directory.onPeerReportedLeaving(record.start()));
    CHECK_FALSE(directory.onPeerReportedLeaving(record.start()));
    directory.put(record);
    CHECK_FALSE(directory.find(record.id)->usable());
    CHECK(directory.leavingStarts() == std::vector{record.start()});
    directory.remove(record.id);
    CHECK_FALSE(directory.onPeerReportedLeaving(record.start()));
    directory.put(record);
    // A start earlier than the known one.
    CHECK_FALSE(directory.onPeerReportedLeaving({record.id, 900}));
    CHECK(directory.unavailabilityOf(service_id("s"), residency{}) == unavailability::Leaving);
}

TEST_CASE("an expired start that another node reports as leaving is leaving when published again")
{
    manual_clock clock;
    server_directory directory(clock);
    const auto record = makeRecord("s1");
    directory.put(record);
    directory.remove(record.id);
    CHECK(directory.onPeerReportedLeaving(record.start()));
    directory.put(record);
    CHECK_FALSE(directory.find(record.id)->usable());
}

TEST_CASE("a leaving start is listed until it is removed and its retention time has passed")
{
    manual_clock clock;
    server_directory directory(clock);
    const auto record = makeRecord("s1");
    const auto other = makeRecord("s2");
    directory.put(record);
    directory.put(other);
    CHECK(directory.leavingStarts().empty());
    directory.onSignals(*directory.find(record.id), leaving());
    CHECK(directory.leavingStarts() == std::vector{record.start()});
    directory.remove(record.id);
    CHECK(directory.leavingStarts() == std::vector{record.start()});
    clock.advance(std::chrono::seconds{61});
    CHECK(directory.leavingStarts().empty());
    directory.remove(other.id);
    CHECK(directory.leavingStarts().empty());
}

TEST_CASE("a server gets no request during its requested backoff, to the millisecond")
{
    manual_clock clock;
    server_directory directory(clock);
    directory.put(makeRecord("s1"));
    const auto only = directory.find(backend_server_id("s1"));
    directory.onSignals(*only, refusal(milliseconds{1700}));
    CHECK(directory.backoffOf(service_id("s"), {}) == milliseconds{1700});
    // Neither a response that was already under way nor a shorter backoff ends the present one.
    directory.onSignals(*only, taken());
    directory.onSignals(*only, refusal(milliseconds{100}));
    clock.advance(milliseconds{1699});
    CHECK(directory.choose(wishFor()) == nullptr);
    CHECK(directory.excludedServers(service_id("s"), {}) == std::vector{only->record.id});
    clock.advance(milliseconds{1});
    CHECK(directory.choose(wishFor()) == only);
    CHECK_FALSE(directory.backoffOf(service_id("s"), {}));
}

TEST_CASE("requested backoffs are extended by the configured spread")
{
    manual_clock clock;
    server_directory directory(clock);
    directory.setBackoffJitter([] { return 0.25; });
    directory.put(makeRecord("s1"));
    directory.onSignals(*directory.find(backend_server_id("s1")), refusal(milliseconds{2000}));
    CHECK(directory.backoffOf(service_id("s"), {}) == milliseconds{2500});
}

TEST_CASE("after a backoff a server gets one request at a time until it accepts one")
{
    manual_clock clock;
    server_directory directory(clock);
    directory.put(makeRecord("s1"));
    const auto only = directory.find(backend_server_id("s1"));
    directory.onSignals(*only, refusal(milliseconds{1000}));
    clock.advance(milliseconds{1000});
    REQUIRE(only->accepts(clock.now()));
    directory.onSending(*only);
    CHECK_FALSE(only->accepts(clock.now()));
    SECTION("the request is accepted")
    {
        directory.onSignals(*only, taken());
        CHECK(only->accepts(clock.now()));
        directory.onSending(*only);
        CHECK(only->accepts(clock.now()));
    }
    SECTION("no response arrives")
    {
        clock.advance(milliseconds{500});
        CHECK(only->accepts(clock.now()));
    }
}

TEST_CASE("consecutive refusals make the avoidance longer until a request is accepted")
{
    manual_clock clock;
    server_directory directory(clock);
    directory.put(makeRecord("s1"));
    directory.put(makeRecord("s2", "b"));
    const auto refusing = directory.find(backend_server_id("s1"));
    std::vector<milliseconds> excludedServers;
    for (int i = 0; i < 5; ++i) {
        directory.onSignals(*refusing, refusal());
        directory.onSignals(*refusing, refusal()); // sent at the same time
        milliseconds time{0};
        while (directory.choose(wishFor()) != refusing) {
            clock.advance(milliseconds{10});
            time += milliseconds{10};
        }
        excludedServers.push_back(time);
    }
    CHECK(excludedServers
          == std::vector{milliseconds{60}, milliseconds{240}, milliseconds{960}, milliseconds{3840},
                         milliseconds{3840}});
    directory.onSignals(*refusing, taken());
    directory.onSignals(*refusing, refusal());
    clock.advance(milliseconds{60});
    CHECK(directory.choose(wishFor()) == refusing);
}

TEST_CASE("a start that another node reported as brittle is so until a response says otherwise")
{
    manual_clock clock;
    server_directory directory(clock);
    auto record = makeRecord("s1");
    record.startedAt = 1000;
    const brittle_server reported{record.start(), 3};
    CHECK_FALSE(directory.onPeerReportedBrittle(reported)); // not published
    directory.put(record);
    CHECK_FALSE(directory.onPeerReportedBrittle({{record.id, 900}, 3}));
    CHECK_FALSE(directory.anyBrittle(record.service));
    CHECK(directory.onPeerReportedBrittle(reported));
    CHECK_FALSE(directory.onPeerReportedBrittle(reported));
    CHECK(directory.anyBrittle(record.service));
    CHECK(directory.brittleServers() == std::vector{reported});
    server_signals signals = NoSignals;
    signals.brittleness = {std::nullopt, true};
    directory.onSignals(*directory.find(record.id), signals);
    CHECK_FALSE(directory.anyBrittle(record.service));
    CHECK(directory.brittleServers().empty());
}

TEST_CASE("the first response that says that a server is brittle is reported")
{
    manual_clock clock;
    server_directory directory(clock);
    auto record = makeRecord("s1");
    directory.put(record);
    std::vector<brittle_server> heard;
    directory.onBrittleReported([&](const brittle_server &each) { heard.push_back(each); });
    server_signals signals = NoSignals;
    signals.brittleness = {2, true};
    directory.onSignals(*directory.find(record.id), signals);
    directory.onSignals(*directory.find(record.id), signals);
    CHECK(heard == std::vector{brittle_server{record.start(), 2}});
    record.startedAt = 2000;
    directory.put(record);
    CHECK_FALSE(directory.anyBrittle(record.service));
    directory.onSignals(*directory.find(record.id), signals);
    CHECK(heard.size() == 2);
}

TEST_CASE("a brittle start that expires is listed again when it is published again")
{
    manual_clock clock;
    server_directory directory(clock);
    const auto record = makeRecord("s1");
    const auto other = makeRecord("s2");
    directory.put(record);
    directory.put(other);
    server_signals signals = NoSignals;
    signals.brittleness = {2, true};
    directory.onSignals(*directory.find(record.id), signals);
    directory.remove(record.id);
    CHECK(directory.brittleServers().empty());
    directory.onSignals(*directory.find(other.id), signals);
    directory.put(record);
    CHECK(directory.brittleServers()
          == std::vector{brittle_server{record.start(), 2}, brittle_server{other.start(), 2}});
}
