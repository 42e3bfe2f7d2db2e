#include "gateway/gateway_metrics.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

TEST_CASE("request counters have kind and outcome labels, request durations a kind label")
{
    gateway_metrics metrics;
    route matchedRoute;
    matchedRoute.name = "pages";
    metrics.onRequest(&matchedRoute, request_outcome::Answered, milliseconds{20});
    metrics.onRequest(&matchedRoute, request_outcome::Answered, milliseconds{40});
    metrics.onRequest(nullptr, request_outcome::NoRoute, milliseconds{1});
    const auto text = metrics.text({});
    INFO(text);
    CHECK(text.find("orchidlead_gateway_requests_total{kind=\"safe\",outcome=\"answered\"} 2")
          != std::string::npos);
    CHECK(text.find("outcome=\"no_route\"} 1") != std::string::npos);
    CHECK(text.find("route_outcomes_total{outcome=\"answered\",route=\"pages\"} 2")
          != std::string::npos);
    CHECK(text.find("orchidlead_gateway_request_seconds_count{kind=\"safe\"} 2")
          != std::string::npos);
}

TEST_CASE("stage calls are counted by outcome, with their pieces, waits and durations")
{
    gateway_metrics metrics;
    const service_id service{"rerank"};
    metrics.onStageCall(service,
                        {stage_call_end::Answered, 8, milliseconds{30}, milliseconds{250}});
    metrics.onStageCall(service, {stage_call_end::NotRun, 2, milliseconds{0}, milliseconds{1}});
    const auto text = metrics.text({});
    CHECK(text.find("stage_calls_total{end=\"not_run\"} 1") != std::string::npos);
    CHECK(text.find("stage_call_pieces_sum 10") != std::string::npos);
    CHECK(text.find("stage_wait_seconds_count{service=\"rerank\"} 2") != std::string::npos);
    CHECK(text.find("stage_call_seconds_sum{service=\"rerank\"} 0.251") != std::string::npos);
}

TEST_CASE("held results are shown by service, and hold times by phase")
{
    gateway_metrics metrics;
    const service_id service{"pages"};
    metrics.onResultFreed(service, {milliseconds{200}, milliseconds{700}, milliseconds{20}});
    gateway_gauges gauges;
    gauges.heldResultBytes[service] = 3'000'000;
    const auto text = metrics.text(gauges);
    CHECK(text.find("result_hold_seconds_sum{phase=\"call\",service=\"pages\"} 0.2")
          != std::string::npos);
    CHECK(text.find("result_hold_seconds_sum{phase=\"needed\",service=\"pages\"} 0.7")
          != std::string::npos);
    CHECK(text.find("result_hold_seconds_sum{phase=\"freeing\",service=\"pages\"} 0.02")
          != std::string::npos);
    CHECK(text.find("result_held_bytes{service=\"pages\"} 3000000") != std::string::npos);
}

TEST_CASE("pool time is counted by customer and outcome, with a bounded number of customers")
{
    gateway_metrics metrics;
    const service_id service{"rerank"};
    for (int i = 0; i < 100; ++i) {
        metrics.onPoolDecision(service, customer_id("large"), pool_time{0.5}, refusal_cause::None);
        metrics.onPoolDecision(service, customer_id("large"), pool_time{0.5},
                               refusal_cause::OverShare);
        metrics.onPoolDecision(service, customer_id("c" + std::to_string(i)), pool_time{0.5},
                               refusal_cause::None);
    }
    const auto text = metrics.text({});
    INFO(text);
    CHECK(text.find("customer=\"large\",outcome=\"over_share\",service=\"rerank\"")
          != std::string::npos);
    CHECK(text.find("customer=\"other\",outcome=\"granted\"") != std::string::npos);
    CHECK(text.find("customer=\"c50\"") == std::string::npos);
}

TEST_CASE("tokens that are read again are counted by service and cause")
{
    gateway_metrics metrics;
    metrics.onRepeatedPrefill(service_id("e"), prefill_cause::Evicted, 13'000);
    metrics.onRepeatedPrefill(service_id("e"), prefill_cause::Evicted, 300);
    metrics.onRepeatedPrefill(service_id("e"), prefill_cause::LongerStageWait, 100);
    const auto text = metrics.text({});
    INFO(text);
    CHECK(
        text.find("orchidlead_repeated_prefill_tokens_total{cause=\"evicted\",service=\"e\"} 13300")
        != std::string::npos);
    CHECK(text.find("cause=\"other_data_center_longer_wait\",service=\"e\"} 100")
          != std::string::npos);
}

TEST_CASE("gauges show the state of the node at the time of the read")
{
    gateway_metrics metrics;
    gateway_gauges gauges;
    gauges.ready = true;
    gauges.configurationVersion = 12;
    gauges.coldServers = 3;
    gauges.limitedServers = 2;
    gauges.leavingServers = 6;
    gauges.backedOffServers = 7;
    gauges.evacuatedDataCenters = 1;
    gauges.serversCutOff = true;
    gauges.members["alive"] = 5;
    gauges.turns[service_id{"pages"}] = {5, {20, 12, 3, 0}};
    gauges.retries[service_id{"pages"}] = {3, 4.5, 0};
    const auto text = metrics.text(gauges);
    CHECK(text.find("orchidlead_gateway_retry_turns{service=\"pages\",state=\"held\"} 5")
          != std::string::npos);
    CHECK(text.find("service=\"pages\",state=\"lapsed\"} 3") != std::string::npos);
    CHECK(text.find("orchidlead_gateway_state{what=\"ready\"} 1") != std::string::npos);
    CHECK(text.find("what=\"configuration_version\"} 12") != std::string::npos);
    CHECK(text.find("what=\"cold_servers\"} 3") != std::string::npos);
    CHECK(text.find("what=\"limited_servers\"} 2") != std::string::npos);
    CHECK(text.find("what=\"leaving_servers\"} 6") != std::string::npos);
    CHECK(text.find("what=\"backed_off_servers\"} 7") != std::string::npos);
    CHECK(text.find("what=\"evacuated_data_centers\"} 1") != std::string::npos);
    CHECK(text.find("what=\"servers_cut_off\"} 1") != std::string::npos);
    CHECK(text.find("orchidlead_gateway_members{state=\"alive\"} 5") != std::string::npos);
    CHECK(text.find("retries_left{service=\"pages\"} 4.5") != std::string::npos);
}

TEST_CASE("redirected pieces are counted by service and event")
{
    gateway_metrics metrics;
    metrics.onRedirected(service_id{"rerank"}, redirection_event::Away, 16);
    metrics.onRedirected(service_id{"rerank"}, redirection_event::Away, 2);
    metrics.onRedirected(service_id{"rerank"}, redirection_event::Returned, 1);
    const auto text = metrics.text({});
    CHECK(text.find("redirected_pieces_total{event=\"away\",service=\"rerank\"} 18")
          != std::string::npos);
    CHECK(text.find("event=\"returned\",service=\"rerank\"} 1") != std::string::npos);
}
