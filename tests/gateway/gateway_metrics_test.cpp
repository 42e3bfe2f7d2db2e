#include "gateway/gateway_metrics.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

TEST_CASE("requests are counted by kind and outcome, and their times by kind")
{
    gateway_metrics metrics;
    metrics.onRequest(request_kind::Safe, request_outcome::Answered, milliseconds{20});
    metrics.onRequest(request_kind::Safe, request_outcome::Answered, milliseconds{40});
    metrics.onRequest(std::nullopt, request_outcome::NoRoute, milliseconds{1});
    const auto text = metrics.text({});
    INFO(text);
    CHECK(text.find("orchidlead_gateway_requests_total{kind=\"safe\",outcome=\"answered\"} 2")
          != std::string::npos);
    CHECK(text.find("outcome=\"no_route\"} 1") != std::string::npos);
    CHECK(text.find("orchidlead_gateway_request_seconds_count{kind=\"safe\"} 2")
          != std::string::npos);
}

TEST_CASE("stage calls are counted by their end and their pieces")
{
    gateway_metrics metrics;
    metrics.onStageCall(stage_call_end::Answered, 8);
    metrics.onStageCall(stage_call_end::NotRun, 2);
    const auto text = metrics.text({});
    CHECK(text.find("stage_calls_total{end=\"not_run\"} 1") != std::string::npos);
    CHECK(text.find("stage_call_pieces_sum 10") != std::string::npos);
}

TEST_CASE("the state of the node is told as it is asked for")
{
    gateway_metrics metrics;
    gateway_gauges gauges;
    gauges.ready = true;
    gauges.configurationVersion = 12;
    const auto text = metrics.text(gauges);
    CHECK(text.find("orchidlead_gateway_state{what=\"ready\"} 1") != std::string::npos);
    CHECK(text.find("what=\"configuration_version\"} 12") != std::string::npos);
}
