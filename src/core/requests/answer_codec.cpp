#include "core/requests/answer_codec.h"

#include <msgpack.hpp>

#include <exception>
#include <tuple>

namespace orchidlead {

namespace {

using answer_wire = std::tuple<std::string, std::string, std::string, std::string, bool,
                               std::string>; // request, outcome, reason, detail, output

std::optional<final_answer> fromWire(const answer_wire &wire)
{
    const auto &[request, outcomeName, reasonName, detail, hasOutput, output] = wire;
    const auto parsedOutcome = fromName<outcome>(outcomeName);
    const auto reason = fromName<refusal_reason>(reasonName);
    if (!parsedOutcome || !reason)
        return std::nullopt;
    final_answer answer;
    answer.request = request_id{request};
    answer.outcome = *parsedOutcome;
    answer.reason = *reason;
    answer.detail = detail;
    if (hasOutput)
        answer.output = std::make_shared<const std::string>(output);
    return answer;
}

} // namespace

std::string encodeAnswer(const final_answer &answer, std::size_t maxOutput)
{
    const bool hasOutput = answer.output && answer.output->size() <= maxOutput;
    const answer_wire wire{answer.request.value,
                           std::string{toName(answer.outcome)},
                           std::string{toName(answer.reason)},
                           answer.detail,
                           hasOutput,
                           hasOutput ? *answer.output : std::string{}};
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, wire);
    return {buffer.data(), buffer.size()};
}

std::optional<final_answer> decodeAnswer(std::string_view bytes)
{
    constexpr std::size_t MaxFields = 8;
    constexpr std::size_t MaxDepth = 2;
    const msgpack::unpack_limit limit{MaxFields, 0, bytes.size(), 0, 0, MaxDepth};
    // The library reports malformed bytes only by exceptions.
    try {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
        return fromWire(handle.get().as<answer_wire>());
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace orchidlead
