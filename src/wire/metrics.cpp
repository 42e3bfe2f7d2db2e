#include "wire/metrics.h"

#include "wire/bounded_family.h"
#include "wire/customer_labels.h"

#include <prometheus/text_serializer.h>

#include <map>
#include <sstream>

namespace orchidlead::wire {

namespace {

double seconds(milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

/// Brings a counter up to a total that is counted elsewhere.
void raiseTo(prometheus::Counter &counter, double total)
{
    if (total > counter.Value())
        counter.Increment(total - counter.Value());
}

template <class Enum>
std::string nameOf(Enum value)
{
    return std::string{toName(value)};
}

/// What the backend servers of one service add up to.
struct server_sums
{
    double limit = 0;
    std::array<double, enumNames<server_state>.size()> states{};
};

std::map<service_id, server_sums> sumServers(const engine_stats &stats)
{
    std::map<service_id, server_sums> sums;
    for (const auto &server : stats.servers) {
        auto &sum = sums[server.service];
        sum.limit += server.limit;
        sum.states[static_cast<std::size_t>(server.state)] += 1;
    }
    return sums;
}

} // namespace

struct metrics::families
{
    explicit families(const metrics_options &options)
        : bounds(options)
        , customers({options.maxCustomers})
    { }

    metrics_options bounds;
    prometheus::Registry registry;
    customer_labels customers;

    std::size_t outcomes = enumNames<outcome>.size();

    counter_family requests{registry,
                            {"orchidlead_requests_total",
                             "Requests that ended, by outcome.",
                             {"pipeline", "outcome"},
                             bounds.maxPipelines *outcomes}};
    counter_family attained{registry,
                            {"orchidlead_requests_attained_total",
                             "Requests whose whole answer came within the deadline.",
                             {"pipeline"},
                             bounds.maxPipelines}};
    counter_family refusals{registry,
                            {"orchidlead_refusals_total",
                             "Requests that ended without an answer, by reason.",
                             {"reason"},
                             enumNames<refusal_reason>.size()}};
    histogram_family requestSeconds{registry,
                                    {"orchidlead_request_seconds",
                                     "Time from reading a request to its end.",
                                     {"pipeline"},
                                     bounds.maxPipelines}};
    histogram_family stageSeconds{registry,
                                  {"orchidlead_stage_seconds",
                                   "Time of a stage, its queueing included.",
                                   {"pipeline", "stage"},
                                   bounds.maxStages}};
    histogram_family stageBusy{registry,
                               {"orchidlead_stage_busy_seconds",
                                "Cost: backend server time of a stage for a request, all attempts.",
                                {"pipeline", "stage"},
                                bounds.maxStages}};
    counter_family stageLostBusy{registry,
                                 {"orchidlead_stage_lost_busy_seconds_total",
                                  "Backend server time whose result wasn't used.",
                                  {"pipeline", "stage"},
                                  bounds.maxStages}};
    counter_family stageTokens{registry,
                               {"orchidlead_stage_tokens_total",
                                "Tokens generated.",
                                {"pipeline", "stage"},
                                bounds.maxStages}};
    counter_family customerRequests{
        registry,
        {"orchidlead_customer_requests_total",
         "Requests that ended, of the largest customers and the others.",
         {"customer", "outcome"},
         (bounds.maxCustomers + 1) * outcomes}};
    counter_family customerAttained{registry,
                                    {"orchidlead_customer_requests_attained_total",
                                     "Requests answered within the deadline, by customer.",
                                     {"customer"},
                                     bounds.maxCustomers + 1}};
    counter_family decisions{registry,
                             {"orchidlead_decisions_total",
                              "Decisions about requests, as in the log.",
                              {"kind"},
                              enumNames<decision_kind>.size()}};
    counter_family tries{registry,
                         {"orchidlead_service_attempts_total",
                          "Attempts sent to a service: first tries, retries and hedges.",
                          {"service", "kind"},
                          bounds.maxServices * 3}};
    counter_family failures{registry,
                            {"orchidlead_service_failures_total",
                             "Attempts that ended without an answer.",
                             {"service"},
                             bounds.maxServices}};
    counter_family refused{registry,
                           {"orchidlead_service_refused_total",
                            "Requests refused or shed because of a service.",
                            {"service"},
                            bounds.maxServices}};
    gauge_family queued{registry,
                        {"orchidlead_service_queued",
                         "Attempts that wait for a backend server.",
                         {"service"},
                         bounds.maxServices}};
    gauge_family inFlight{registry,
                          {"orchidlead_service_in_flight",
                           "Attempts sent and not ended.",
                           {"service"},
                           bounds.maxServices}};
    gauge_family limit{registry,
                       {"orchidlead_service_limit",
                        "Attempts that this node allows itself at a time.",
                        {"service"},
                        bounds.maxServices}};
    gauge_family queueWait{registry,
                           {"orchidlead_service_queue_wait_seconds",
                            "Smoothed time in the queue.",
                            {"service"},
                            bounds.maxServices}};
    gauge_family servers{registry,
                         {"orchidlead_service_servers",
                          "Backend servers, by what this node believes of them.",
                          {"service", "state"},
                          bounds.maxServices *enumNames<server_state>.size()}};
    counter_family droppedAnswers{registry,
                                  {"orchidlead_dropped_answers_total",
                                   "Answers that were late, doubled or of another attempt.",
                                   {},
                                   1}};
    gauge_family ready{
        registry,
        {"orchidlead_ready", "1 while the node tells the balancer that it serves.", {}, 1}};
    gauge_family openRequests{registry,
                              {"orchidlead_open_requests", "Requests without their end.", {}, 1}};
    gauge_family connections{registry,
                             {"orchidlead_connections", "Connections of callers.", {}, 1}};
    gauge_family heldBytes{
        registry, {"orchidlead_held_bytes", "Inputs and stage outputs of open requests.", {}, 1}};
    gauge_family configuration{registry,
                               {"orchidlead_configuration_version",
                                "Version in force, and the highest heard of.",
                                {"which"},
                                2}};
    gauge_family members{registry,
                         {"orchidlead_members",
                          "VMs, by what this node believes of them.",
                          {"state"},
                          enumNames<member_state>.size()}};
    counter_family controlMessages{registry,
                                   {"orchidlead_control_messages_total",
                                    "Messages between nodes.",
                                    {"channel", "direction"},
                                    enumNames<control_channel>.size() * 2}};
    counter_family controlBytes{registry,
                                {"orchidlead_control_bytes_total",
                                 "Bytes of messages between nodes.",
                                 {"channel", "direction"},
                                 enumNames<control_channel>.size() * 2}};
    counter_family platformCalls{
        registry,
        {"orchidlead_wire_calls_total",
         "Calls to what the platform publishes; each counts against its rate.",
         {"document"},
         enumNames<published_kind>.size()}};
    counter_family platformFailures{
        registry,
        {"orchidlead_wire_failures_total",
         "Calls to the platform that gave nothing.",
         {"document", "failure"},
         enumNames<published_kind>.size() * enumNames<read_failure>.size()}};
    counter_family droppedLogLines{registry,
                                   {"orchidlead_log_lines_dropped_total",
                                    "Log lines dropped because the queue was full.",
                                    {},
                                    1}};
};

metrics::metrics(const metrics_options &options)
    : m_families(std::make_unique<families>(options))
{ }

metrics::~metrics() = default;

void metrics::observe(const request_observation &request)
{
    families &all = *m_families;
    const std::string &pipeline = request.pipeline.value;
    const std::string ended = nameOf(request.outcome);
    const std::string customer{all.customers.labelFor(request.customer)};
    all.requests.at({pipeline, ended}).Increment();
    all.customerRequests.at({customer, ended}).Increment();
    all.requestSeconds.at({pipeline}).Observe(seconds(request.elapsed));
    if (request.attained) {
        all.attained.at({pipeline}).Increment();
        all.customerAttained.at({customer}).Increment();
    }
    if (request.outcome != outcome::Answered)
        all.refusals.at({nameOf(request.reason)}).Increment();
    for (const auto &stage : request.stages) {
        if (stage.attempts == 0)
            continue;
        const std::vector<std::string> labels{pipeline, stage.stage.value};
        all.stageSeconds.at(labels).Observe(seconds(stage.queued + stage.elapsed));
        all.stageBusy.at(labels).Observe(seconds(stage.busy));
        all.stageTokens.at(labels).Increment(static_cast<double>(stage.tokens));
    }
}

void metrics::observe(const log_decision &decision)
{
    m_families->decisions.at({nameOf(decision.kind)}).Increment();
}

void metrics::update(const engine_stats &stats)
{
    families &all = *m_families;
    raiseTo(all.droppedAnswers.at({}), static_cast<double>(stats.droppedAnswers));
    for (const auto &stage : stats.stages) {
        raiseTo(all.stageLostBusy.at({stage.pipeline.value, stage.stage.value}),
                seconds(stage.cost.lostBusy));
    }
    const auto sums = sumServers(stats);
    for (const auto &service : stats.services) {
        const std::string &name = service.service.value;
        raiseTo(all.tries.at({name, "first"}), static_cast<double>(service.firstTries));
        raiseTo(all.tries.at({name, "retry"}), static_cast<double>(service.retries));
        raiseTo(all.tries.at({name, "hedge"}), static_cast<double>(service.hedges));
        raiseTo(all.failures.at({name}), static_cast<double>(service.failures));
        raiseTo(all.refused.at({name}), static_cast<double>(service.refused));
        all.queued.at({name}).Set(service.queued);
        all.inFlight.at({name}).Set(service.inFlight);
        all.queueWait.at({name}).Set(seconds(service.queueWait));
        const auto sum = sums.find(service.service);
        const server_sums found = sum == sums.end() ? server_sums{} : sum->second;
        all.limit.at({name}).Set(found.limit);
        for (const auto &state : enumNames<server_state>) {
            all.servers.at({name, std::string{state.name}})
                .Set(found.states[static_cast<std::size_t>(state.value)]);
        }
    }
}

void metrics::update(const node_gauges &gauges)
{
    families &all = *m_families;
    all.ready.at({}).Set(gauges.ready ? 1 : 0);
    all.openRequests.at({}).Set(static_cast<double>(gauges.openRequests));
    all.connections.at({}).Set(static_cast<double>(gauges.connections));
    all.heldBytes.at({}).Set(static_cast<double>(gauges.heldBytes));
    all.configuration.at({"in_force"}).Set(static_cast<double>(gauges.configurationVersion));
    all.configuration.at({"heard"}).Set(static_cast<double>(gauges.configurationHeard));
    for (const auto &state : enumNames<member_state>) {
        const auto count = gauges.members[static_cast<std::size_t>(state.value)];
        all.members.at({std::string{state.name}}).Set(static_cast<double>(count));
    }
}

void metrics::update(control_channel channel, const control_totals &totals)
{
    families &all = *m_families;
    const std::string name = nameOf(channel);
    raiseTo(all.controlMessages.at({name, "out"}), static_cast<double>(totals.messagesOut));
    raiseTo(all.controlMessages.at({name, "in"}), static_cast<double>(totals.messagesIn));
    raiseTo(all.controlBytes.at({name, "out"}), static_cast<double>(totals.bytesOut));
    raiseTo(all.controlBytes.at({name, "in"}), static_cast<double>(totals.bytesIn));
}

void metrics::update(published_kind kind, const read_counts &counts)
{
    families &all = *m_families;
    const std::string name = nameOf(kind);
    raiseTo(all.platformCalls.at({name}), static_cast<double>(counts.calls));
    for (const auto &each : enumNames<read_failure>) {
        const auto count = counts.failures[static_cast<std::size_t>(each.value)];
        raiseTo(all.platformFailures.at({name, std::string{each.name}}),
                static_cast<double>(count));
    }
}

void metrics::updateDroppedLogLines(std::uint64_t total)
{
    raiseTo(m_families->droppedLogLines.at({}), static_cast<double>(total));
}

std::string metrics::text() const
{
    std::ostringstream out;
    prometheus::TextSerializer{}.Serialize(out, m_families->registry.Collect());
    return out.str();
}

} // namespace orchidlead::wire
