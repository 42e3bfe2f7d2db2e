#include "standins/answer_check.h"

#include "standins/json_http.h"
#include "standins/proof_marker.h"

#include <algorithm>

namespace orchidlead::standins {

namespace {

caller_stage readStage(const Json::Value &json)
{
    caller_stage stage;
    stage.stage = json["stage"].asString();
    stage.server = json["server"].asString();
    stage.attempts = json["attempts"].asUInt();
    stage.hedges = json["hedges"].asUInt();
    stage.queuedMs = json["queued_ms"].asInt64();
    stage.elapsedMs = json["elapsed_ms"].asInt64();
    stage.busyMs = json["busy_ms"].asInt64();
    stage.tokens = json["tokens"].asUInt64();
    return stage;
}

std::optional<caller_answer> readAnswer(const Json::Value &json)
{
    const auto end = fromName<caller_end>(json["outcome"].asString());
    if (!end || *end == caller_end::Lost)
        return std::nullopt;
    caller_answer answer;
    answer.end = *end;
    answer.request = json["request"].asString();
    answer.reason = json["reason"].asString();
    answer.detail = json["detail"].asString();
    if (!json["output"].isNull())
        answer.output = toCompactJson(json["output"]);
    for (const Json::Value &stage : json["stages"])
        answer.stages.push_back(readStage(stage));
    return answer;
}

/// One server-sent event.
struct stream_event
{
    std::string_view name;
    std::string_view data;
};

std::string_view fieldOf(std::string_view block, std::string_view field)
{
    const std::size_t at = block.find(field);
    if (at == std::string_view::npos)
        return {};
    block.remove_prefix(at + field.size());
    return block.substr(0, block.find('\n'));
}

std::optional<stream_event> takeEvent(std::string_view &events)
{
    const std::size_t end = events.find("\n\n");
    if (end == std::string_view::npos)
        return std::nullopt;
    const std::string_view block = events.substr(0, end);
    events.remove_prefix(end + 2);
    return stream_event{fieldOf(block, "event: "), fieldOf(block, "data: ")};
}

bool isListed(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool bears(const std::vector<proof_marker> &markers, const std::string &stage)
{
    return std::any_of(markers.begin(), markers.end(),
                       [&stage](const proof_marker &one) { return one.stage == stage; });
}

bool isForeign(const proof_marker &marker, const expected_marks &expected)
{
    const bool otherInput =
        isListed(expected.stages, marker.stage) && marker.digest != expected.inputDigest;
    return marker.nonce != expected.nonce || otherInput;
}

} // namespace

std::optional<caller_answer> parseAnswer(std::string_view body)
{
    const auto json = parseJson(body);
    if (!json || !json->isObject())
        return std::nullopt;
    try {
        return readAnswer(*json);
    } catch (const Json::Exception &) { // a member of another type
        return std::nullopt;
    }
}

streamed_answer parseStream(std::string_view events)
{
    streamed_answer streamed;
    while (const auto event = takeEvent(events)) {
        const auto json = parseJson(event->data);
        if (event->name == "outcome")
            streamed.answer = parseAnswer(event->data);
        else if (json && json->isObject() && (*json)["text"].isString())
            streamed.text += (*json)["text"].asString();
    }
    return streamed;
}

std::vector<answer_fault> checkOutput(std::string_view output, const expected_marks &expected)
{
    std::vector<answer_fault> faults;
    const std::vector<proof_marker> markers = findMarkers(output);
    const bool foreign =
        std::any_of(markers.begin(), markers.end(), [&expected](const proof_marker &marker) {
            return isForeign(marker, expected);
        });
    if (foreign)
        faults.push_back(answer_fault::Foreign);
    const auto bearsAll = [&markers](const std::vector<std::string> &names) {
        return std::all_of(names.begin(), names.end(),
                           [&markers](const std::string &name) { return bears(markers, name); });
    };
    if (!bearsAll(expected.stages) || !bearsAll(expected.models))
        faults.push_back(answer_fault::Incomplete);
    return faults;
}

} // namespace orchidlead::standins
