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

/// Four nodes under a steady load, before servers that say something of themselves in their
/// answers.
namespace orchidlead::platform_world {

/// How long an answer takes.
inline constexpr milliseconds ServerWork{50};
/// Between two requests of all clients together.
inline constexpr milliseconds RequestGap{25};
/// A refusal of what can't be served comes within this: nothing is waited for.
inline constexpr milliseconds AtOnce{200};

inline constexpr std::array FleetNodes{"g1", "g2", "g3", "g4"};

struct loaded_fleet : world
{
    struct asked
    {
        std::string node;
        std::shared_ptr<client_answer> answer;
        steady_time at;
        std::optional<steady_time> endedAt;
    };
    /// A request, a stage call or a free that reached a server.
    struct arrival
    {
        steady_time at;
        std::string node; ///< that sent it; empty: the host of a stage pool
        steady_time clientSentAt; ///< of a client's request
        std::string target;
    };

    explicit loaded_fleet(const std::string &routes, const std::string &services = {});

    void startNodes();
    /// Adds a server that notes what arrives and answers in `ServerWork`, with `fieldsOf` it.
    fake_server &addNoting(const std::string &service, const std::string &id,
                           const std::string &dataCenter = "z");
    void send(const std::string &path, const std::string &pieceCounts = {});
    void sendTo(const std::string &to, const std::string &path,
                const std::string &pieceCounts = {});
    /// Sends requests to one node after the other for so long, and waits for their ends.
    void load(const std::string &path, milliseconds time, const std::string &pieceCounts = {});
    void awaitAll();

    /// How many were refused later than at once.
    [[nodiscard]] std::size_t refusedLate() const;
    [[nodiscard]] std::size_t answeredWith(int status) const;
    [[nodiscard]] std::size_t arrivalsSince(const std::string &id, steady_time since) const;

    /// Fields that a server adds to each answer, as written on the wire.
    std::function<std::string(const std::string &id)> fieldsOf;
    std::set<std::string> refusing; ///< servers that answer 503 at once, and run nothing
    std::map<std::string, std::vector<arrival>> arrivals; ///< by server
    std::vector<asked> requests;
    std::set<std::string> idleNodes; ///< that `send` passes over
    int pieces = 0; ///< made

private:
    void onRequest(const std::string &id, const server_request &request,
                   const std::shared_ptr<server_answer> &answer);
    void answerTo(const std::string &id, const server_request &request,
                  const std::shared_ptr<server_answer> &answer);
    [[nodiscard]] std::string stageAnswer(const std::string &id, const server_request &request);
    [[nodiscard]] std::string withFields(const std::string &id, const std::string &answer) const;
    void noteEnds();

    struct sent_request
    {
        std::string node;
        steady_time at;
    };
    std::size_t m_sent = 0;
    std::size_t m_turn = 0; ///< of the nodes
    std::map<std::string, sent_request> m_byAttempt; ///< all that were ever sent
};

inline const std::string EngineService =
    R"({"name":"engine","engine":{"slots":8,"kv_capacity":100000}})";
inline const std::string StageService =
    R"({"name":"p","segments":{"slots":1,"queue":2,"batch":4,"call_ms":50,"item_ms":1,)"
    R"("headroom_mb":1,"handle_s":2}})";
inline const std::string OneStage = R"([{"service":"p","after":[],"length":100}])";

} // namespace orchidlead::platform_world
