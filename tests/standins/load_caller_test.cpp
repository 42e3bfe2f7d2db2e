#include "standins/json_http.h"
#include "standins/load_caller.h"
#include "standins/proof_marker.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace orchidlead;
using namespace orchidlead::standins;
using namespace std::chrono_literals;

namespace {

constexpr const char *NotRun = R"({"outcome":"not_run","reason":"stopping","request":""})";
constexpr const char *Drop = "drop";

/// Takes the place of an entry VM: answers requests with the given texts in turn.
class fake_entry
{
public:
    fake_entry(net::event_loop &loop, std::deque<std::string> answers)
        : m_answers(std::move(answers))
    {
        net::http_server_options options;
        options.listen = {"127.0.0.1", 0};
        m_server = std::move(net::http_server::create(loop, options,
                                                      [this](net::http_request &&request,
                                                             const net::response_ptr &response) {
                                                          handle(request, *response);
                                                      })
                                 .value());
    }

    [[nodiscard]] socket_address address() const { return {"127.0.0.1", m_server->port()}; }
    [[nodiscard]] const std::vector<Json::Value> &requests() const { return m_requests; }

private:
    void handle(const net::http_request &request, net::response_writer &response)
    {
        if (request.path == "/readyz") {
            response.respond(200, {}, "{}");
            return;
        }
        m_requests.push_back(parseJson(request.body).value_or(Json::Value()));
        const std::string answer = m_answers.empty() ? answerOf(request) : m_answers.front();
        if (!m_answers.empty())
            m_answers.pop_front();
        if (answer != Drop)
            response.respond(200, {}, answer);
    }

    static std::string answerOf(const net::http_request &request)
    {
        const auto body = parseJson(request.body);
        const proof_marker marker{"encode", findNonce(request.body),
                                  contentDigest(toCompactJson((*body)["input"]))};
        Json::Value answer;
        answer["outcome"] = "answered";
        answer["reason"] = "none";
        answer["request"] = "vm-1-1-1";
        answer["output"]["text"] = toText(marker);
        answer["stages"] = Json::Value(Json::arrayValue);
        return toCompactJson(answer);
    }

    std::deque<std::string> m_answers;
    std::vector<Json::Value> m_requests;
    std::unique_ptr<net::http_server> m_server;
};

work_class oneClass(bool repeatable, request_identity identity)
{
    work_class kind;
    kind.name = "one";
    kind.customer = "c";
    kind.pipeline = "p";
    kind.repeatable = repeatable;
    kind.identity = identity;
    kind.stages = {"encode"};
    return kind;
}

/// Sends one request to one entry VM, and keeps what became of it.
struct sent_request
{
    sent_request(const work_class &kind, std::deque<std::string> answers)
    {
        const auto loop = std::move(net::event_loop::create().value());
        const auto client = net::http_client::create(*loop);
        const system_clock_source clock;
        fake_entry entry(*loop, std::move(answers));
        entry_pool entries(*loop, *client, {entry.address()});
        workload work;
        work.classes = {kind};
        load_caller caller({*loop, *client, clock, entries}, work, {});
        caller.start(planArrivals(work, {0ms, 1}, 1), [&loop] { loop->stop(); });
        loop->run();
        REQUIRE(caller.records().size() == 1);
        record = caller.records().front();
        requests = entry.requests();
    }

    caller_record record;
    std::vector<Json::Value> requests;
};

} // namespace

TEST_CASE("a request with a key is sent again under the same key when its connection breaks")
{
    const sent_request sent(oneClass(false, request_identity::Key), {Drop});
    CHECK(sent.record.end == caller_end::Answered);
    CHECK(sent.record.faults.empty());
    REQUIRE(sent.requests.size() == 2);
    CHECK(sent.requests[0]["idempotency_key"].asString().size() > 16);
    CHECK(sent.requests[0]["idempotency_key"] == sent.requests[1]["idempotency_key"]);
    CHECK(sent.requests[0]["input"] == sent.requests[1]["input"]);
}

TEST_CASE("a request that may not be repeated and has no key is never sent again once it was sent")
{
    const sent_request sent(oneClass(false, request_identity::None), {Drop});
    CHECK(sent.record.end == caller_end::Unknown);
    CHECK(sent.requests.size() == 1);
}

TEST_CASE("not_run from a node that stops sends a caller without a key to the next")
{
    const sent_request sent(oneClass(true, request_identity::None), {NotRun});
    CHECK(sent.record.end == caller_end::Answered);
    CHECK(sent.requests.size() == 2);
    const sent_request keyed(oneClass(false, request_identity::Key), {NotRun});
    CHECK(keyed.record.end == caller_end::NotRun);
    CHECK(keyed.requests.size() == 1);
}

TEST_CASE("a ticket is fetched first, and an answer that is no answer is noted")
{
    const sent_request sent(oneClass(false, request_identity::Ticket),
                            {R"({"ticket":"t-1","expires_ms":1000})", "no JSON"});
    CHECK(sent.record.end == caller_end::Answered);
    CHECK(sent.record.faults == std::vector{answer_fault::Malformed});
    REQUIRE(sent.requests.size() == 3);
    CHECK(sent.requests[1]["ticket"].asString() == "t-1");
    CHECK(sent.requests[2]["ticket"].asString() == "t-1");
}
