#include "wire/plan_json.h"

#include <string>

namespace orchidlead::wire {

namespace {

std::string nameOf(auto value)
{
    return std::string(toName(value));
}

Json::Value stageToJson(const pipeline_plan &plan, const stage_plan &stage)
{
    Json::Value out{Json::objectValue};
    out["stage"] = stage.id.value;
    out["service"] = stage.service.value;
    out["kind"] = nameOf(stage.kind);
    out["path"] = stage.path;
    out["repeatable"] = stage.repeatable;
    out["timeout_ms"] = static_cast<Json::Int64>(stage.timeout.count());
    out["model"] = stage.model;
    out["max_tokens"] = stage.maxTokens;
    out["inputs"] = Json::Value{Json::arrayValue};
    for (const std::uint32_t input : stage.inputs)
        out["inputs"].append(plan.stages[input].id.value);
    return out;
}

} // namespace

Json::Value planToJson(const pipeline_plan &plan)
{
    Json::Value out{Json::objectValue};
    out["pipeline"] = plan.id.value;
    out["customer"] = plan.customer.value;
    out["configuration_version"] = static_cast<Json::UInt64>(plan.configurationVersion);
    out["deadline_ms"] = static_cast<Json::Int64>(plan.deadline.count());
    out["priority"] = nameOf(plan.priority);
    out["repeatable"] = plan.repeatable();
    out["stages"] = Json::Value{Json::arrayValue};
    for (const auto &stage : plan.stages)
        out["stages"].append(stageToJson(plan, stage));
    return out;
}

} // namespace orchidlead::wire
