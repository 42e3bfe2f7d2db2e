#include "standins/caller_record.h"

#include "standins/run_history.h"

namespace orchidlead::standins {

namespace {

Json::Value toJson(const caller_send &send)
{
    Json::Value json;
    json["entry"] = send.entry;
    json["sent_us"] = Json::Int64{toMicros(send.sent)};
    json["ended_us"] = Json::Int64{toMicros(send.ended)};
    json["end"] = std::string(toName(send.end));
    json["status"] = send.status;
    json["hurried"] = send.hurried;
    json["request"] = send.request;
    json["outcome"] = send.outcome;
    return json;
}

Json::Value toJson(const caller_stage &stage)
{
    Json::Value json;
    json["stage"] = stage.stage;
    json["server"] = stage.server;
    json["attempts"] = stage.attempts;
    json["hedges"] = stage.hedges;
    json["queued_ms"] = Json::Int64{stage.queuedMs};
    json["elapsed_ms"] = Json::Int64{stage.elapsedMs};
    json["busy_ms"] = Json::Int64{stage.busyMs};
    json["tokens"] = Json::UInt64{stage.tokens};
    return json;
}

} // namespace

Json::Value toJson(const caller_record &record)
{
    Json::Value json;
    json["nonce"] = record.nonce;
    json["class"] = record.workClass;
    json["customer"] = record.customer;
    json["pipeline"] = record.pipeline;
    json["repeatable"] = record.repeatable;
    json["identity"] = std::string(toName(record.identity));
    json["identity_text"] = record.identityText;
    json["deadline_ms"] = Json::Int64{record.deadline.count()};
    json["begun_us"] = Json::Int64{toMicros(record.begun)};
    json["ended_us"] = Json::Int64{toMicros(record.ended)};
    json["end"] = std::string(toName(record.end));
    json["reason"] = record.reason;
    json["detail"] = record.detail;
    json["request"] = record.request;
    json["sends"] = Json::Value(Json::arrayValue);
    for (const caller_send &send : record.sends)
        json["sends"].append(toJson(send));
    json["stages"] = Json::Value(Json::arrayValue);
    for (const caller_stage &stage : record.stages)
        json["stages"].append(toJson(stage));
    json["faults"] = Json::Value(Json::arrayValue);
    for (const answer_fault fault : record.faults)
        json["faults"].append(std::string(toName(fault)));
    return json;
}

} // namespace orchidlead::standins
