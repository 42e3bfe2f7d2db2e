// Guards against streams that are joined from two software versions, or all refused, when their
// clients continue them after all gateways were killed: whatever the gateways knew is gone.
#include "gateway_process.h"
#include "platform_world.h"
#include "version_stream.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

const std::vector<std::string> DataCentersOfGateways{"y", "z", "y", "z"};
constexpr int ServersPerVersion = 5;
constexpr int Streams = 40;
constexpr int NewStreams = 8;
constexpr int EventsPerStream = 80;
constexpr milliseconds EventInterval{20};
/// How long clients wait for their streams, over all tries: the timeout of the route, and longer.
constexpr milliseconds UsualPatience{4000};
constexpr milliseconds LongPatience{8000};
/// From the report that a server leaves until its entry is removed, and from then to its end.
constexpr milliseconds DrainTime{200};
/// History that the store keeps.
constexpr milliseconds HistoryTime{20'000};
constexpr std::chrono::hours AgeOfServers{1};

/// What became of the streams whose clients continued them.
struct rejoin_counts
{
    int resumed = 0;
    int continued = 0;
    int refused = 0; ///< with a status that promises that the request has not run
    int joined = 0; ///< hold events of two versions
    int disordered = 0; ///< events are missing or come twice, or the stream ends too early
    int resumable = 0; ///< of `resumed`, those of a version of which two servers serve
    int continuedResumable = 0;
    int begun = 0; ///< of `NewStreams`
    std::map<int, int> notBegun; ///< of these, by status
};

std::ostream &operator<<(std::ostream &out, const rejoin_counts &counts)
{
    out << "resumed " << counts.resumed << ", continued " << counts.continued << ", refused "
        << counts.refused << ", joined " << counts.joined << ", disordered " << counts.disordered
        << "; of a version that serves " << counts.resumable << ", of these continued "
        << counts.continuedResumable << "; new streams begun " << counts.begun;
    for (const auto &[status, count] : counts.notBegun)
        out << ", not begun with status " << status << ": " << count;
    return out;
}

/// Gateway processes before servers of some versions.
class rejoin_fleet : public process_world
{
public:
    explicit rejoin_fleet(const std::vector<std::string> &versions)
        : m_gateways(*this, DataCentersOfGateways)
    {
        store.setHistory(HistoryTime);
        publish(1, streamRoute(true));
        for (const auto &version : versions) {
            for (int i = 0; i < ServersPerVersion; ++i)
                startServer(version + "-" + std::to_string(i), version, AgeOfServers);
        }
        startGateways();
    }

    /// Begins streams at all gateways, or at all but one, and waits for their first events.
    void beginStreams(std::optional<std::size_t> except = std::nullopt)
    {
        for (int i = 0; i < Streams; ++i) {
            auto gateway = static_cast<std::size_t>(i) % m_gateways.count();
            if (gateway == except)
                gateway = (gateway + 1) % m_gateways.count();
            stream next;
            next.first = nextAttempt();
            next.begunAt = clock.now();
            next.answer = std::make_shared<client_answer>();
            next.call = send(next, gateway, next.first);
            m_streams.push_back(std::move(next));
        }
        REQUIRE(runUntil([this] {
            return std::ranges::all_of(m_streams, [](const stream &each) {
                return parseVersionEvents(each.answer->body).last >= 2;
            });
        }));
    }

    void killGateways()
    {
        for (std::size_t i = 0; i < m_gateways.count(); ++i)
            m_gateways.kill(i);
    }

    void startGateways()
    {
        for (std::size_t i = 0; i < m_gateways.count(); ++i)
            m_gateways.start(i);
        for (std::size_t i = 0; i < m_gateways.count(); ++i)
            awaitGateway(i);
    }

    void restartGateway(std::size_t index)
    {
        m_gateways.kill(index);
        m_gateways.start(index);
        awaitGateway(index);
    }

    /// Has the servers of a version report that they leave.
    void drainServers(const std::string &version)
    {
        for (const auto &[id, each] : m_servers) {
            if (each.version == version)
                announceVersion(server(id), "engine", version, each.startedAt, each.dataCenter,
                                "draining");
        }
        runFor(DrainTime);
    }

    /// Removes the entries of a version's servers, which go on with what they have.
    void removeEntries(const std::string &version)
    {
        for (const auto &[id, each] : m_servers) {
            if (each.version == version)
                store.remove("servers/" + id);
        }
        runFor(DrainTime);
    }

    void endServers(const std::string &version)
    {
        std::erase_if(m_servers, [&](const auto &item) {
            const bool ends = item.second.version == version;
            if (ends)
                server(item.first).crash();
            return ends;
        });
    }

    /// Has the servers of a version leave as planned.
    void leave(const std::string &version)
    {
        drainServers(version);
        removeEntries(version);
        endServers(version);
    }

    /// Starts the servers of a version again under their ids, with another version.
    void restartServers(const std::string &from, const std::string &to)
    {
        std::vector<std::string> ids;
        for (const auto &[id, each] : m_servers) {
            if (each.version == from)
                ids.push_back(id);
        }
        for (const auto &id : ids) {
            server(id).crash();
            startServer(id, to, milliseconds{0});
        }
    }

    /// Starts the servers of a further version.
    void joinServers(const std::string &version)
    {
        for (int i = 0; i < ServersPerVersion; ++i)
            startServer(version + "-" + std::to_string(i), version, milliseconds{0});
    }

    /// Has all clients give up their connections and continue their streams at one gateway.
    void resumeAt(std::size_t gateway)
    {
        for (auto &each : m_streams) {
            pool.abandon(each.call);
            each.received = completeEvents(each.answer->body);
            each.answer = std::make_shared<client_answer>();
            each.call = send(each, gateway, nextAttempt());
        }
    }

    /// Waits for the ends of the streams that were continued.
    rejoin_counts awaitEnds()
    {
        rejoin_counts counts;
        for (const auto &each : m_streams) {
            REQUIRE(await(each.answer, milliseconds{10'000}));
            count(counts, each);
        }
        return counts;
    }

    [[nodiscard]] gateway_processes &gateways() { return m_gateways; }

    /// Has all clients continue their streams and waits for the ends.
    rejoin_counts resumeStreams()
    {
        rejoin_counts counts;
        std::vector<std::shared_ptr<client_answer>> begun;
        for (std::size_t i = 0; i < m_streams.size(); ++i) {
            auto &each = m_streams[i];
            REQUIRE(runUntil([&] { return each.answer->ended; }));
            if (each.answer->end == http::call_end::Complete)
                continue;
            each.received = completeEvents(each.answer->body);
            each.answer = std::make_shared<client_answer>();
            // Clients meet another gateway than before.
            send(each, (i + 1) % m_gateways.count(), nextAttempt());
        }
        for (std::size_t i = 0; i < NewStreams; ++i) {
            stream next;
            next.first = nextAttempt();
            next.begunAt = clock.now();
            next.answer = std::make_shared<client_answer>();
            send(next, i % m_gateways.count(), next.first);
            begun.push_back(next.answer);
        }
        for (const auto &each : m_streams) {
            if (each.received.empty())
                continue;
            REQUIRE(await(each.answer));
            count(counts, each);
        }
        for (const auto &each : begun) {
            REQUIRE(await(each));
            if (parseVersionEvents(each->body).last > 0)
                ++counts.begun;
            else
                ++counts.notBegun[each->status];
        }
        return counts;
    }

    /// Returns the number of streams that began at a version.
    [[nodiscard]] std::ptrdiff_t streamsOf(const std::string &version) const
    {
        return std::ranges::count_if(m_streams, [&](const stream &each) {
            return parseVersionEvents(each.answer->body).versions.contains(version);
        });
    }

    /// Returns the number of streams whose answers haven't ended.
    [[nodiscard]] std::ptrdiff_t openStreams() const
    {
        return std::ranges::count_if(m_streams,
                                     [](const stream &each) { return !each.answer->ended; });
    }

    /// Returns how often gateways have learnt in each way at which version streams began.
    [[nodiscard]] std::string lookups() const
    {
        std::string text = "lookups:";
        for (const std::string source : {"own", "peer", "only_version", "unknown"})
            text += ' ' + source + ' ' + std::to_string(m_gateways.countLines("source=" + source));
        return text;
    }

    milliseconds patience = UsualPatience; ///< of clients

private:
    struct serving_server
    {
        std::string version;
        std::uint64_t startedAt = 0;
        std::string dataCenter;
    };
    struct stream
    {
        std::string first; ///< attempt that brought the first event
        steady_time begunAt;
        std::shared_ptr<client_answer> answer;
        http::pool_call call = 0;
        std::string received; ///< by the first attempt
    };

    [[nodiscard]] std::string nextAttempt() { return "a-" + std::to_string(++m_attempts); }

    void awaitGateway(std::size_t index)
    {
        REQUIRE(runUntil([&] { return m_gateways.isReady(index); }, milliseconds{10'000}));
    }

    void startServer(const std::string &id, const std::string &version, milliseconds age)
    {
        const auto startedAt =
            std::chrono::duration_cast<milliseconds>((clock.wallNow() - age).time_since_epoch());
        const std::string dataCenter = ++m_starts % 2 == 0 ? "y" : "z";
        m_servers[id] = {version, static_cast<std::uint64_t>(startedAt.count()), dataCenter};
        addServerOfVersion("engine", id, version, m_servers[id].startedAt, dataCenter)
            .setBehaviour(versionStreams(loop, version, EventsPerStream, EventInterval));
    }

    http::pool_call send(const stream &sent, std::size_t gateway, const std::string &attempt)
    {
        auto head = makeRequest("POST", "/s/x", attempt);
        const auto left =
            std::chrono::duration_cast<milliseconds>(patience - (clock.now() - sent.begunAt));
        for (auto &each : head.fields) {
            if (each.name == "X-Deadline-Ms")
                each.value = std::to_string(left.count());
        }
        head.fields.push_back({"X-Prefix-Hash", sent.first + ":50"});
        if (!sent.received.empty()) {
            head.fields.push_back({"Resumes", sent.first});
            head.fields.push_back(
                {"Last-Event-Id", std::to_string(parseVersionEvents(sent.received).last)});
        }
        return startRequestAt(m_gateways.clientAddress(gateway), std::move(head), "prompt",
                              sent.answer);
    }

    void count(rejoin_counts &counts, const stream &each) const
    {
        const auto origin = parseVersionEvents(each.received);
        const auto resumed = parseVersionEvents(each.answer->body);
        const auto all = parseVersionEvents(each.received + each.answer->body);
        const bool continued = each.answer->status == 200 && resumed.last > 0;
        const bool whole = each.answer->end == http::call_end::Complete && continued;
        const auto serving = std::ranges::count_if(m_servers, [&](const auto &item) {
            return origin.versions.contains(item.second.version);
        });
        ++counts.resumed;
        counts.continued += continued ? 1 : 0;
        counts.refused += each.answer->status == 503 ? 1 : 0;
        counts.joined += all.versions.size() > 1 ? 1 : 0;
        counts.disordered += all.contiguous && (!whole || all.last == EventsPerStream) ? 0 : 1;
        if (serving < 2)
            return;
        ++counts.resumable;
        counts.continuedResumable += continued ? 1 : 0;
    }

    std::vector<stream> m_streams;
    std::map<std::string, serving_server> m_servers; ///< by id
    int m_starts = 0;
    int m_attempts = 0;
    gateway_processes m_gateways;
};

void checkOrder(const rejoin_counts &counts)
{
    CHECK(counts.joined == 0);
    CHECK(counts.disordered == 0);
    CHECK(counts.begun == NewStreams);
}

// New streams all begin, so that at least half of those that can continue must.
void checkContinued(const rejoin_counts &counts)
{
    REQUIRE(counts.resumable > 0);
    CHECK(2 * counts.continuedResumable >= counts.resumable);
}

/// Two versions whose streams are open at all gateways.
struct two_versions : rejoin_fleet
{
    explicit two_versions(milliseconds clientPatience = UsualPatience)
        : rejoin_fleet({"v1", "v2"})
    {
        patience = clientPatience;
        beginStreams();
        // Streams of both versions, so that they can be joined and must be told apart.
        REQUIRE(streamsOf("v1") > 0);
        REQUIRE(streamsOf("v2") > 0);
    }
};

/// One version whose gateways have known it for longer than a stream may last.
struct late_list_fleet : rejoin_fleet
{
    /// The gateway whose list is late.
    static constexpr std::size_t Late = 3;
    /// The longest time for which a stream may have existed, and the delay of lists.
    static constexpr milliseconds KnownTime{7500};
    /// Until the other gateways know the servers that have joined.
    static constexpr milliseconds PublicationTime{900};

    late_list_fleet()
        : rejoin_fleet({"v1"})
    {
        runFor(KnownTime);
    }

    void beginAmidRelease()
    {
        joinServers("v2");
        runFor(PublicationTime);
        beginStreams(Late);
        REQUIRE(streamsOf("v1") > 0);
        REQUIRE(streamsOf("v2") > 0);
    }
};

/// Streams are taken up at a gateway process that stood still while their version joined, and whose
/// peers end before it goes on. It stands still for `before` until the version joins.
rejoin_counts resumeAfterPause(late_list_fleet &w, milliseconds pause,
                               milliseconds before = milliseconds{0})
{
    const auto begunAt = w.clock.now();
    w.gateways().pause(late_list_fleet::Late);
    w.runFor(before);
    w.beginAmidRelease();
    w.runFor(std::chrono::duration_cast<milliseconds>(begunAt + pause - w.clock.now()));
    REQUIRE(w.openStreams() == Streams);
    w.resumeAt(late_list_fleet::Late);
    w.runFor(milliseconds{50});
    for (std::size_t i = 0; i < late_list_fleet::Late; ++i)
        w.gateways().kill(i);
    w.gateways().resume(late_list_fleet::Late);
    return w.awaitEnds();
}

} // namespace

TEST_CASE("streams of two versions continue after all gateways were killed")
{
    two_versions w;
    w.killGateways();
    w.startGateways();
    const auto counts = w.resumeStreams();
    INFO(counts << "; " << w.lookups());
    checkOrder(counts);
    checkContinued(counts);
}

TEST_CASE("streams aren't joined if their version left just before all gateways were killed")
{
    two_versions w;
    w.drainServers("v1");
    w.removeEntries("v1");
    w.killGateways();
    w.endServers("v1");
    w.startGateways();
    const auto counts = w.resumeStreams();
    INFO(counts << "; " << w.lookups());
    checkOrder(counts);
    checkContinued(counts);
}

TEST_CASE("streams aren't joined if their version left while all gateways were down")
{
    two_versions w;
    w.killGateways();
    w.leave("v1");
    w.startGateways();
    const auto counts = w.resumeStreams();
    INFO(counts << "; " << w.lookups());
    checkOrder(counts);
    checkContinued(counts);
}

TEST_CASE("streams aren't joined if servers changed their version while all gateways were down")
{
    two_versions w;
    w.killGateways();
    w.restartServers("v1", "v2");
    w.startGateways();
    const auto counts = w.resumeStreams();
    INFO(counts << "; " << w.lookups());
    checkOrder(counts);
    checkContinued(counts);
}

TEST_CASE("streams aren't joined if gateways were killed in turn while their version left")
{
    two_versions w;
    w.restartGateway(0);
    w.restartGateway(1);
    w.leave("v1");
    w.restartGateway(2);
    w.restartGateway(3);
    const auto counts = w.resumeStreams();
    INFO(counts << "; " << w.lookups());
    checkOrder(counts);
    checkContinued(counts);
}

TEST_CASE("all streams of the only version continue after all gateways were killed")
{
    rejoin_fleet w({"v1"});
    w.beginStreams();
    w.killGateways();
    w.startGateways();
    const auto counts = w.resumeStreams();
    INFO(counts << "; " << w.lookups());
    checkOrder(counts);
    CHECK(counts.continued == counts.resumed);
}

TEST_CASE("streams aren't joined if their version left and the store dropped its history")
{
    two_versions w;
    w.killGateways();
    w.leave("v1");
    w.store.compact();
    w.startGateways();
    const auto counts = w.resumeStreams();
    INFO(counts << "; " << w.lookups());
    checkOrder(counts);
}

// Guards against an age of streams that is reckoned from the timeout of their route alone.
TEST_CASE("streams of clients that wait longer than the route allows aren't joined after a kill")
{
    two_versions w(LongPatience);
    const auto begunAt = w.clock.now();
    w.killGateways();
    w.leave("v1");
    w.startGateways();
    const auto age = LongPatience - UsualPatience + milliseconds{300};
    w.runFor(std::chrono::duration_cast<milliseconds>(begunAt + age - w.clock.now()));
    const auto counts = w.resumeStreams();
    INFO(counts << "; " << w.lookups());
    checkOrder(counts);
    checkContinued(counts);
}

// A gateway took a list that it had read a moment ago for the list at the time of the request when
// its peers were slow: processes that get no time for a while are enough.
TEST_CASE("streams aren't joined at a gateway process whose list is late while its peers stand "
          "still")
{
    constexpr milliseconds Pause{600};
    late_list_fleet w;
    w.gateways().cutFromStore(late_list_fleet::Late);
    w.runFor(milliseconds{200});
    w.beginAmidRelease();
    const bool ended = GENERATE(false, true);
    for (std::size_t i = 0; i < late_list_fleet::Late; ++i) {
        if (ended)
            w.gateways().kill(i);
        else
            w.gateways().pause(i);
    }
    w.resumeAt(late_list_fleet::Late);
    w.runFor(Pause);
    for (std::size_t i = 0; i < late_list_fleet::Late && !ended; ++i)
        w.gateways().resume(i);
    w.gateways().healStore(late_list_fleet::Late);
    const auto counts = w.awaitEnds();
    INFO("others ended: " << ended << "; " << counts << "; " << w.lookups());
    CHECK(counts.joined == 0);
    CHECK(counts.disordered == 0);
}

// A process that was stopped reads the requests that waited in its sockets beside old answers of
// the store, and its list is as old as its pause.
TEST_CASE("streams aren't joined at a gateway process that stood still while their version joined")
{
    const milliseconds pause{GENERATE(800, 1200, 1500)};
    late_list_fleet w;
    const auto counts = resumeAfterPause(w, pause);
    INFO("stopped for " << pause.count() << " ms; " << counts << "; " << w.lookups());
    CHECK(counts.joined == 0);
    CHECK(counts.disordered == 0);
    checkContinued(counts);
}

// Guards against refusals at a process that stood still for so long that its list counts as old.
TEST_CASE("streams continue at a gateway process that stood still for seconds")
{
    late_list_fleet w;
    // The streams are still open when the process goes on: they take 1.6 s.
    const auto counts = resumeAfterPause(w, milliseconds{3500}, milliseconds{2200});
    INFO(counts << "; " << w.lookups());
    CHECK(counts.joined == 0);
    CHECK(counts.disordered == 0);
    checkContinued(counts);
}
