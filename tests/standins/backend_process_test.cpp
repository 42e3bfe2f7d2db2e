#include "net/http_client.h"
#include "standins/backend_process.h"
#include "standins/json_http.h"
#include "standins/platform_service.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::standins;
using namespace std::chrono_literals;

namespace {

constexpr const char *Servers = R"(
servers:
  - {name: encoder, kind: encoder, base_ms: 1}
  - {name: runner, kind: engine, step_ms: 1}
)";

constexpr const char *StageBody =
    R"({"request":"vm-1-2-3","stage":"encode","stage_index":0,"attempt":1,"customer":"c",)"
    R"("input":{"text":"nonce:00000000000000aa"},"previous":{}})";

constexpr const char *EngineBody =
    R"({"model":"m","prompt":"nonce:00000000000000aa","max_tokens":8,"stream":true})";

/// What one call met.
struct met_answer
{
    int status = 0;
    std::string body;
    net::call_end end = net::call_end::NotSent;
};

/// One process of stand-ins and a client on one loop.
class hosted
{
public:
    hosted()
        : m_loop(std::move(net::event_loop::create().value()))
        , m_client(net::http_client::create(*m_loop))
    {
        const auto spec = parseBackendProcess(Servers);
        REQUIRE(spec);
        m_process = std::move(backend_process::create(*m_loop, m_clock, spec.value()).value());
    }

    met_answer call(const std::string &server, const std::string &path, const std::string &body)
    {
        net::http_call call;
        call.address = addressOf(server);
        call.path = path;
        call.headers = {{"x-request-id", "vm-1-2-3/0/1"}};
        call.body = body;
        return finish(std::move(call));
    }

    void setFault(const std::string &name)
    {
        net::http_call call;
        call.address = *parseAddress(m_process->addresses()["control"].asString());
        call.method = "PUT";
        call.path = "/control/faults";
        call.body = R"({"faults":[{"fault":")" + name + R"(","delay_ms":50}]})";
        REQUIRE(finish(std::move(call)).status == 200);
    }

    std::string lastEnd()
    {
        net::http_call call;
        call.address = *parseAddress(m_process->addresses()["control"].asString());
        call.method = "GET";
        call.path = "/control/history";
        const auto page = parseJson(finish(std::move(call)).body);
        REQUIRE(page.has_value());
        const Json::Value &runs = (*page)["runs"];
        return runs.empty() ? "none" : runs[runs.size() - 1]["end"].asString();
    }

private:
    socket_address addressOf(const std::string &server)
    {
        const Json::Value addresses = m_process->addresses();
        for (const Json::Value &row : addresses["servers"]) {
            if (row["name"].asString() == server)
                return *parseAddress(row["address"].asString());
        }
        return {};
    }

    met_answer finish(net::http_call call)
    {
        met_answer met;
        bool ended = false;
        call.timeout = 300ms;
        call.reuseConnection = false;
        net::call_events events;
        events.onHead = [&met](int status, const net::header_list &) { met.status = status; };
        events.onBody = [&met](std::string_view bytes) { met.body += bytes; };
        events.onEnd = [&](net::call_end end) {
            met.end = end;
            ended = true;
            m_loop->stop();
        };
        m_client->start(std::move(call), std::move(events));
        while (!ended)
            m_loop->run();
        return met;
    }

    system_clock_source m_clock;
    std::unique_ptr<net::event_loop> m_loop;
    std::unique_ptr<net::http_client> m_client;
    std::unique_ptr<backend_process> m_process;
};

struct expected_meeting
{
    const char *fault;
    int status;
    net::call_end end;
    const char *historyEnd;
};

void check(const expected_meeting &expected, const met_answer &met, hosted &host)
{
    CAPTURE(expected.fault, met.body, toName(met.end));
    CHECK(met.status == expected.status);
    CHECK(met.end == expected.end);
    CHECK(host.lastEnd() == expected.historyEnd);
}

} // namespace

TEST_CASE("each fault of a stage shows on the wire as it is named, and the history tells the truth")
{
    using net::call_end;
    const auto expected =
        GENERATE(expected_meeting{"lost_reports", 200, call_end::Complete, "answered"},
                 expected_meeting{"late", 200, call_end::Complete, "answered"},
                 expected_meeting{"foreign_request", 200, call_end::Complete, "spoiled"},
                 expected_meeting{"duplicate", 200, call_end::Complete, "spoiled"},
                 expected_meeting{"refuse", 503, call_end::Complete, "refused"},
                 expected_meeting{"leaving", 503, call_end::Complete, "refused"},
                 expected_meeting{"close", 200, call_end::Broken, "spoiled"},
                 expected_meeting{"wrong_length", 200, call_end::Broken, "spoiled"},
                 expected_meeting{"stall", 200, call_end::TimedOut, "spoiled"},
                 expected_meeting{"hang", 0, call_end::TimedOut, "none"},
                 expected_meeting{"down", 0, call_end::NotSent, "none"});
    hosted host;
    host.setFault(expected.fault);
    check(expected, host.call("encoder", "/run", StageBody), host);
    host.setFault("lost_reports");
    CHECK(host.call("encoder", "/run", StageBody).status == 200);
}

TEST_CASE("each fault of a streaming engine shows on the wire")
{
    using net::call_end;
    const auto expected =
        GENERATE(expected_meeting{"lost_reports", 200, call_end::Complete, "answered"},
                 expected_meeting{"close", 200, call_end::Broken, "spoiled"},
                 expected_meeting{"foreign_request", 200, call_end::Complete, "spoiled"},
                 expected_meeting{"duplicate", 200, call_end::Complete, "spoiled"},
                 expected_meeting{"stall", 200, call_end::TimedOut, "spoiled"},
                 expected_meeting{"wrong_length", 200, call_end::Complete, "spoiled"});
    hosted host;
    host.setFault(expected.fault);
    const met_answer met = host.call("runner", "/v1/completions", EngineBody);
    check(expected, met, host);
    const bool whole = met.body.find("[DONE]") != std::string::npos;
    const std::string fault = expected.fault;
    const bool endless = fault == "close" || fault == "stall" || fault == "wrong_length";
    CHECK(whole == !endless);
}

TEST_CASE("an answer for another request or twice the same one can be had")
{
    hosted host;
    host.setFault("foreign_request");
    const auto foreign = parseJson(host.call("encoder", "/run", StageBody).body);
    REQUIRE(foreign.has_value());
    CHECK((*foreign)["request"].asString() != "vm-1-2-3");
    host.setFault("duplicate");
    CHECK_FALSE(parseJson(host.call("encoder", "/run", StageBody).body).has_value());
}

TEST_CASE("a watch of the configuration ends with the next version, and not with a stale one")
{
    const auto loop = std::move(net::event_loop::create().value());
    const auto client = net::http_client::create(*loop);
    const system_clock_source clock;
    platform_options options;
    options.configuration = "first";
    const auto platform = std::move(platform_service::create(*loop, clock, options).value());
    const auto addressOf = [&](const char *part) {
        return *parseAddress(platform->addresses()[part].asString());
    };
    const auto call = [&](const char *part, const char *method, const std::string &path,
                          const std::string &body) {
        auto met = std::make_shared<met_answer>();
        net::http_call made;
        made.address = addressOf(part);
        made.method = method;
        made.path = path;
        made.body = body;
        made.timeout = 2s;
        net::call_events events;
        events.onHead = [met](int status, const net::header_list &) { met->status = status; };
        events.onEnd = [&loop](net::call_end) { loop->stop(); };
        client->start(std::move(made), std::move(events));
        return met;
    };
    const auto run = [&](const auto &met) {
        while (met->status == 0)
            loop->run();
        return met->status;
    };
    CHECK(run(call("configuration", "GET", "/v1/configuration?after=1&wait_ms=50", "")) == 304);
    const auto watch = call("configuration", "GET", "/v1/configuration?after=1&wait_ms=1500", "");
    CHECK(run(call("control", "PUT", "/control/configuration", "second")) == 200);
    CHECK(run(watch) == 200);
    CHECK(run(call("control", "PUT", "/control/faults",
                   R"({"faults":[{"fault":"stale","factor":1}]})"))
          == 200);
    CHECK(run(call("configuration", "GET", "/v1/configuration?after=1&wait_ms=50", "")) == 304);
}
