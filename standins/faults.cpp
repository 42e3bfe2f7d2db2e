#include "standins/faults.h"

namespace orchidlead::standins {

namespace {

bool isNumber(const Json::Value &json, const char *key)
{
    return !json.isMember(key) || json[key].isNumeric();
}

result<fault, fault_error> parseFault(const Json::Value &json)
{
    if (!json.isObject() || !json["fault"].isString())
        return fault_error::Malformed;
    if (!isNumber(json, "probability") || !isNumber(json, "factor") || !isNumber(json, "delay_ms"))
        return fault_error::Malformed;
    const auto kind = fromName<fault_kind>(json["fault"].asString());
    if (!kind)
        return fault_error::UnknownFault;
    fault parsed;
    parsed.kind = *kind;
    parsed.probability = json.get("probability", parsed.probability).asDouble();
    parsed.factor = json.get("factor", parsed.factor).asDouble();
    const auto delay = json.get("delay_ms", Json::Int64{parsed.delay.count()}).asDouble();
    parsed.delay = std::chrono::milliseconds{static_cast<std::int64_t>(delay)};
    return parsed;
}

} // namespace

std::optional<fault> fault_set::find(fault_kind kind) const
{
    const auto found = m_faults.find(kind);
    if (found == m_faults.end())
        return std::nullopt;
    return found->second;
}

std::optional<fault> fault_set::draw(fault_kind kind, std::mt19937_64 &random) const
{
    const auto found = find(kind);
    if (!found || !std::bernoulli_distribution(found->probability)(random))
        return std::nullopt;
    return found;
}

Json::Value fault_set::toJson() const
{
    Json::Value list(Json::arrayValue);
    for (const auto &[kind, fault] : m_faults) {
        Json::Value row;
        row["fault"] = std::string(toName(kind));
        row["probability"] = fault.probability;
        row["factor"] = fault.factor;
        row["delay_ms"] = Json::Int64{fault.delay.count()};
        list.append(row);
    }
    return list;
}

result<fault_set, fault_error> parseFaults(const Json::Value &json)
{
    if (!json.isObject() || !json["faults"].isArray())
        return fault_error::Malformed;
    fault_set faults;
    for (const Json::Value &row : json["faults"]) {
        const auto parsed = parseFault(row);
        if (!parsed)
            return parsed.error();
        faults.set(parsed.value());
    }
    return faults;
}

} // namespace orchidlead::standins
