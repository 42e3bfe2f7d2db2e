#include "gateway/gateway_metrics.h"

#include "wire/bounded_family.h"
#include "wire/customer_labels.h"

#include <orchidlead/membership.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <sstream>

namespace orchidlead::gateway {

namespace {

// Seconds; from the processing time of a plain request to the timeout of the slowest route.
const prometheus::Histogram::BucketBoundaries timeBuckets{0.01, 0.03, 0.1, 0.3,  1.0, 1.6,
                                                          2.5,  3.6,  6.0, 10.0, 20.0};
// Pieces per call; published batch sizes go up to 54 so far.
const prometheus::Histogram::BucketBoundaries pieceBuckets{1, 2, 4, 8, 16, 32, 64};

// Limits of series per family. A deployment has 5 services so far, and up to some hundred routes at
// times.
constexpr std::size_t MaxServices = 32;
constexpr std::size_t MaxRouteRows = 256;
constexpr std::size_t HoldPhases = 3; // fields of `hold_times`
constexpr std::size_t TurnStates = 5;
// Services times the labelled customers and the rest, times the outcomes of a decision.
constexpr std::size_t MaxCustomerRows =
    MaxServices * (wire::customer_label_options{}.maxLabels + 1) * enumNames<refusal_cause>.size();

double seconds(milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

std::string toLabel(std::string_view name)
{
    return std::string(name);
}

} // namespace

class gateway_metrics::families
{
public:
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests =
        prometheus::BuildCounter()
            .Name("orchidlead_gateway_requests_total")
            .Help("Client requests by kind of route and outcome")
            .Register(registry);
    prometheus::Family<prometheus::Histogram> &durations =
        prometheus::BuildHistogram()
            .Name("orchidlead_gateway_request_seconds")
            .Help("Time from a request's arrival to the end of its answer, by kind of route")
            .Register(registry);
    prometheus::Histogram &firstEvents =
        prometheus::BuildHistogram()
            .Name("orchidlead_gateway_first_event_seconds")
            .Help("Time from a stream's arrival to its first event")
            .Register(registry)
            .Add({}, timeBuckets);
    prometheus::Counter &reservedFields =
        prometheus::BuildCounter()
            .Name("orchidlead_gateway_forged_fields_total")
            .Help("Fields of clients that only the system may set; they were left out")
            .Register(registry)
            .Add({});
    wire::counter_family routeOutcomes{registry,
                                       {"orchidlead_gateway_route_outcomes_total",
                                        "Client requests by route and outcome",
                                        {"route", "outcome"},
                                        MaxRouteRows}};
    wire::histogram_family stageWaits{registry,
                                      {"orchidlead_gateway_stage_wait_seconds",
                                       "Longest wait of a piece before a stage call, by service",
                                       {"service"},
                                       MaxServices}};
    wire::histogram_family stageTimes{registry,
                                      {"orchidlead_gateway_stage_call_seconds",
                                       "Time that a stage call took, by service",
                                       {"service"},
                                       MaxServices}};
    wire::histogram_family resultHolds{registry,
                                       {"orchidlead_gateway_result_hold_seconds",
                                        "Time that a result occupied storage of its server, by "
                                        "service and phase",
                                        {"service", "phase"},
                                        MaxServices *HoldPhases}};
    wire::gauge_family heldResultBytes{registry,
                                       {"orchidlead_gateway_result_held_bytes",
                                        "Results that servers hold for the pools here, by service",
                                        {"service"},
                                        MaxServices}};
    wire::counter_family repeatedPrefills{
        registry,
        {"orchidlead_repeated_prefill_tokens_total",
         "Prompt tokens that an engine read although another one keeps them, by service and cause",
         {"service", "cause"},
         MaxServices *enumNames<prefill_cause>.size()}};
    wire::counter_family redirections{
        registry,
        {"orchidlead_gateway_redirected_pieces_total",
         "Pieces redirected between the pools of a service, by service and event",
         {"service", "event"},
         MaxServices *enumNames<redirection_event>.size()}};
    wire::counter_family hedgedPieces{
        registry,
        {"orchidlead_gateway_hedged_pieces_total",
         "Pieces of overdue stage calls that were computed a second time, by service and event",
         {"service", "event"},
         MaxServices *enumNames<hedge_event>.size()}};
    wire::gauge_family waitingPieces{registry,
                                     {"orchidlead_gateway_stage_waiting_pieces",
                                      "Pieces that wait for a call here, by service",
                                      {"service"},
                                      MaxServices}};
    wire::gauge_family reservedPieces{registry,
                                      {"orchidlead_gateway_reserved_pieces",
                                       "Pieces that are reserved here and have not arrived",
                                       {"service"},
                                       MaxServices}};
    wire::gauge_family reservationsGranted{
        registry,
        {"orchidlead_gateway_reservations_granted",
         "Requests that were admitted to the service's pools here, since the start",
         {"service"},
         MaxServices}};
    wire::gauge_family reservationsRefused{
        registry,
        {"orchidlead_gateway_reservations_refused",
         "Requests that were refused at the service's pools here, since the start",
         {"service"},
         MaxServices}};
    wire::gauge_family retriesTaken{registry,
                                    {"orchidlead_gateway_retries_in_window",
                                     "Second tries taken in the current window, by service",
                                     {"service"},
                                     MaxServices}};
    wire::gauge_family retriesLeft{registry,
                                   {"orchidlead_gateway_retries_left",
                                    "Second tries that this node may still take, by service",
                                    {"service"},
                                    MaxServices}};
    wire::gauge_family turns{registry,
                             {"orchidlead_gateway_retry_turns",
                              "Retry turns of the pools hosted here, by service: held now; the "
                              "other states since the start",
                              {"service", "state"},
                              MaxServices *TurnStates}};
    wire::counter_family customerTime{registry,
                                      {"orchidlead_gateway_customer_pool_seconds_total",
                                       "Pool time that customers requested of the pools hosted "
                                       "here, by service, customer and outcome",
                                       {"service", "customer", "outcome"},
                                       MaxCustomerRows}};
    wire::customer_labels customers;
    wire::gauge_family members{registry,
                               {"orchidlead_gateway_members",
                                "Gateways that this node knows, by state",
                                {"state"},
                                enumNames<member_state>.size()}};
    prometheus::Family<prometheus::Counter> &stageCalls =
        prometheus::BuildCounter()
            .Name("orchidlead_gateway_stage_calls_total")
            .Help("Calls of the stage pools hosted here, by how they ended")
            .Register(registry);
    prometheus::Histogram &stagePieces = prometheus::BuildHistogram()
                                             .Name("orchidlead_gateway_stage_call_pieces")
                                             .Help("Pieces in a stage call")
                                             .Register(registry)
                                             .Add({}, pieceBuckets);
    prometheus::Family<prometheus::Gauge> &states = prometheus::BuildGauge()
                                                        .Name("orchidlead_gateway_state")
                                                        .Help("What the node is like now")
                                                        .Register(registry);

    void setTurns(const service_id &service, const turn_summary &gauges)
    {
        const auto setState = [&](const char *state, std::uint64_t value) {
            turns.at({service.value, state}).Set(static_cast<double>(value));
        };
        setState("held", gauges.held);
        setState("given", gauges.counts.given);
        setState("redeemed", gauges.counts.redeemed);
        setState("lapsed", gauges.counts.lapsed);
        setState("evicted", gauges.counts.evicted);
    }

    void set(const char *name, double value) { states.Add({{"what", name}}).Set(value); }
};

gateway_metrics::gateway_metrics()
    : m_families(std::make_unique<families>())
{ }

gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::onRequest(const route *matchedRoute, request_outcome outcome,
                                milliseconds took)
{
    const auto name = matchedRoute ? toLabel(toName(matchedRoute->kind)) : "none";
    if (matchedRoute)
        m_families->routeOutcomes.at({matchedRoute->name, toLabel(toName(outcome))}).Increment();
    m_families->requests.Add({{"kind", name}, {"outcome", toLabel(toName(outcome))}}).Increment();
    m_families->durations.Add({{"kind", name}}, timeBuckets).Observe(seconds(took));
}

void gateway_metrics::onFirstEvent(milliseconds took)
{
    m_families->firstEvents.Observe(seconds(took));
}

void gateway_metrics::onReservedFields(std::uint32_t count)
{
    m_families->reservedFields.Increment(count);
}

void gateway_metrics::onResultFreed(const service_id &service, const hold_times &held)
{
    const auto observe = [&](const char *phase, std::chrono::microseconds took) {
        m_families->resultHolds.at({service.value, phase})
            .Observe(std::chrono::duration<double>(took).count());
    };
    observe("call", held.call);
    observe("needed", held.needed);
    observe("freeing", held.freeing);
}

void gateway_metrics::onRepeatedPrefill(const service_id &service, prefill_cause cause,
                                        std::uint32_t tokens)
{
    m_families->repeatedPrefills.at({service.value, toLabel(toName(cause))})
        .Increment(static_cast<double>(tokens));
}

void gateway_metrics::onStageCall(const service_id &service, const stage_call_report &call)
{
    m_families->stageCalls.Add({{"end", toLabel(toName(call.end))}}).Increment();
    m_families->stagePieces.Observe(static_cast<double>(call.pieces));
    m_families->stageWaits.at({service.value}).Observe(seconds(call.longestWait));
    m_families->stageTimes.at({service.value}).Observe(seconds(call.took));
}

void gateway_metrics::onPoolDecision(const service_id &service, const customer_id &customer,
                                     pool_time cost, refusal_cause cause)
{
    const auto outcome = cause == refusal_cause::None ? "granted" : toName(cause);
    m_families->customerTime
        .at({service.value, toLabel(m_families->customers.labelFor(customer)), toLabel(outcome)})
        .Increment(cost.count());
}

void gateway_metrics::onRedirected(const service_id &service, redirection_event kind,
                                   std::uint32_t pieces)
{
    m_families->redirections.at({service.value, toLabel(toName(kind))}).Increment(pieces);
}

void gateway_metrics::onHedgedPieces(const service_id &service, hedge_event event,
                                     std::size_t pieces)
{
    m_families->hedgedPieces.at({service.value, toLabel(toName(event))})
        .Increment(static_cast<double>(pieces));
}

std::string gateway_metrics::text(const gateway_gauges &gauges)
{
    m_families->set("ready", gauges.ready ? 1 : 0);
    m_families->set("store_connected", gauges.storeConnected ? 1 : 0);
    m_families->set("configuration_version", static_cast<double>(gauges.configurationVersion));
    m_families->set("client_connections", static_cast<double>(gauges.connections));
    m_families->set("open_requests", static_cast<double>(gauges.answering));
    m_families->set("usable_servers", static_cast<double>(gauges.servers));
    m_families->set("cold_servers", static_cast<double>(gauges.coldServers));
    m_families->set("limited_servers", static_cast<double>(gauges.limitedServers));
    m_families->set("leaving_servers", static_cast<double>(gauges.leavingServers));
    m_families->set("backed_off_servers", static_cast<double>(gauges.backedOffServers));
    m_families->set("evacuated_data_centers", static_cast<double>(gauges.evacuatedDataCenters));
    m_families->set("engine_placements", static_cast<double>(gauges.placements));
    m_families->set("calls_sent_by_relay", static_cast<double>(gauges.callsSentByRelay));
    m_families->set("calls_relayed", static_cast<double>(gauges.callsRelayed));
    m_families->set("stream_origins", static_cast<double>(gauges.streamOrigins));
    m_families->set("servers_cut_off", gauges.serversCutOff ? 1 : 0);
    m_families->set("published_age_seconds", seconds(gauges.publishedAge));
    m_families->set("configuration_age_seconds", seconds(gauges.configurationAge));
    for (const auto &[state, count] : gauges.members)
        m_families->members.at({state}).Set(static_cast<double>(count));
    for (const auto &[service, count] : gauges.waitingPieces)
        m_families->waitingPieces.at({service.value}).Set(static_cast<double>(count));
    for (const auto &[service, bytes] : gauges.heldResultBytes)
        m_families->heldResultBytes.at({service.value}).Set(static_cast<double>(bytes));
    for (const auto &[service, counts] : gauges.admissions) {
        m_families->reservedPieces.at({service.value}).Set(static_cast<double>(counts.held));
        m_families->reservationsGranted.at({service.value})
            .Set(static_cast<double>(counts.granted));
        m_families->reservationsRefused.at({service.value})
            .Set(static_cast<double>(counts.refused));
    }
    for (const auto &[service, each] : gauges.turns)
        m_families->setTurns(service, each);
    for (const auto &[service, usage] : gauges.retries) {
        m_families->retriesTaken.at({service.value}).Set(usage.taken);
        m_families->retriesLeft.at({service.value}).Set(usage.left);
    }
    m_families->set("server_connections_opened", static_cast<double>(gauges.serverConnections));
    m_families->set("log_lines_dropped", static_cast<double>(gauges.droppedLogLines));
    std::ostringstream out;
    prometheus::TextSerializer{}.Serialize(out, m_families->registry.Collect());
    return out.str();
}

} // namespace orchidlead::gateway
