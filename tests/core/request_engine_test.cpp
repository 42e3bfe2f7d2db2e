#include "core/engine_harness.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace orchidlead;
using namespace orchidlead::tests;

namespace {

std::string nameOf(outcome value)
{
    return std::string(toName(value));
}

/// Lets every attempt of a one-stage request fail and returns the final answer.
final_answer answerAfterFailure(attempt_failure failure, bool repeatable)
{
    engine_harness<> harness;
    harness.services({makeService("pay", 1)});
    pipeline_plan plan = makePlan({"pay"});
    plan.stages[0].repeatable = repeatable;
    harness.submit(plan);
    for (int attempt = 0; attempt < 10; ++attempt) {
        for (const auto &sent : harness.take<send_attempt>())
            harness.failAttempt(sent, failure);
        harness.advance(milliseconds{200});
    }
    const auto ends = harness.take<deliver_answer>();
    REQUIRE(ends.size() == 1);
    return ends[0].answer;
}

} // namespace

TEST_CASE("each stage of a request gets the outputs of its input stages")
{
    engine_harness<> harness;
    harness.services({makeService("encode", 2), makeService("retrieve", 2)});
    harness.submit(makePlan({"encode", "retrieve"}));

    auto sent = harness.take<send_attempt>();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].previous.empty());
    harness.answer(sent[0], "\"vector\"");

    sent = harness.take<send_attempt>();
    REQUIRE(sent.size() == 1);
    REQUIRE(sent[0].previous.size() == 1);
    CHECK(*sent[0].previous[0].output == "\"vector\"");
    harness.answer(sent[0], "\"hits\"");

    const auto ends = harness.take<deliver_answer>();
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].answer.outcome == outcome::Answered);
    CHECK(*ends[0].answer.output == "\"hits\"");
    CHECK(harness.engine.idle());
}

TEST_CASE("independent stages run in parallel")
{
    engine_harness<> harness;
    harness.services({makeService("left", 1), makeService("right", 1), makeService("join", 1)});
    pipeline_plan plan = makePlan({"left", "right", "join"});
    plan.stages[1].inputs.clear();
    plan.stages[2].inputs = {0, 1};
    harness.submit(plan);

    const auto roots = harness.take<send_attempt>();
    REQUIRE(roots.size() == 2);
    harness.answer(roots[0]);
    CHECK(harness.take<send_attempt>().empty());
    harness.answer(roots[1]);
    const auto join = harness.take<send_attempt>();
    REQUIRE(join.size() == 1);
    CHECK(join[0].previous.size() == 2);
}

TEST_CASE("an answer that belongs to another request is dropped and counted and never delivered")
{
    engine_harness<> harness;
    harness.services({makeService("encode", 2)});
    harness.submit(makePlan({"encode"}));
    const auto sent = harness.take<send_attempt>();
    REQUIRE(sent.size() == 1);
    const attempt_key foreign{request_id{"other"}, 0, 1};
    harness.engine.onAnswer(
        {sent[0].key, foreign, std::make_shared<std::string>("\"theirs\""), 0, {}},
        harness.actions);
    CHECK(harness.engine.stats().droppedAnswers == 1);

    harness.advance(milliseconds{10});
    const auto again = harness.take<send_attempt>();
    REQUIRE(again.size() == 1);
    CHECK(again[0].server != sent[0].server);
    harness.answer(again[0], "\"mine\"");
    const auto ends = harness.take<deliver_answer>();
    REQUIRE(ends.size() == 1);
    CHECK(*ends[0].answer.output == "\"mine\"");
}

TEST_CASE("duplicate and late answers are ignored")
{
    engine_harness<> harness;
    harness.services({makeService("encode", 1), makeService("retrieve", 1)});
    harness.submit(makePlan({"encode", "retrieve"}));
    const auto sent = harness.take<send_attempt>();
    harness.answer(sent[0], "\"first\"");
    harness.answer(sent[0], "\"second\"");
    const auto next = harness.take<send_attempt>();
    REQUIRE(next.size() == 1);
    CHECK(*next[0].previous[0].output == "\"first\"");
    harness.answer(next[0]);
    harness.answer(next[0]);
    CHECK(harness.take<deliver_answer>().size() == 1);
    CHECK(harness.engine.stats().droppedAnswers == 2);
}

TEST_CASE("a non-repeatable call is retried only if it provably did not run")
{
    const auto [failure, expected] = GENERATE(table<attempt_failure, outcome>({
        {attempt_failure::NotSent, outcome::NotRun},
        {attempt_failure::Refused, outcome::NotRun},
        {attempt_failure::Leaving, outcome::NotRun},
        {attempt_failure::Broken, outcome::Unknown},
        {attempt_failure::TimedOut, outcome::Unknown},
        {attempt_failure::BadAnswer, outcome::Unknown},
        {attempt_failure::ServerError, outcome::Unknown},
    }));
    CAPTURE(std::string(toName(failure)));
    const final_answer end = answerAfterFailure(failure, false);
    CHECK(nameOf(end.outcome) == nameOf(expected));
    if (expected == outcome::Unknown)
        CHECK(end.stages[0].attempts == 1);
}

TEST_CASE("a repeatable stage that may have run and gave no answer ends as failed")
{
    const final_answer end = answerAfterFailure(attempt_failure::Broken, true);
    CHECK(nameOf(end.outcome) == nameOf(outcome::Failed));
    CHECK(end.stages[0].attempts > 1);
}

TEST_CASE("a connection failure after a byte was sent is no proof that the call did not run")
{
    engine_harness<> harness;
    harness.services({makeService("pay", 1)});
    pipeline_plan plan = makePlan({"pay"});
    plan.stages[0].repeatable = false;
    harness.submit(plan);
    const auto sent = harness.take<send_attempt>();
    harness.engine.onSent(sent[0].key);
    harness.engine.onFailure(sent[0].key, attempt_failure::NotSent, {}, harness.actions);
    const auto ends = harness.take<deliver_answer>();
    REQUIRE(ends.size() == 1);
    CHECK(nameOf(ends[0].answer.outcome) == nameOf(outcome::Unknown));
}

TEST_CASE("a request without an answer at its deadline ends as expired or unknown")
{
    const bool repeatable = GENERATE(true, false);
    engine_harness<> harness;
    harness.services({makeService("pay", 1)});
    pipeline_plan plan = makePlan({"pay"});
    plan.stages[0].repeatable = repeatable;
    harness.submit(plan, milliseconds{500});
    const auto sent = harness.take<send_attempt>();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].deadline < harness.clock.now() + milliseconds{500});
    harness.advance(milliseconds{500});
    const auto ends = harness.take<deliver_answer>();
    REQUIRE(ends.size() == 1);
    CHECK(nameOf(ends[0].answer.outcome)
          == nameOf(repeatable ? outcome::Expired : outcome::Unknown));
    CHECK(harness.take<cancel_attempt>().size() == 1);
}

TEST_CASE("a request for a service without usable backend servers is refused immediately")
{
    engine_harness<> harness;
    harness.services({makeService("encode", 1)});
    harness.engine.setListedLeaving({backend_server_id{"encode-1"}}, harness.actions);
    harness.submit(makePlan({"encode"}));
    const auto ends = harness.take<deliver_answer>();
    REQUIRE(ends.size() == 1);
    CHECK(nameOf(ends[0].answer.outcome) == nameOf(outcome::NotRun));
    CHECK(ends[0].answer.reason == refusal_reason::NoBackendServer);
    CHECK(ends[0].answer.retryAfter.has_value());
}

TEST_CASE("a backend server that reports that it is leaving gets no new work")
{
    engine_harness<> harness;
    harness.services({makeService("encode", 2)});
    harness.submit(makePlan({"encode"}));
    const auto sent = harness.take<send_attempt>();
    harness.failAttempt(sent[0], attempt_failure::Leaving);
    for (int request = 0; request < 50; ++request) {
        for (const auto &again : harness.take<send_attempt>()) {
            CHECK(again.server != sent[0].server);
            harness.answer(again);
        }
        harness.submit(makePlan({"encode"}));
    }
}

TEST_CASE("a draining engine refuses new requests and finishes open ones")
{
    engine_harness<> harness;
    harness.services({makeService("encode", 1)});
    harness.submit(makePlan({"encode"}));
    harness.engine.drain();
    harness.submit(makePlan({"encode"}));
    auto ends = harness.take<deliver_answer>();
    REQUIRE(ends.size() == 1);
    CHECK(ends[0].answer.reason == refusal_reason::Stopping);
    CHECK_FALSE(harness.engine.idle());
    harness.answer(harness.take<send_attempt>()[0]);
    ends = harness.take<deliver_answer>();
    REQUIRE(ends.size() == 1);
    CHECK(nameOf(ends[0].answer.outcome) == nameOf(outcome::Answered));
    CHECK(harness.engine.idle());
}

TEST_CASE("a late repeatable attempt is hedged on another server and the slower one is cancelled")
{
    engine_harness<> harness;
    harness.services({makeService("encode", 4)});
    const pipeline_plan plan = makePlan({"encode"});
    harness.warmUp(plan, 64, milliseconds{20});
    harness.submit(plan, milliseconds{200});
    const auto first = harness.take<send_attempt>();
    REQUIRE(first.size() == 1);
    harness.advance(milliseconds{155});
    const auto second = harness.take<send_attempt>();
    REQUIRE(second.size() == 1);
    CHECK(second[0].server != first[0].server);
    harness.answer(second[0]);
    const auto cancelled = harness.take<cancel_attempt>();
    REQUIRE(cancelled.size() == 1);
    CHECK(cancelled[0].key == first[0].key);
    CHECK(harness.take<deliver_answer>().size() == 1);
}

TEST_CASE("a non-repeatable call is never hedged")
{
    engine_harness<> harness;
    harness.services({makeService("pay", 4)});
    pipeline_plan plan = makePlan({"pay"});
    plan.stages[0].repeatable = false;
    harness.warmUp(plan, 64, milliseconds{20});
    harness.submit(plan, milliseconds{2'000});
    CHECK(harness.take<send_attempt>().size() == 1);
    for (int step = 0; step < 25; ++step) {
        harness.advance(milliseconds{100});
        CHECK(harness.take<send_attempt>().empty());
    }
}

TEST_CASE("only the attempt that sent the first chunk continues the stream")
{
    engine_harness<> harness;
    harness.services({makeService("generate", 4)});
    pipeline_plan plan = makePlan({"generate"});
    plan.stages[0].kind = service_kind::Engine;
    harness.warmUp(plan, 64, milliseconds{20});
    pipeline_request request;
    request.id = request_id{"streamed"};
    request.plan = std::make_shared<pipeline_plan>(plan);
    request.input = std::make_shared<std::string>("\"x\"");
    request.deadline = harness.clock.now() + milliseconds{200};
    request.stream = true;
    harness.engine.submit(request, harness.actions);
    const auto first = harness.take<send_attempt>();
    harness.advance(milliseconds{155});
    const auto second = harness.take<send_attempt>();
    REQUIRE(second.size() == 1);
    harness.engine.onChunk(second[0].key, "one", harness.actions);
    harness.engine.onChunk(first[0].key, "other", harness.actions);
    const auto chunks = harness.take<deliver_chunk>();
    REQUIRE(chunks.size() == 1);
    CHECK(chunks[0].text == "one");
    harness.failAttempt(second[0], attempt_failure::Broken);
    const auto ends = harness.take<deliver_answer>();
    REQUIRE(ends.size() == 1);
    CHECK(nameOf(ends[0].answer.outcome) == nameOf(outcome::Failed));
}

TEST_CASE("retries add at most a tenth to the load of a pool that fails completely")
{
    engine_harness<> harness;
    harness.services({makeService("encode", 12)});
    const pipeline_plan plan = makePlan({"encode"});
    harness.warmUp(plan, 100, milliseconds{5});
    const service_stats before = harness.engine.stats().services[0];
    std::size_t answers = 0;
    constexpr int Requests = 1'000;
    for (int request = 0; request < Requests; ++request) {
        harness.submit(plan);
        for (auto sends = harness.take<send_attempt>(); !sends.empty();
             sends = harness.take<send_attempt>()) {
            for (const auto &sent : sends)
                harness.failAttempt(sent, attempt_failure::NotSent);
        }
        answers += harness.take<deliver_answer>().size();
        harness.advance(milliseconds{10});
    }
    const service_stats after = harness.engine.stats().services[0];
    const auto first = after.firstTries - before.firstTries;
    const auto second = after.retries + after.hedges - before.retries - before.hedges;
    CAPTURE(first, second);
    CHECK(answers == Requests);
    CHECK(first + second <= Requests * 11 / 10);
    CHECK(first < Requests / 5);

    // The pool has recovered: after one successful probe all requests are admitted again.
    harness.advance(milliseconds{1'000});
    harness.submit(plan);
    const auto probe = harness.take<send_attempt>();
    REQUIRE(probe.size() == 1);
    harness.answer(probe[0]);
    harness.submit(plan);
    CHECK(harness.take<send_attempt>().size() == 1);
}

TEST_CASE("a server that is published again while listed as leaving gets no work")
{
    engine_harness<> harness;
    const service both = makeService("encode", 2);
    service one = both;
    one.servers.pop_back();
    harness.services({one});
    harness.engine.setListedLeaving({both.servers[1].id}, harness.actions);
    harness.services({both});
    for (int request = 0; request < 8; ++request)
        harness.submit(makePlan({"encode"}));
    for (const auto &sent : harness.take<send_attempt>())
        CHECK(sent.server.value == both.servers[0].id.value);
}

TEST_CASE("a hedge timer handled after the latest start sends no hedge")
{
    engine_harness<> harness;
    harness.services({makeService("encode", 4)});
    const pipeline_plan plan = makePlan({"encode"});
    harness.warmUp(plan, 64, milliseconds{20});
    harness.submit(plan, milliseconds{200});
    REQUIRE(harness.take<send_attempt>().size() == 1);
    harness.advance(milliseconds{195});
    CHECK(harness.take<send_attempt>().empty());
}

TEST_CASE("a refused stage is queued again regardless of the retry budget")
{
    engine_harness<> harness;
    harness.services({makeService("encode", 1), makeService("generate", 20)});
    const pipeline_plan plan = makePlan({"encode", "generate"});
    harness.warmUp(plan, 20, milliseconds{5});
    for (int request = 0; request < 40; ++request) {
        harness.submit(plan);
        harness.answer(harness.take<send_attempt>()[0]);
        harness.failAttempt(harness.take<send_attempt>()[0], attempt_failure::Refused);
        const auto again = harness.take<send_attempt>();
        REQUIRE(again.size() == 1);
        harness.answer(again[0]);
        harness.advance(milliseconds{60});
    }
    const auto ends = harness.take<deliver_answer>();
    CHECK(ends.size() == 40);
    for (const auto &end : ends)
        CHECK(nameOf(end.answer.outcome) == nameOf(outcome::Answered));
}

TEST_CASE("no attempt is hedged while no server of the pool answers")
{
    engine_harness<> harness;
    harness.services({makeService("encode", 4)});
    const pipeline_plan plan = makePlan({"encode"});
    harness.warmUp(plan, 64, milliseconds{20});
    for (int request = 0; request < 4; ++request)
        harness.submit(plan, milliseconds{200});
    REQUIRE(harness.take<send_attempt>().size() == 4);
    harness.advance(milliseconds{155});
    CHECK(harness.take<send_attempt>().empty());
}

TEST_CASE("a customer cannot exceed its limit of open requests")
{
    engine_harness<> harness;
    harness.services({makeService("encode", 4)});
    pipeline_plan plan = makePlan({"encode"});
    plan.limits = {3};
    for (int request = 0; request < 5; ++request)
        harness.submit(plan);
    harness.submit(makePlan({"encode"}, "other"));
    const auto ends = harness.take<deliver_answer>();
    CHECK(ends.size() == 2);
    for (const auto &end : ends)
        CHECK(end.answer.reason == refusal_reason::Overloaded);
    const auto sent = harness.take<send_attempt>();
    REQUIRE(sent.size() == 4);

    harness.answer(sent[0]);
    harness.submit(plan);
    CHECK(harness.take<send_attempt>().size() == 1);
}

TEST_CASE("attempts abandoned at the deadline reduce the concurrency limit of their server")
{
    engine_harness<> harness;
    harness.services({makeService("encode", 1)});
    const pipeline_plan plan = makePlan({"encode"});
    harness.warmUp(plan, 64, milliseconds{20});
    const std::uint32_t before = harness.engine.stats().servers[0].limit;
    for (int round = 0; round < 20; ++round) {
        harness.submit(plan, milliseconds{300});
        harness.advance(milliseconds{300});
    }
    const std::uint32_t after = harness.engine.stats().servers[0].limit;
    CAPTURE(before, after);
    CHECK(after < before);
}

TEST_CASE("no attempt is hedged while queued work waits for its first attempt")
{
    engine_harness<> harness;
    harness.services({makeService("encode", 2)});
    const pipeline_plan plan = makePlan({"encode"});
    harness.warmUp(plan, 64, milliseconds{20});
    harness.submit(plan, milliseconds{200});
    const auto late = harness.take<send_attempt>();
    harness.advance(milliseconds{1});
    for (int request = 0; request < 40; ++request)
        harness.submit(plan, milliseconds{4'000});
    const auto others = harness.take<send_attempt>();
    REQUIRE(others.size() < 40);
    harness.advance(milliseconds{20});
    harness.answer(others[0]);
    harness.take<send_attempt>();
    harness.advance(milliseconds{134});
    for (const auto &sent : harness.take<send_attempt>())
        CHECK(sent.key.request.value != late[0].key.request.value);
}
