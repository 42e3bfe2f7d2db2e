#include "ctl/node_commands.h"

#include "ctl/json_table.h"
#include "ctl/operator_client.h"
#include "ctl/plan_view.h"
#include "wire/json_text.h"

#include <array>

namespace orchidlead::ctl {

namespace {

constexpr auto Text = cell_format::Text;
constexpr auto Number = cell_format::Number;
constexpr auto Duration = cell_format::Duration;

constexpr std::array StatusFields{
    column_spec{"vm", "vm", Text},
    column_spec{"data centre", "data_center", Text},
    column_spec{"region", "region", Text},
    column_spec{"state", "state", Text},
    column_spec{"ready", "ready", cell_format::Boolean},
    column_spec{"reason", "reason", Text},
    column_spec{"configuration", "configuration_version", Number},
    column_spec{"uptime", "uptime_ms", Duration},
    column_spec{"connections", "connections", Number},
    column_spec{"open requests", "requests.open", Number},
    column_spec{"held bytes", "requests.held_bytes", Number},
    column_spec{"attained", "requests.attained", Number},
    column_spec{"answered", "requests.answered", Number},
    column_spec{"not run", "requests.not_run", Number},
    column_spec{"failed", "requests.failed", Number},
    column_spec{"unknown", "requests.unknown", Number},
    column_spec{"expired", "requests.expired", Number},
    column_spec{"dropped answers", "requests.dropped_answers", Number},
};

constexpr std::array VmColumns{
    column_spec{"VM", "vm", Text},
    column_spec{"DATA CENTRE", "data_center", Text},
    column_spec{"REGION", "region", Text},
    column_spec{"STATE", "state", Text},
    column_spec{"LISTED", "listed", cell_format::Boolean},
    column_spec{"PEER ADDRESS", "peer_address", Text},
    column_spec{"LAST HEARD", "last_heard_ms", Duration},
};

constexpr std::array ServerColumns{
    column_spec{"SERVER", "server", Text},
    column_spec{"SERVICE", "service", Text},
    column_spec{"DATA CENTRE", "data_center", Text},
    column_spec{"ADDRESS", "address", Text},
    column_spec{"STATE", "state", Text},
    column_spec{"OUTSTANDING", "outstanding", Number},
    column_spec{"LIMIT", "limit", Number},
    column_spec{"RUNNING", "reported_running", Number},
    column_spec{"QUEUED", "reported_queued", Number},
    column_spec{"LATENCY", "latency_ms", Duration},
    column_spec{"ANSWERS", "answers", Number},
    column_spec{"FAILURES", "failures", Number},
};

constexpr std::array PoolColumns{
    column_spec{"SERVICE", "service", Text},
    column_spec{"USABLE", "usable_servers", Number},
    column_spec{"SERVERS", "servers", Number},
    column_spec{"QUEUED", "queued", Number},
    column_spec{"IN FLIGHT", "in_flight", Number},
    column_spec{"P50", "p50_ms", Duration},
    column_spec{"P95", "p95_ms", Duration},
    column_spec{"P99", "p99_ms", Duration},
    column_spec{"WAIT", "queue_wait_ms", Duration},
    column_spec{"FIRST TRIES", "first_tries", Number},
    column_spec{"RETRIES", "retries", Number},
    column_spec{"HEDGES", "hedges", Number},
    column_spec{"FAILURES", "failures", Number},
    column_spec{"REFUSED", "refused", Number},
};

constexpr std::array StageColumns{
    column_spec{"PIPELINE", "pipeline", Text},          column_spec{"STAGE", "stage", Text},
    column_spec{"ATTEMPTS", "attempts", Number},        column_spec{"BUSY", "busy_ms", Duration},
    column_spec{"LOST BUSY", "lost_busy_ms", Duration}, column_spec{"TOKENS", "tokens", Number},
};

constexpr std::array CustomerColumns{
    column_spec{"CUSTOMER", "customer", Text},
    column_spec{"HOME", "home_data_center", Text},
    column_spec{"PIPELINES", "pipelines", Number},
    column_spec{"SUBMITTED", "requests.submitted", Number},
    column_spec{"ATTAINED", "requests.attained", Number},
    column_spec{"ANSWERED", "requests.answered", Number},
    column_spec{"NOT RUN", "requests.not_run", Number},
    column_spec{"FAILED", "requests.failed", Number},
    column_spec{"UNKNOWN", "requests.unknown", Number},
    column_spec{"EXPIRED", "requests.expired", Number},
    column_spec{"BUSY", "cost.busy_ms", Duration},
    column_spec{"TOKENS", "cost.tokens", Number},
};

constexpr std::array ConfigurationFields{
    column_spec{"version", "version", Number},
    column_spec{"hash", "hash", Number},
    column_spec{"reader", "reader", cell_format::Boolean},
    column_spec{"confirmed", "confirmed", cell_format::Boolean},
    column_spec{"service calls", "service_calls", Number},
    column_spec{"refused", "refused", cell_format::List},
};

constexpr std::array TraceFields{
    column_spec{"request", "request", Text},   column_spec{"customer", "customer", Text},
    column_spec{"pipeline", "pipeline", Text}, column_spec{"outcome", "outcome", Text},
    column_spec{"reason", "reason", Text},     column_spec{"detail", "detail", Text},
};

constexpr std::array TraceStageColumns{
    column_spec{"STAGE", "stage", Text},
    column_spec{"SERVER", "server", Text},
    column_spec{"FINISHED", "finished", cell_format::Boolean},
    column_spec{"ATTEMPTS", "attempts", Number},
    column_spec{"HEDGES", "hedges", Number},
    column_spec{"QUEUED", "queued_ms", Duration},
    column_spec{"ELAPSED", "elapsed_ms", Duration},
    column_spec{"BUSY", "busy_ms", Duration},
    column_spec{"TOKENS", "tokens", Number},
};

constexpr std::array DecisionColumns{
    column_spec{"AT", "at_ms", Duration},
    column_spec{"DECISION", "kind", Text},
    column_spec{"STAGE", "stage", Text},
    column_spec{"ATTEMPT", "attempt", Number},
    column_spec{"CHOSEN", "chosen", Text},
    column_spec{"REASON", "reason", Text},
    column_spec{"REMAINING", "remaining_ms", Duration},
    column_spec{"CANDIDATES", "candidates", cell_format::List},
};

/// Writes the answer as JSON where that is wanted, else through `print`.
template <class Print>
exit_code show(const command_context &context, const result<Json::Value, operator_error> &answer,
               Print print)
{
    if (!answer)
        return report(context, answer.error());
    if (context.line.flags.json)
        context.to.out << wire::writeJson(answer.value()) << '\n';
    else
        print(answer.value());
    return exit_code::Success;
}

exit_code showList(const command_context &context, const std::string &path,
                   const std::string &listName, std::span<const column_spec> columns)
{
    return show(context, askList(context, path, listName),
                [&](const Json::Value &value) { printRows(value[listName], columns, context.to); });
}

} // namespace

exit_code runStatus(const command_context &context)
{
    return show(context, askNode(context, "GET", "/v1/status"),
                [&](const Json::Value &value) { printFields(value, StatusFields, context.to); });
}

exit_code runVms(const command_context &context)
{
    return showList(context, "/v1/vms", "vms", VmColumns);
}

exit_code runServers(const command_context &context)
{
    return showList(context, "/v1/servers", "servers", ServerColumns);
}

exit_code runStages(const command_context &context)
{
    return show(context, askList(context, "/v1/stages", "stages"), [&](const Json::Value &value) {
        printRows(value["services"], PoolColumns, context.to);
        context.to.out << '\n';
        printRows(value["stages"], StageColumns, context.to);
    });
}

exit_code runCustomers(const command_context &context)
{
    return showList(context, "/v1/customers", "customers", CustomerColumns);
}

exit_code runPipelines(const command_context &context)
{
    const std::string path = "/v1/pipelines?customer=" + urlEncoded(context.line.arguments.front());
    return show(context, askNode(context, "GET", path), [&](const Json::Value &value) {
        bool first = true;
        for (const auto &plan : value["pipelines"]) {
            context.to.out << (first ? "" : "\n");
            printPlan(plan, context.to);
            first = false;
        }
    });
}

exit_code runConfig(const command_context &context)
{
    const bool content = context.line.flags.content;
    const std::string path = content ? "/v1/configuration?content=1" : "/v1/configuration";
    return show(context, askNode(context, "GET", path), [&](const Json::Value &value) {
        // The document alone, so that it can be redirected to a file and checked.
        if (content)
            context.to.out << wire::stringMember(value, "content").value_or("");
        else
            printFields(value, ConfigurationFields, context.to);
    });
}

exit_code runTrace(const command_context &context)
{
    const std::string path = "/v1/requests/" + urlEncoded(context.line.arguments.front());
    return show(context, askNode(context, "GET", path), [&](const Json::Value &value) {
        printFields(value, TraceFields, context.to);
        context.to.out << '\n';
        printRows(value["stages"], TraceStageColumns, context.to);
        context.to.out << '\n';
        printRows(value["decisions"], DecisionColumns, context.to);
    });
}

exit_code runDrain(const command_context &context)
{
    return show(context, askNode(context, "POST", "/v1/drain"), [&](const Json::Value &value) {
        context.to.out << "the node is " << wire::stringMember(value, "state").value_or("stopping")
                       << '\n';
    });
}

} // namespace orchidlead::ctl
