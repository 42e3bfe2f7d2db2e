#pragma once

#include "platform_world.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Streams of servers of several software versions, in one process with their gateways.
namespace orchidlead::platform_world {

constexpr int ServersPerVersion = 4;
constexpr int Streams = 24;
/// At least this many of `Streams` must go on: nine in ten.
constexpr int MinContinued = 22;
/// Events that a server writes before the stream ends or is left open.
constexpr int EventsPerTry = 2;
constexpr std::uint64_t FirstStart = 1'764'000'000'000;
constexpr std::uint64_t SecondStart = FirstStart + 60'000;
/// A refusal without any work takes less time than this.
constexpr milliseconds AtOnce{400};

inline std::string eventOf(int number, const std::string &version)
{
    return "id: " + std::to_string(number) + "\ndata: " + version + "\n\n";
}

/// Returns the versions that wrote the events of an answer.
inline std::set<std::string> versionsIn(const std::string &body)
{
    constexpr std::string_view Data = "data: ";
    std::set<std::string> versions;
    for (auto at = body.find(Data); at != std::string::npos; at = body.find(Data, at + 1))
        versions.insert(body.substr(at + Data.size(), 2));
    return versions;
}

enum class first_try { StaysOpen, BreaksOff };
enum class report_kind { Runs, NoRuns, NoEvents, OtherStart, Unreadable, Silent };

/// Four gateways in two data centres before engines of two versions.
struct version_world : world
{
    explicit version_world(std::vector<std::string> versions = {"v1", "v2"},
                           bool linksCanBeCut = false)
    {
        peersCanBeCut = linksCanBeCut;
        storeCanBeCut = linksCanBeCut;
        publish(1, streamRoute(true), {}, R"(},{"name":"t2","api_keys":["k2"],"priority":1)");
        for (const auto &version : versions) {
            for (int i = 0; i < ServersPerVersion; ++i) {
                const auto id = version + "-" + std::to_string(i);
                setVersion(
                    addServerOfVersion("engine", id, version, FirstStart, i % 2 == 0 ? "z" : "y"),
                    version);
            }
        }
        startGateway("g1", true, "z");
        startGateway("g2", true, "z");
        startGateway("g3", true, "y");
        startGateway("g4", true, "y");
        REQUIRE(runUntil([&] { return knowsMembers(4); }));
        runFor(milliseconds{300});
    }

    /// Has a server write events of this version.
    void setVersion(fake_server &server, const std::string &version)
    {
        server.setReport([this, id = server.id()](const server_request & /*request*/,
                                                  const std::shared_ptr<server_answer> &answer) {
            answerReport(id, answer);
        });
        server.setBehaviour([this, version,
                             id = server.id()](const server_request &request,
                                               const std::shared_ptr<server_answer> &answer) {
            const auto last = http::findField(request.head.fields, "last-event-id");
            if (!last)
                runs[id].push_back(
                    std::string(http::findField(request.head.fields, "x-attempt-id").value_or("")));
            const int begin = last ? std::stoi(std::string(*last)) : 0;
            std::string events;
            for (int i = 1; i <= EventsPerTry; ++i)
                events += eventOf(begin + i, version);
            answer->write(streamHead(request) + chunk(events));
            if (last)
                answer->write("0\r\n\r\n");
            else if (mode == first_try::BreaksOff)
                answer->reset();
        });
    }

    /// Ends a server and starts it again with another version, under its id and at its address.
    void restartServer(const std::string &id, const std::string &version)
    {
        auto &restarted = server(id);
        restarted.resetConnections();
        setVersion(restarted, version);
        runs.erase(id);
        starts[id] = SecondStart;
        announceVersion(restarted, "engine", version, starts[id]);
    }

    /// Announces all servers of one version again with another one and a later start.
    void restartAs(const std::string &idPrefix, const std::string &version)
    {
        for (int i = 0; i < ServersPerVersion; ++i) {
            auto &each = server(idPrefix + "-" + std::to_string(i));
            setVersion(each, version);
            runs.erase(each.id());
            starts[each.id()] = SecondStart;
            announceVersion(each, "engine", version, SecondStart, i % 2 == 0 ? "z" : "y");
        }
    }

    void removeServers(const std::string &idPrefix)
    {
        for (int i = 0; i < ServersPerVersion; ++i)
            store.remove("servers/" + idPrefix + "-" + std::to_string(i));
        runFor(milliseconds{500});
    }

    struct stream
    {
        std::string attempt;
        std::shared_ptr<client_answer> answer;
        http::pool_call call = 0;
        std::string received; ///< over all attempts
    };

    /// Begins streams at a gateway and waits for their first events.
    std::vector<stream> begin(const std::string &gateway, int count = Streams)
    {
        std::vector<stream> streams;
        for (int i = 0; i < count; ++i) {
            stream next{nextAttempt(), std::make_shared<client_answer>(), 0, {}};
            auto head = makeRequest("POST", "/s/x", next.attempt);
            head.fields.push_back({"X-Prefix-Hash", next.attempt + ":50"});
            next.call = startRequest(gateway, std::move(head), "prompt", next.answer);
            streams.push_back(next);
        }
        REQUIRE(runUntil([&] {
            return std::ranges::all_of(
                streams, [](const stream &each) { return !versionsIn(each.answer->body).empty(); });
        }));
        return streams;
    }

    /// Breaks off the client's connections.
    void breakOff(std::vector<stream> &streams)
    {
        for (auto &each : streams) {
            pool.abandon(each.call);
            each.received = each.answer->body;
        }
    }

    std::shared_ptr<client_answer> resume(const std::string &gateway, const std::string &first,
                                          const std::optional<std::string> &lastEvent,
                                          const std::string &key = "k1")
    {
        auto head = makeRequest("POST", "/s/x", nextAttempt());
        for (auto &each : head.fields) {
            if (each.name == "Api-Key")
                each.value = key;
            if (each.name == "X-Deadline-Ms")
                each.value = std::to_string(timeLeft.count());
        }
        head.fields.push_back({"X-Prefix-Hash", first + ":50"});
        if (!first.empty())
            head.fields.push_back({"Resumes", first});
        if (lastEvent)
            head.fields.push_back({"Last-Event-Id", *lastEvent});
        return request(gateway, std::move(head), "prompt");
    }

    struct counts
    {
        int continued = 0;
        int joined = 0; ///< of `continued`, those with events of two versions
        int refused = 0; ///< with a status that promises that the request has not run
    };

    /// Continues streams at a gateway, naming the attempt of their first event. The order is the
    /// reverse of that in which they began, so that by load alone they go to other servers.
    counts resumeAll(std::vector<stream> &streams, const std::string &gateway)
    {
        std::ranges::reverse(streams);
        std::vector<std::shared_ptr<client_answer>> answers;
        for (const auto &each : streams) {
            const auto last = std::ranges::count(each.received, ':') / 2;
            answers.push_back(resume(gateway, each.attempt, std::to_string(last)));
        }
        counts total;
        for (std::size_t i = 0; i < streams.size(); ++i) {
            REQUIRE(await(answers[i]));
            const bool continued = answers[i]->status == 200;
            streams[i].received += continued ? answers[i]->body : "";
            total.continued += continued ? 1 : 0;
            total.refused += answers[i]->status == 503 ? 1 : 0;
            total.joined += versionsIn(streams[i].received).size() > 1 ? 1 : 0;
        }
        return total;
    }

    [[nodiscard]] std::string nextAttempt() { return "a-" + std::to_string(++m_attempts); }
    /// Names the next attempts as the first ones.
    void restartAttempts() { m_attempts = 0; }

    void killAll()
    {
        for (const auto *each : {"g1", "g2", "g3", "g4"})
            killGateway(each);
    }
    /// Starts a gateway after all others were killed.
    void startAgain(const std::string &name)
    {
        startGateway(name);
        runFor(milliseconds{300});
    }
    /// Publishes servers of a further version.
    void addVersion(const std::string &version, std::uint64_t startedAt)
    {
        for (int i = 0; i < ServersPerVersion; ++i) {
            const auto id = version + "-" + std::to_string(i);
            starts[id] = startedAt;
            setVersion(addServerOfVersion("engine", id, version, startedAt), version);
        }
        runFor(milliseconds{500});
    }
    /// Returns the present time as servers publish it.
    [[nodiscard]] std::uint64_t unixTime() const
    {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(clock.wallNow().time_since_epoch()).count());
    }

    /// Has a server report the streams that it has begun, as one does whose gateway lost power.
    void answerReport(const std::string &id, const std::shared_ptr<server_answer> &answer)
    {
        if (reports == report_kind::Silent)
            return;
        std::string body = R"({"busy":false,"runs":[)";
        for (const auto &each :
             reports == report_kind::NoRuns ? std::vector<std::string>{} : runs[id])
            body.append(body.ends_with('[') ? "" : ",")
                .append(R"([")" + each + R"(",120,)")
                .append(reports == report_kind::NoEvents ? "0" : std::to_string(EventsPerTry))
                .append(",5]");
        body.append(R"(],"born":)")
            .append(std::to_string(startOf(id) + (reports == report_kind::OtherStart ? 1 : 0)))
            .append("}");
        if (reports == report_kind::Unreadable)
            body.pop_back();
        answer->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size())
                      + "\r\n\r\n" + body);
    }

    milliseconds timeLeft{2000}; ///< that clients name when they continue a stream
    first_try mode = first_try::StaysOpen;
    report_kind reports = report_kind::Runs;
    std::map<std::string, std::vector<std::string>> runs; ///< attempts, by server
    std::map<std::string, std::uint64_t>
        starts; ///< of servers that started later than `FirstStart`

private:
    [[nodiscard]] std::uint64_t startOf(const std::string &id) const
    {
        const auto found = starts.find(id);
        return found == starts.end() ? FirstStart : found->second;
    }

    int m_attempts = 0;
};

} // namespace orchidlead::platform_world
