#include "standins/run_history.h"

#include <algorithm>
#include <chrono>

namespace orchidlead::standins {

std::int64_t toMicros(steady_time time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

steady_time fromMicros(std::int64_t micros)
{
    return steady_time{std::chrono::microseconds{micros}};
}

Json::Value toJson(const run_record &record)
{
    Json::Value json;
    json["sequence"] = Json::UInt64{record.sequence};
    json["server"] = record.server;
    json["request"] = record.request;
    json["stage"] = record.stage;
    json["stage_index"] = record.stageIndex;
    json["attempt"] = record.attempt;
    json["customer"] = record.customer;
    json["nonce"] = record.nonce;
    json["arrived_us"] = Json::Int64{toMicros(record.arrived)};
    if (record.started)
        json["started_us"] = Json::Int64{toMicros(*record.started)};
    if (record.ended)
        json["ended_us"] = Json::Int64{toMicros(*record.ended)};
    json["end"] = std::string(toName(record.end));
    json["server_leaving"] = record.serverLeaving;
    return json;
}

std::optional<run_record> parseRunRecord(const Json::Value &json)
{
    try {
        const auto end = fromName<run_end>(json["end"].asString());
        if (!end || !json.isMember("arrived_us"))
            return std::nullopt;
        run_record record;
        record.sequence = json["sequence"].asUInt64();
        record.server = json["server"].asString();
        record.request = json["request"].asString();
        record.stage = json["stage"].asString();
        record.stageIndex = json["stage_index"].asUInt();
        record.attempt = json["attempt"].asUInt();
        record.customer = json["customer"].asString();
        record.nonce = json["nonce"].asString();
        record.arrived = fromMicros(json["arrived_us"].asInt64());
        if (json.isMember("started_us"))
            record.started = fromMicros(json["started_us"].asInt64());
        if (json.isMember("ended_us"))
            record.ended = fromMicros(json["ended_us"].asInt64());
        record.end = *end;
        record.serverLeaving = json["server_leaving"].asBool();
        return record;
    } catch (const Json::Exception &) {
        return std::nullopt;
    }
}

std::uint64_t run_history::add(run_record record)
{
    record.sequence = ++m_last;
    m_records.push_back(std::move(record));
    if (m_records.size() > m_capacity)
        m_records.pop_front();
    return m_last;
}

run_record *run_history::find(std::uint64_t sequence)
{
    const std::uint64_t first = m_last - m_records.size() + 1;
    if (sequence < first || sequence > m_last)
        return nullptr;
    return &m_records[sequence - first];
}

Json::Value run_history::page(std::uint64_t after, std::size_t limit) const
{
    const std::uint64_t dropped = m_last - m_records.size();
    Json::Value json;
    json["last"] = Json::UInt64{m_last};
    json["dropped"] = Json::UInt64{dropped};
    json["runs"] = Json::Value(Json::arrayValue);
    const std::uint64_t skip =
        std::min<std::uint64_t>(after > dropped ? after - dropped : 0, m_records.size());
    const std::uint64_t stop = std::min<std::uint64_t>(m_records.size(), skip + limit);
    for (std::uint64_t i = skip; i < stop; ++i)
        json["runs"].append(toJson(m_records[i]));
    return json;
}

} // namespace orchidlead::standins
