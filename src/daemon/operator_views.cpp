#include "daemon/operator_views.h"

#include "core/settings/socket_address_text.h"
#include "wire/plan_json.h"

#include <orchidlead/enum_names.h>

#include <algorithm>
#include <bit>
#include <map>

namespace orchidlead::daemon {

namespace {

Json::Value text(std::string_view value)
{
    return {value.data(), value.data() + value.size()};
}

Json::Value count(std::uint64_t value)
{
    return Json::Value{static_cast<Json::UInt64>(value)};
}

Json::Value time(milliseconds value)
{
    return Json::Value{static_cast<Json::Int64>(value.count())};
}

/// Cuts one page out of named rows, and says where the next one begins.
Json::Value paged(std::string_view listName, const std::map<std::string, Json::Value> &rows,
                  const page &wanted)
{
    Json::Value list{Json::arrayValue};
    auto row = wanted.after.empty() ? rows.begin() : rows.upper_bound(wanted.after);
    std::string last;
    for (; row != rows.end() && list.size() < wanted.limit; ++row) {
        list.append(row->second);
        last = row->first;
    }
    Json::Value out{Json::objectValue};
    out[std::string(listName)] = std::move(list);
    out["next"] = row == rows.end() ? Json::Value{} : text(last);
    return out;
}

Json::Value viewServer(const backend_server_stats &server, const published_configuration *published)
{
    Json::Value out{Json::objectValue};
    out["server"] = text(server.server.value);
    out["service"] = text(server.service.value);
    out["state"] = text(toName(server.state));
    out["outstanding"] = server.outstanding;
    out["limit"] = server.limit;
    out["reported_running"] = server.reportedRunning;
    out["reported_queued"] = server.reportedQueued;
    out["latency_ms"] = time(server.latency);
    out["answers"] = count(server.answers);
    out["failures"] = count(server.failures);
    const backend_server *listed = published ? published->findServer(server.server) : nullptr;
    out["data_center"] = listed ? text(listed->dataCenter.value) : Json::Value{};
    out["address"] = listed ? text(toText(listed->address)) : Json::Value{};
    const service *pool = published ? published->findService(server.service) : nullptr;
    out["kind"] = pool ? text(toName(pool->kind)) : Json::Value{};
    return out;
}

Json::Value viewCost(const stage_cost &cost)
{
    Json::Value out{Json::objectValue};
    out["attempts"] = count(cost.attempts);
    out["busy_ms"] = time(cost.busy);
    out["lost_busy_ms"] = time(cost.lostBusy);
    out["tokens"] = count(cost.tokens);
    return out;
}

Json::Value viewOutcomes(const outcome_counts &counts)
{
    Json::Value out{Json::objectValue};
    out["submitted"] = count(counts.submitted);
    out["attained"] = count(counts.attained);
    for (const auto &row : enumNames<outcome>)
        out[std::string(row.name)] = count(counts.ended.at(static_cast<std::size_t>(row.value)));
    return out;
}

Json::Value viewPool(const service_stats &pool)
{
    Json::Value out{Json::objectValue};
    out["service"] = text(pool.service.value);
    out["servers"] = pool.servers;
    out["usable_servers"] = pool.usableServers;
    out["queued"] = pool.queued;
    out["in_flight"] = pool.inFlight;
    out["first_tries"] = count(pool.firstTries);
    out["retries"] = count(pool.retries);
    out["hedges"] = count(pool.hedges);
    out["failures"] = count(pool.failures);
    out["refused"] = count(pool.refused);
    out["p50_ms"] = time(pool.p50);
    out["p95_ms"] = time(pool.p95);
    out["p99_ms"] = time(pool.p99);
    out["queue_wait_ms"] = time(pool.queueWait);
    return out;
}

Json::Value viewReport(const stage_report &report)
{
    Json::Value out{Json::objectValue};
    out["stage"] = text(report.stage.value);
    out["server"] = text(report.server.value);
    out["attempts"] = report.attempts;
    out["hedges"] = report.hedges;
    out["queued_ms"] = time(report.queued);
    out["elapsed_ms"] = time(report.elapsed);
    out["busy_ms"] = time(report.busy);
    out["tokens"] = count(report.tokens);
    out["finished"] = report.finished;
    return out;
}

Json::Value viewDecision(const traced_decision &traced)
{
    const log_decision &decision = traced.decision;
    Json::Value out{Json::objectValue};
    out["at_ms"] = time(traced.at);
    out["kind"] = text(toName(decision.kind));
    out["stage"] = text(decision.stage.value);
    out["attempt"] = decision.key.attempt;
    out["chosen"] = text(decision.chosen.value);
    out["reason"] = text(decision.reason);
    out["remaining_ms"] = time(decision.remaining);
    out["candidates"] = Json::Value{Json::arrayValue};
    for (const auto &candidate : decision.candidates)
        out["candidates"].append(text(candidate.value));
    return out;
}

void addEnd(Json::Value &out, const std::optional<final_answer> &answer)
{
    out["outcome"] = answer ? text(toName(answer->outcome)) : Json::Value{};
    out["reason"] = text(answer ? toName(answer->reason) : "");
    out["detail"] = text(answer ? answer->detail : "");
    out["stages"] = Json::Value{Json::arrayValue};
    if (!answer)
        return;
    for (const auto &report : answer->stages)
        out["stages"].append(viewReport(report));
}

} // namespace

namespace {

Json::Value viewKeyHomes(const at_most_once &atMostOnce)
{
    Json::Value out{Json::objectValue};
    out["shards"] = count(ShardCount);
    out["held"] = std::popcount(atMostOnce.heldShards());
    out["certain"] = std::popcount(atMostOnce.shardsAcceptingNewKeys());
    out["records"] = count(atMostOnce.recordCount());
    return out;
}

} // namespace

Json::Value viewStatus(const node &state, const process_status &process)
{
    const node_settings &settings = state.settings();
    const configuration_ptr &configuration = state.configuration();
    const engine_stats stats = state.stats();
    Json::Value out{Json::objectValue};
    out["vm"] = text(settings.vm.value);
    out["data_center"] = text(settings.dataCenter.value);
    out["region"] = text(settings.region.value);
    out["incarnation"] = count(settings.incarnation);
    out["state"] = text(toName(process.phase));
    out["ready"] = process.reason.empty();
    out["reason"] = text(process.reason);
    out["configuration_version"] = count(configuration ? configuration->version : 0);
    out["uptime_ms"] = time(process.uptime);
    out["connections"] = count(process.connections);
    out["key_homes"] = viewKeyHomes(state.atMostOnce());
    Json::Value &requests = out["requests"];
    requests = viewOutcomes(stats.outcomes);
    requests["open"] = count(state.openRequests());
    requests["held_bytes"] = count(state.heldBytes());
    requests["dropped_answers"] = count(stats.droppedAnswers);
    return out;
}

Json::Value viewVms(const node &state, const page &wanted, steady_time now)
{
    std::map<std::string, Json::Value> rows;
    for (const auto &entry : state.members()) {
        Json::Value row{Json::objectValue};
        row["vm"] = text(entry.vm.vm.value);
        row["data_center"] = text(entry.vm.dataCenter.value);
        row["region"] = text(entry.vm.region.value);
        row["peer_address"] = text(toText(entry.vm.peerAddress));
        row["state"] = text(toName(entry.state));
        row["listed"] = entry.listed;
        row["incarnation"] = count(entry.incarnation);
        const auto since = std::chrono::duration_cast<milliseconds>(now - entry.lastReceivedAt);
        row["last_heard_ms"] = entry.incarnation == 0 ? Json::Value{} : time(since);
        rows.emplace(entry.vm.vm.value, std::move(row));
    }
    return paged("vms", rows, wanted);
}

Json::Value viewServers(const node &state, const page &wanted)
{
    std::map<std::string, Json::Value> rows;
    for (const auto &server : state.stats().servers)
        rows.emplace(server.server.value, viewServer(server, state.configuration().get()));
    return paged("servers", rows, wanted);
}

Json::Value viewStages(const node &state, const page &wanted)
{
    const engine_stats stats = state.stats();
    std::map<std::string, Json::Value> rows;
    for (const auto &stage : stats.stages) {
        Json::Value row = viewCost(stage.cost);
        row["pipeline"] = text(stage.pipeline.value);
        row["stage"] = text(stage.stage.value);
        rows.emplace(stage.pipeline.value + "/" + stage.stage.value, std::move(row));
    }
    Json::Value out = paged("stages", rows, wanted);
    out["services"] = Json::Value{Json::arrayValue};
    for (const auto &pool : stats.services)
        out["services"].append(viewPool(pool));
    return out;
}

Json::Value viewCustomers(const node &state, const page &wanted)
{
    std::map<std::string, const customer_stats *> counted;
    const engine_stats stats = state.stats();
    for (const auto &entry : stats.customers)
        counted.emplace(entry.customer.value, &entry);
    Json::Value list{Json::arrayValue};
    Json::Value out{Json::objectValue};
    out["next"] = Json::Value{};
    if (const configuration_ptr &configuration = state.configuration()) {
        const auto &customers = configuration->customers;
        const auto isAfter = [&](const customer &entry) { return entry.id.value > wanted.after; };
        auto entry = std::find_if(customers.begin(), customers.end(), isAfter);
        for (; entry != customers.end() && list.size() < wanted.limit; ++entry) {
            Json::Value row{Json::objectValue};
            row["customer"] = text(entry->id.value);
            row["home_data_center"] = text(entry->settings->homeDataCenter.value);
            row["pipelines"] = count(entry->settings->pipelines.size());
            const auto found = counted.find(entry->id.value);
            row["requests"] =
                found == counted.end() ? Json::Value{} : viewOutcomes(found->second->outcomes);
            row["cost"] = found == counted.end() ? Json::Value{} : viewCost(found->second->cost);
            list.append(std::move(row));
        }
        if (entry != customers.end() && !list.empty())
            out["next"] = list[list.size() - 1]["customer"];
    }
    out["customers"] = std::move(list);
    return out;
}

Json::Value viewConfiguration(const node_control &control, bool withContent)
{
    const published_configuration_manager &manager = control.manager();
    Json::Value out{Json::objectValue};
    out["version"] = count(manager.stamp().version);
    out["hash"] = count(manager.stamp().hash);
    out["reader"] = manager.isReader();
    out["confirmed"] = manager.readyToServe();
    out["service_calls"] = count(manager.serviceCalls());
    out["refused"] = Json::Value{Json::arrayValue};
    for (const auto &refused : manager.refused())
        out["refused"].append(count(refused.version));
    if (withContent)
        out["content"] = text(manager.content());
    return out;
}

std::optional<Json::Value> viewPipelines(const node &state, const customer_id &customer)
{
    const configuration_ptr &configuration = state.configuration();
    const auto *found = configuration ? configuration->findCustomer(customer) : nullptr;
    if (found == nullptr)
        return std::nullopt;
    Json::Value out{Json::objectValue};
    out["pipelines"] = Json::Value{Json::arrayValue};
    out["next"] = Json::Value{};
    for (const auto &pipeline : found->settings->pipelines) {
        if (const auto plan = renderPipeline(*configuration, customer, pipeline.id))
            out["pipelines"].append(wire::planToJson(*plan.value()));
    }
    return out;
}

std::optional<Json::Value> viewRequest(const node &state, const request_id &request)
{
    const request_trace *trace = state.traces().find(request);
    if (trace == nullptr)
        return std::nullopt;
    Json::Value out{Json::objectValue};
    out["request"] = text(trace->request.value);
    out["customer"] = text(trace->customer.value);
    out["pipeline"] = text(trace->pipeline.value);
    addEnd(out, trace->answer);
    out["decisions"] = Json::Value{Json::arrayValue};
    for (const auto &decision : trace->decisions)
        out["decisions"].append(viewDecision(decision));
    out["dropped_decisions"] = count(trace->droppedDecisions);
    return out;
}

} // namespace orchidlead::daemon
