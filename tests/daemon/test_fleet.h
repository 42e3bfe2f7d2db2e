#pragma once

#include "core/settings/settings.h"
#include "core/settings/socket_address_text.h"
#include "daemon/daemon.h"
#include "net/net_test_support.h"
#include "standins/platform_service.h"
#include "standins/process_group.h"
#include "wire/json_text.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace orchidlead::daemon {

/// The system's clocks, which the test can set forward as a pause of the process does.
class jumping_clock final : public clock_source
{
public:
    [[nodiscard]] steady_time now() const override { return m_system.now() + m_ahead; }
    [[nodiscard]] wall_time wallNow() const override { return m_system.wallNow() + m_ahead; }
    void jump(milliseconds by) { m_ahead += by; }

private:
    system_clock_source m_system;
    milliseconds m_ahead{0};
};

/// Daemons of one data centre in this process, on loopback, before a backend server that the test
/// holds in its hands.
///
/// Pipelines of the customer `saare`: `ask` (encode), `chat` (encode, generate), `pay` (charge,
/// which may not be repeated).
class test_fleet
{
public:
    using backend_handler = std::function<void(net::http_request &&, const net::response_ptr &)>;

    explicit test_fleet(std::size_t size = 1,
                        const std::function<void(process_settings &)> &adjust = {})
        : m_backend(
            net::serve(m_loop,
                       [this](net::http_request &&request, const net::response_ptr &response) {
                           onBackendCall(std::move(request), response);
                       }))
        , m_log({}, m_logText, m_clock)
    {
        const auto ports = standins::findFreePorts(3 * size);
        for (std::size_t at = 0; at < size; ++at)
            m_nodes.push_back(makeSettings(at, &ports[3 * at]));
        startPlatform();
        for (auto &each : m_nodes) {
            if (adjust)
                adjust(each.settings);
            start(each);
        }
        REQUIRE(m_loop.runUntil([this] { return allReady(); }));
    }

    ~test_fleet()
    {
        for (auto &each : m_nodes)
            each.running.reset();
    }

    /// Answers the calls of stages; by default with what was asked.
    backend_handler onRun = [](net::http_request &&request, const net::response_ptr &response) {
        answerStage(request, response);
    };

    [[nodiscard]] net::test_loop &loop() { return m_loop; }
    [[nodiscard]] orchidlead_daemon &node(std::size_t at = 0) { return *m_nodes[at].running; }
    [[nodiscard]] bool stopped(std::size_t at = 0) const { return m_nodes[at].stopped; }
    [[nodiscard]] const socket_address &callerAddress(std::size_t at = 0) const
    {
        return m_nodes[at].settings.listen.caller;
    }
    [[nodiscard]] const socket_address &operatorAddress(std::size_t at = 0) const
    {
        return m_nodes[at].settings.listen.operators;
    }
    [[nodiscard]] std::size_t backendCalls() const { return m_backendCalls; }
    [[nodiscard]] std::string logText()
    {
        m_log.flush();
        return m_logText.str();
    }

    [[nodiscard]] jumping_clock &clock() { return m_clock; }
    [[nodiscard]] bool allReady() const
    {
        for (const auto &each : m_nodes) {
            if (each.running->notReady())
                return false;
        }
        return true;
    }

    /// Takes the platform away.
    void stopPlatform() { m_platform.reset(); }
    /// Publishes the configuration again, under the next version.
    void publishAgain()
    {
        net::http_call call;
        call.address = *parseSocketAddress(m_platform->addresses()["control"].asString());
        call.method = "PUT";
        call.path = "/control/configuration";
        call.body = configuration();
        REQUIRE(net::callAndWait(m_loop, std::move(call)).status == 200);
    }

    /// Stops a daemon at once, as a crash would.
    void crash(std::size_t at) { m_nodes[at].running.reset(); }

    [[nodiscard]] net::answer get(const socket_address &address, const std::string &path)
    {
        net::http_call call;
        call.address = address;
        call.method = "GET";
        call.path = path;
        return net::callAndWait(m_loop, std::move(call));
    }

    [[nodiscard]] net::answer post(const std::string &path, const std::string &body,
                                   std::size_t at = 0)
    {
        return net::callAndWait(m_loop, composePost(path, body, at));
    }

    [[nodiscard]] net::http_call composePost(const std::string &path, const std::string &body,
                                             std::size_t at = 0) const
    {
        net::http_call call;
        call.address = callerAddress(at);
        call.path = path;
        call.body = body;
        return call;
    }

    /// Gives the answer to a call of a pool's stage: its own input back, with the stage's name.
    static void answerStage(const net::http_request &request, const net::response_ptr &response)
    {
        const auto call = wire::parseJson(request.body);
        REQUIRE(call.has_value());
        Json::Value answer{Json::objectValue};
        for (const char *name : {"request", "stage_index", "attempt"})
            answer[name] = call.value()[name];
        answer["output"]["stage"] = call.value()["stage"];
        answer["output"]["input"] = call.value()["input"];
        response->respond(200, {{"content-type", "application/json"}}, wire::writeJson(answer));
    }

private:
    struct running_node
    {
        process_settings settings;
        std::unique_ptr<orchidlead_daemon> running;
        bool stopped = false;
    };

    void onBackendCall(net::http_request &&request, const net::response_ptr &response)
    {
        if (request.path == "/load") {
            response->respond(200, {}, R"({"running":0,"queued":0,"capacity":8,"leaving":false})");
            return;
        }
        ++m_backendCalls;
        onRun(std::move(request), response);
    }

    static running_node makeSettings(std::size_t at, const std::uint16_t *ports)
    {
        running_node made;
        made.settings.vm = vm_id{"vm-" + std::to_string(at + 1)};
        made.settings.dataCenter = data_center_id{"dc-1"};
        made.settings.region = region_id{"r-1"};
        made.settings.listen.caller = {"127.0.0.1", ports[0]};
        made.settings.listen.operators = {"127.0.0.1", ports[1]};
        made.settings.listen.peer = {"127.0.0.1", ports[2]};
        made.settings.stop.notice = milliseconds{200};
        return made;
    }

    void startPlatform()
    {
        standins::platform_options options;
        options.configuration = configuration();
        options.vms = Json::Value{Json::arrayValue};
        for (const auto &each : m_nodes) {
            Json::Value vm{Json::objectValue};
            vm["vm"] = each.settings.vm.value;
            vm["data_center"] = each.settings.dataCenter.value;
            vm["region"] = each.settings.region.value;
            vm["peer_address"] = toText(each.settings.listen.peer);
            vm["state"] = "live";
            options.vms.append(vm);
        }
        m_platform =
            std::move(standins::platform_service::create(*m_loop, m_clock, options)).value();
        const Json::Value addresses = m_platform->addresses();
        for (auto &each : m_nodes) {
            each.settings.platform.configurationService =
                *parseSocketAddress(addresses["configuration"].asString());
            each.settings.platform.vmList = *parseSocketAddress(addresses["vms"].asString());
        }
    }

    void start(running_node &each)
    {
        each.running =
            std::make_unique<orchidlead_daemon>(*m_loop, m_clock, each.settings, ++m_incarnation,
                                                m_log, [&each] { each.stopped = true; });
        const auto started = each.running->start();
        INFO((started ? "" : started.error().what));
        REQUIRE(started.has_value());
    }

    [[nodiscard]] std::string configuration() const
    {
        const std::string port = std::to_string(m_backend->port());
        const std::string server = "address: '127.0.0.1:" + port + "', data_center: dc-1}\n";
        return "format: 1\ndata_centers:\n  - {name: dc-1, region: r-1}\nservices:\n"
               "  - name: encoders\n    kind: encoder\n    servers:\n      - {name: encoder-1, "
            + server
            + "  - name: runners\n    kind: engine\n    models: [small]\n    servers:\n"
              "      - {name: runner-1, "
            + server
            + "  - name: ledger\n    kind: plain\n    repeatable: false\n    servers:\n"
              "      - {name: ledger-1, "
            + server + R"(templates:
  - name: ask
    deadline: 10s
    stages:
      - {name: encode, service: encoders, path: /run, after: []}
  - name: chat
    deadline: 20s
    stages:
      - {name: encode, service: encoders, path: /run, after: []}
      - {name: generate, service: runners, after: [encode], model: small, max_tokens: 64}
  - name: pay
    deadline: 10s
    stages:
      - {name: charge, service: ledger, path: /run, after: []}
customers:
  - name: saare
    home_data_center: dc-1
    pipelines:
      - {name: ask, template: ask}
      - {name: chat, template: chat}
      - {name: pay, template: pay}
...
)";
    }

    net::test_loop m_loop;
    jumping_clock m_clock;
    std::unique_ptr<net::http_server> m_backend;
    std::ostringstream m_logText;
    wire::log m_log;
    std::unique_ptr<standins::platform_service> m_platform;
    std::vector<running_node> m_nodes;
    std::size_t m_backendCalls = 0;
    incarnation m_incarnation = 0;
};

/// Reads a JSON body of an answer.
inline Json::Value parsedBody(const net::answer &got)
{
    const auto parsed = wire::parseJson(got.body);
    INFO("body: " << got.body);
    REQUIRE(parsed.has_value());
    return parsed.value();
}

} // namespace orchidlead::daemon
