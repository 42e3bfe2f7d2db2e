#include "wire/metrics.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <sstream>
#include <string>

namespace orchidlead::wire {
namespace {

request_observation answered(const std::string &pipeline, const std::string &customer)
{
    request_observation request;
    request.pipeline = pipeline_id{pipeline};
    request.customer = customer_id{customer};
    request.outcome = outcome::Answered;
    request.attained = true;
    request.elapsed = milliseconds{40};
    stage_report stage;
    stage.stage = stage_id{"encode"};
    stage.attempts = 1;
    stage.elapsed = milliseconds{30};
    stage.busy = milliseconds{20};
    stage.tokens = 7;
    request.stages.push_back(stage);
    return request;
}

std::size_t linesWith(const std::string &text, const std::string &part)
{
    std::istringstream in(text);
    std::size_t found = 0;
    for (std::string line; std::getline(in, line);)
        found += line.find(part) != std::string::npos ? 1 : 0;
    return found;
}

TEST_CASE("The text shows outcomes, attainment, latency and cost by stage")
{
    metrics all;
    all.observe(answered("minutes", "saare"));
    request_observation refused;
    refused.pipeline = pipeline_id{"minutes"};
    refused.reason = refusal_reason::Overloaded;
    all.observe(refused);
    const std::string text = all.text();
    CAPTURE(text);
    for (const char *line : {
             R"(orchidlead_requests_total{outcome="answered",pipeline="minutes"} 1)",
             R"(orchidlead_requests_total{outcome="not_run",pipeline="minutes"} 1)",
             R"(orchidlead_requests_attained_total{pipeline="minutes"} 1)",
             R"(orchidlead_refusals_total{reason="overloaded"} 1)",
             R"(orchidlead_stage_busy_seconds_sum{pipeline="minutes",stage="encode"} 0.02)",
             R"(orchidlead_stage_tokens_total{pipeline="minutes",stage="encode"} 7)",
         })
        CHECK(linesWith(text, line) == 1);
}

TEST_CASE("Any number of customers and pipelines makes a bounded number of series")
{
    metrics_options options;
    options.maxPipelines = 4;
    options.maxStages = 4;
    options.maxCustomers = 3;
    metrics all(options);
    constexpr int Customers = 3000;
    for (int at = 0; at < Customers; ++at) {
        const std::string number = std::to_string(at);
        all.observe(answered("pipeline-" + number, "small-" + number));
        all.observe(answered("pipeline-" + number, "large-" + std::to_string(at % 5)));
    }
    const std::string text = all.text();
    CHECK(linesWith(text, "orchidlead_requests_attained_total{") == 5);
    CHECK(linesWith(text, "orchidlead_stage_tokens_total{") == 5);
    CHECK(linesWith(text, "orchidlead_customer_requests_total{") == 4);
    CHECK(linesWith(text, "customer=\"small-") == 0);
    CHECK(linesWith(text, "customer=\"large-") == 6);
    CHECK(linesWith(text, "customer=\"other\"") == 2);
}

TEST_CASE("Hostile label values stay inside their quotes")
{
    metrics all;
    all.observe(answered("a\"} 1\nforged{x=\"", "c"));
    CHECK(linesWith(all.text(), R"(pipeline="a\"} 1\nforged{x=\"")") > 0);
}

TEST_CASE("Counters that follow totals never go back")
{
    metrics all;
    all.update(control_channel::Gossip, {5, 4, 500, 400});
    all.update(control_channel::Gossip, {3, 4, 500, 400});
    const std::string text = all.text();
    CHECK(
        linesWith(text, R"(orchidlead_control_messages_total{channel="gossip",direction="out"} 5)")
        == 1);
}

} // namespace
} // namespace orchidlead::wire
