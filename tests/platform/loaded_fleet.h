#pragma once

#include "platform_world.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Four nodes under a steady load, with servers that can add signal fields to their answers.
namespace orchidlead::platform_world {

/// How long a server takes to answer.
inline constexpr milliseconds ServerResponseTime{50};
/// Interval between requests, over all clients.
inline constexpr milliseconds RequestInterval{25};
/// Time within which a request that can't be served must be refused, without waiting for anything.
inline constexpr milliseconds ImmediateRefusalLimit{200};

inline constexpr std::array FleetNodes{"g1", "g2", "g3", "g4"};

struct loaded_fleet : world
{
    struct fleet_request
    {
        std::string node;
        std::shared_ptr<client_answer> answer;
        steady_time at;
        std::optional<steady_time> endedAt;
    };
    /// A request, stage call or free request that reached a server.
    struct arrival
    {
        steady_time at;
        std::string node; ///< sender of a client's request; empty for stage calls and frees
        steady_time clientSentAt; ///< when the client sent the request
        std::string target;
    };

    explicit loaded_fleet(const std::string &routes, const std::string &services = {});

    void startNodes();
    /// Adds a server that records its requests and answers after `ServerResponseTime`, with the
    /// additional fields of `fieldsOf`.
    fake_server &addRecordingServer(const std::string &service, const std::string &id,
                                    const std::string &dataCenter = "z");
    void send(const std::string &path, const std::string &pieceCounts = {});
    void sendTo(const std::string &to, const std::string &path,
                const std::string &pieceCounts = {});
    /// Sends requests to the nodes in turn for `time`, and waits until all have ended.
    void load(const std::string &path, milliseconds time, const std::string &pieceCounts = {});
    void awaitAllRequests();

    /// Returns how many requests were refused later than `ImmediateRefusalLimit`.
    [[nodiscard]] std::size_t lateRefusals() const;
    [[nodiscard]] std::size_t answeredWith(int status) const;
    [[nodiscard]] std::size_t arrivalsSince(const std::string &id, steady_time since) const;

    /// Returns the fields that a server adds to each answer, in wire format.
    std::function<std::string(const std::string &id)> fieldsOf;
    std::set<std::string> refusing; ///< servers that answer 503 at once without running requests
    std::map<std::string, std::vector<arrival>> arrivals; ///< by server
    std::vector<fleet_request> requests;
    std::set<std::string> nodesWithoutRequests; ///< skipped by `send`
    int pieces = 0; ///< handles returned so far

private:
    void onRequest(const std::string &id, const server_request &request,
                   const std::shared_ptr<server_answer> &answer);
    void answerTo(const std::string &id, const server_request &request,
                  const std::shared_ptr<server_answer> &answer);
    [[nodiscard]] std::string stageAnswer(const std::string &id, const server_request &request);
    [[nodiscard]] std::string withFields(const std::string &id, const std::string &answer) const;
    void recordEnds();

    struct sent_request
    {
        std::string node;
        steady_time at;
    };
    std::size_t m_sent = 0;
    std::size_t m_nextNode = 0;
    std::map<std::string, sent_request> m_byAttempt; ///< all requests ever sent
};

inline const std::string EngineService =
    R"({"name":"engine","engine":{"slots":8,"kv_capacity":100000}})";
inline const std::string StageService =
    R"({"name":"p","segments":{"slots":1,"queue":2,"batch":4,"call_ms":50,"item_ms":1,)"
    R"("headroom_mb":1,"handle_s":2}})";
inline const std::string OneStage = R"([{"service":"p","after":[],"length":100}])";

} // namespace orchidlead::platform_world
