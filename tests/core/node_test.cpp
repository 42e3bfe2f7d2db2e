#include "core/node/node.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

using namespace orchidlead;

namespace {

constexpr const char *Published = R"(format: 1
data_centers:
  - {name: here, region: r-1}
  - {name: there, region: r-1}
services:
  - name: encoders
    kind: encoder
    servers:
      - {name: encoder-1, address: '127.0.0.1:1', data_center: here}
      - {name: encoder-2, address: '127.0.0.1:2', data_center: here}
  - name: ledger
    kind: plain
    repeatable: false
    servers:
      - {name: ledger-1, address: '127.0.0.1:3', data_center: here}
      - {name: ledger-2, address: '127.0.0.1:4', data_center: here}
templates:
  - name: ask
    deadline: 4s
    stages:
      - {name: encode, service: encoders, path: /run, after: []}
  - name: two
    deadline: 4s
    stages:
      - {name: encode, service: encoders, path: /run, after: []}
      - {name: again, service: encoders, path: /run, after: [encode]}
  - name: pay
    deadline: 4s
    stages:
      - {name: charge, service: ledger, path: /run, after: []}
customers:
  - name: saare
    home_data_center: here
    pipelines:
      - {name: ask, template: ask}
      - {name: two, template: two}
      - {name: pay, template: pay}
  - name: hiiu
    home_data_center: there
    pipelines:
      - {name: pay, template: pay}
...
)";

listed_vm makeVm(const std::string &name, const std::string &dataCenter)
{
    listed_vm vm;
    vm.vm = vm_id{name};
    vm.dataCenter = data_center_id{dataCenter};
    vm.region = region_id{"r-1"};
    vm.peerAddress = {"127.0.0.1", 7};
    return vm;
}

member makeMember(const std::string &name, const std::string &dataCenter)
{
    member made;
    made.vm = makeVm(name, dataCenter);
    made.incarnation = 1;
    made.state = member_state::Alive;
    made.listed = true;
    return made;
}

node_settings makeSettings(const std::string &name)
{
    node_settings settings;
    settings.vm = vm_id{name};
    settings.dataCenter = data_center_id{"here"};
    settings.incarnation = 5;
    settings.maxHeldBytes = 1000;
    return settings;
}

/// A node with a configuration and three members. The test acts as the backend servers.
struct node_harness
{
    explicit node_harness(const std::string &name = "vm-1")
        : state(makeSettings(name), clock, 1)
    {
        auto parsed = parsePublishedConfiguration(Published, "test", 1);
        REQUIRE(parsed.has_value());
        state.setConfiguration(parsed.value(), out);
        state.setMembers(
            {makeMember("vm-1", "here"), makeMember("vm-2", "here"), makeMember("vm-3", "there")},
            clock.now());
        state.setAdmission(admission_state::Open);
        out.clear();
    }

    request_id submit(const std::string &pipeline, const std::string &ticket = "",
                      const std::string &input = "1")
    {
        caller_request request;
        request.customer = customer_id{"saare"};
        request.pipeline = pipeline_id{pipeline};
        request.input = std::make_shared<const std::string>(input);
        if (!ticket.empty())
            request.ticket = ticket;
        request.body = request.input;
        return state.submit(std::move(request), out);
    }

    /// Removes the actions of one type and returns them.
    template <class Action>
    std::vector<Action> take()
    {
        std::vector<Action> found;
        std::erase_if(out, [&](const node_action &action) {
            const auto *typed = std::get_if<Action>(&action);
            if (typed != nullptr)
                found.push_back(*typed);
            return typed != nullptr;
        });
        return found;
    }

    /// Removes the only `send_attempt`, marks it as sent and returns it.
    send_attempt takeSent()
    {
        const auto sent = take<send_attempt>();
        REQUIRE(sent.size() == 1);
        CHECK(state.mayDispatch(sent[0].key));
        state.onSent(sent[0].key);
        return sent[0];
    }

    void answer(const send_attempt &sent, const std::string &output = "\"done\"")
    {
        attempt_answer response;
        response.key = sent.key;
        response.echoed = sent.key;
        response.output = std::make_shared<const std::string>(output);
        state.onAnswer(response, out);
    }

    /// Removes the only `end_request` and returns it.
    end_request takeEnd()
    {
        const auto ends = take<end_request>();
        REQUIRE(ends.size() == 1);
        return ends[0];
    }

    manual_clock clock;
    node state;
    node_actions out;
};

} // namespace

TEST_CASE("inputs of open requests are bounded and ended requests no longer count")
{
    node_harness harness;
    harness.submit("ask", "", std::string(600, '1'));
    const auto sent = harness.takeSent();
    harness.submit("ask", "", std::string(600, '1'));
    const auto refused = harness.takeEnd();
    CHECK(refused.answer.outcome == outcome::NotRun);
    CHECK(refused.answer.reason == refusal_reason::Overloaded);
    CHECK(refused.answer.retryAfter.has_value());
    harness.answer(sent);
    CHECK(harness.takeEnd().answer.outcome == outcome::Answered);
    CHECK(harness.state.heldBytes() == 0);
    harness.submit("ask", "", std::string(600, '1'));
    CHECK(harness.take<send_attempt>().size() == 1);
}

TEST_CASE("stage outputs count as held bytes until the request ends")
{
    node_harness harness;
    harness.submit("two");
    harness.answer(harness.takeSent(), '"' + std::string(990, 'x') + '"');
    harness.submit("ask", "", std::string(100, '1'));
    CHECK(harness.takeEnd().answer.reason == refusal_reason::Overloaded);
    harness.answer(harness.takeSent());
    CHECK(harness.takeEnd().answer.outcome == outcome::Answered);
    CHECK(harness.state.heldBytes() == 0);
}

TEST_CASE("a request marked as not repeatable by its caller is not retried")
{
    node_harness harness;
    caller_request request;
    request.customer = customer_id{"saare"};
    request.pipeline = pipeline_id{"ask"};
    request.input = std::make_shared<const std::string>("1");
    request.repeatable = false;
    harness.state.submit(request, harness.out);
    const auto sent = harness.takeSent();
    harness.state.onFailure(sent.key, attempt_failure::Broken, {}, harness.out);
    CHECK(harness.take<send_attempt>().empty());
    const auto end = harness.takeEnd();
    CHECK(toName(end.answer.outcome) == toName(outcome::Unknown));
}

TEST_CASE("copies of a request with a ticket get the answer of its only run")
{
    node_harness harness;
    const auto ticket = harness.state.mintTicket();
    REQUIRE(ticket.has_value());
    const request_id first = harness.submit("pay", *ticket);
    const auto sent = harness.takeSent();
    const request_id second = harness.submit("pay", *ticket);
    CHECK(harness.take<send_attempt>().empty());
    harness.answer(sent);
    const auto ends = harness.take<end_request>();
    REQUIRE(ends.size() == 2);
    for (const auto &end : ends) {
        CHECK(end.answer.outcome == outcome::Answered);
        CHECK(*end.answer.output == "\"done\"");
    }
    CHECK(ends[0].answer.request != ends[1].answer.request);
    harness.submit("pay", *ticket);
    CHECK(harness.takeEnd().answer.outcome == outcome::Answered);
    CHECK(harness.take<send_attempt>().empty());
    CHECK(harness.state.idle());
}

TEST_CASE("a copy attached to a running request ends at its own deadline")
{
    node_harness harness;
    const auto ticket = harness.state.mintTicket();
    harness.submit("pay", *ticket);
    harness.takeSent();
    harness.clock.advance(milliseconds{100});
    const request_id copy = harness.submit("pay", *ticket);
    harness.clock.advance(milliseconds{4000});
    const auto wake = harness.state.nextWake();
    REQUIRE(wake.has_value());
    CHECK(*wake <= harness.clock.now());
    harness.state.tick(harness.out);
    const auto ends = harness.take<end_request>();
    const auto isCopy = [&](const end_request &end) { return end.answer.request == copy; };
    const auto found = std::find_if(ends.begin(), ends.end(), isCopy);
    REQUIRE(found != ends.end());
    CHECK(found->answer.outcome != outcome::NotRun);
    CHECK(found->answer.outcome != outcome::Answered);
}

TEST_CASE("a call with a ticket continues after its caller disconnects and others are cancelled")
{
    node_harness harness;
    const auto ticket = harness.state.mintTicket();
    const request_id withTicket = harness.submit("pay", *ticket);
    const auto sent = harness.takeSent();
    harness.state.cancel(withTicket, harness.out);
    CHECK(harness.take<cancel_attempt>().empty());
    harness.answer(sent);
    harness.out.clear();
    harness.submit("pay", *ticket);
    CHECK(harness.takeEnd().answer.outcome == outcome::Answered);

    const request_id withoutTicket = harness.submit("ask");
    harness.takeSent();
    harness.state.cancel(withoutTicket, harness.out);
    CHECK(harness.take<cancel_attempt>().size() == 1);
    CHECK(harness.takeEnd().answer.outcome == outcome::Failed);
}

TEST_CASE("a ticket of another VM is forwarded to it and the outcome is unknown if that fails")
{
    node_harness minter("vm-2");
    const auto ticket = minter.state.mintTicket();
    node_harness harness;
    const request_id request = harness.submit("pay", *ticket);
    const auto forwarded = harness.take<forward_call>();
    REQUIRE(forwarded.size() == 1);
    CHECK(forwarded[0].vm.value == "vm-2");
    CHECK(harness.take<send_attempt>().empty());
    harness.state.onForwardFailed(request, "no answer", harness.out);
    const auto end = harness.takeEnd();
    CHECK(end.answer.outcome == outcome::Unknown);
    CHECK(end.answer.reason == refusal_reason::HomeUnreachable);
}

TEST_CASE("a request with a ticket that a peer forwarded is not forwarded again")
{
    node_harness minter("vm-2");
    const auto ticket = minter.state.mintTicket();
    const std::string from = GENERATE("vm-2", "vm-3", "vm-unlisted");
    CAPTURE(from);
    node_harness harness;
    caller_request request;
    request.customer = customer_id{"saare"};
    request.pipeline = pipeline_id{"pay"};
    request.input = std::make_shared<const std::string>("1");
    request.ticket = ticket;
    request.forwardedBy = vm_id{from};
    harness.state.submit(request, harness.out);
    CHECK(harness.take<forward_call>().empty());
    CHECK(harness.takeEnd().answer.outcome == outcome::Unknown);
}

TEST_CASE("a key is forwarded to the customer's home data centre unless a peer forwarded it")
{
    const bool fromThere = GENERATE(false, true);
    CAPTURE(fromThere);
    node_harness harness;
    caller_request request;
    request.customer = customer_id{"hiiu"};
    request.pipeline = pipeline_id{"pay"};
    request.input = std::make_shared<const std::string>("1");
    request.body = request.input;
    const auto issued =
        std::chrono::duration_cast<milliseconds>(harness.clock.wallNow().time_since_epoch());
    request.idempotencyKey = std::to_string(issued.count()) + "-abcdefgh";
    if (fromThere)
        request.forwardedBy = vm_id{"vm-3"};
    harness.state.submit(request, harness.out);
    const auto forwarded = harness.take<forward_call>();
    REQUIRE(forwarded.size() == (fromThere ? 0 : 1));
    if (!fromThere)
        CHECK(forwarded[0].vm.value == "vm-3");
}

TEST_CASE("a refused request with a ticket is recorded so that no delayed copy runs")
{
    node_harness harness;
    const auto ticket = harness.state.mintTicket();
    harness.state.setAdmission(admission_state::Unconfirmed);
    harness.submit("pay", *ticket);
    CHECK(harness.takeEnd().answer.outcome == outcome::NotRun);
    harness.state.setAdmission(admission_state::Open);
    harness.submit("pay", *ticket);
    CHECK(harness.takeEnd().answer.outcome == outcome::NotRun);
    CHECK(harness.take<send_attempt>().empty());
}

TEST_CASE("a node that is unconfirmed or stopping refuses requests")
{
    node_harness harness;
    const auto state = GENERATE(admission_state::Unconfirmed, admission_state::Stopping);
    harness.state.setAdmission(state);
    harness.submit("ask");
    const auto end = harness.takeEnd();
    CHECK(end.answer.outcome == outcome::NotRun);
    CHECK(end.answer.retryAfter.has_value());
    CHECK(harness.take<send_attempt>().empty());
}

TEST_CASE("the trace of a request holds its decisions and its answer")
{
    node_harness harness;
    const request_id id = harness.submit("ask");
    harness.answer(harness.takeSent());
    const request_trace *trace = harness.state.traces().find(id);
    REQUIRE(trace != nullptr);
    REQUIRE(trace->answer.has_value());
    CHECK(trace->answer->outcome == outcome::Answered);
    CHECK(trace->answer->output == nullptr);
    const auto isRoute = [](const traced_decision &entry) {
        return entry.decision.kind == decision_kind::Route;
    };
    CHECK(std::count_if(trace->decisions.begin(), trace->decisions.end(), isRoute) == 1);
}
