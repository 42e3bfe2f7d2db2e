#pragma once

#include "platform_world.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

namespace orchidlead::platform_world {

inline constexpr int Requests = 20; ///< sent for each count
inline constexpr std::size_t ServersPerService = 3;

inline const std::string Stages = R"([{"service":"q","after":[],"length":100}])";
inline const std::string Services =
    R"({"name":"q","segments":{"slots":1,"queue":2,"batch":8,"call_ms":20,"item_ms":1,)"
    R"("headroom_mb":1,"handle_s":4}},)"
    R"({"name":"engine","engine":{"slots":8,"kv_capacity":100000}})";

inline void answerAtOnce(const server_request &request,
                         const std::shared_ptr<server_answer> &answer)
{
    answer->write(signedAnswer(request, "ok"));
}

/// Three gateways before two plain services, model engines and stage servers.
struct cut_off_world : world
{
    explicit cut_off_world(const std::string &routes = plainRoute("safe"))
    {
        canBeCut = true;
        publish(1, routes, Services);
        for (std::size_t i = 0; i < ServersPerService; ++i) {
            const auto number = std::to_string(i);
            add("web", number).setBehaviour(answerAtOnce);
            add("other", number).setBehaviour(answerAtOnce);
            add("engine", number).setBehaviour(answerOneEvent);
            auto &stage = add("q", number);
            stage.setBehaviour([this, &stage](const server_request &request,
                                              const std::shared_ptr<server_answer> &answer) {
                answerStages(*this, stage, request, answer, milliseconds{20}, m_resultCount);
            });
        }
        for (const auto *each : {"g1", "g2", "g3"})
            startGateway(each);
        REQUIRE(runUntil([&] { return knowsMembers(3); }));
    }

    fake_server &add(const std::string &service, const std::string &number)
    {
        auto &server = addServer(service, service + "-" + number);
        m_servers.push_back(&server);
        return server;
    }

    /// Sets how all servers of a service answer.
    void setBehaviour(const std::string &service, const server_behaviour &behaviour)
    {
        for (auto *each : m_servers) {
            if (each->id().starts_with(service + "-"))
                each->setBehaviour(behaviour);
        }
    }

    /// Sends plain requests one after the other and returns how many succeeded.
    int countServed(const std::string &gateway, const std::string &method = "GET")
    {
        int served = 0;
        for (int i = 0; i < Requests; ++i)
            served += isServed(startPlain(gateway, method));
        return served;
    }

    std::shared_ptr<client_answer> startPlain(const std::string &gateway, const std::string &method)
    {
        const std::string body = method == "POST" ? "x" : "";
        return request(gateway, makeRequest(method, "/p/x", nextAttempt()), body);
    }

    /// Sends requests with one stage one after the other and returns how many succeeded.
    int countStagedServed(const std::string &gateway)
    {
        int served = 0;
        for (int i = 0; i < Requests; ++i)
            served += isServed(request(gateway, makeStagedRequest(nextAttempt(), "2"), "x"));
        return served;
    }

    /// Returns the number of requests that all servers received.
    [[nodiscard]] std::size_t countArrived() const
    {
        std::size_t arrived = 0;
        for (const auto *each : m_servers)
            arrived += each->requests().size();
        return arrived;
    }

    /// Returns the number of connections that the servers of a service have open.
    [[nodiscard]] std::size_t countOpenConnections(const std::string &service) const
    {
        std::size_t open = 0;
        for (const auto *each : m_servers)
            open += each->id().starts_with(service + "-") ? each->openConnections() : 0;
        return open;
    }

    /// Returns a figure of the state of a gateway from its metrics; -1 if there is none.
    double gauge(const std::string &gateway, const std::string &what)
    {
        const auto text = metrics(gateway);
        const auto name = "orchidlead_gateway_state{what=\"" + what + "\"} ";
        const auto at = text.find(name);
        return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size()));
    }

    [[nodiscard]] std::string nextAttempt() { return "a-" + std::to_string(++m_attempts); }

    int isServed(const std::shared_ptr<client_answer> &answer)
    {
        REQUIRE(await(answer));
        return answer->status == 200 && answer->end == http::call_end::Complete ? 1 : 0;
    }

private:
    std::vector<fake_server *> m_servers;
    int m_attempts = 0;
    int m_resultCount = 0;
};

} // namespace orchidlead::platform_world
