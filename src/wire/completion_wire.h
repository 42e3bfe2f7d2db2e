#pragma once

#include "wire/sse_parser.h"
#include "wire/stage_wire.h"

#include <string>
#include <string_view>

namespace orchidlead::wire {

/// Makes the prompt of an engine stage: the texts of the request's input and of the earlier stages'
/// outputs, one a line.
///
/// The text of a JSON value is the string itself, the string `text` of an object that has one, and
/// the JSON as it stands otherwise.
[[nodiscard]] std::string composePrompt(const send_attempt &attempt);

/// The completion protocol of model engines, whole or as a stream of events. The output handed on
/// is `{"text": "...", "finish_reason": "..."}`.
struct completion_wire
{
    [[nodiscard]] static std::string composeBody(const send_attempt &attempt,
                                                 milliseconds remaining);

    /// Reads either form, as the attempt asked for it.
    class decoder
    {
    public:
        decoder(const send_attempt &attempt, const wire_bounds &bounds);
        [[nodiscard]] result<wire_progress, wire_error> feed(std::string_view bytes);
        [[nodiscard]] result<wire_answer, wire_error> finish();

    private:
        [[nodiscard]] result<void, wire_error> takeEvent(std::string_view data,
                                                         wire_progress &progress);
        [[nodiscard]] result<std::string, wire_error> takeCompletion(const Json::Value &value);

        wire_bounds m_bounds;
        attempt_key m_key;
        bool m_stream;
        sse_parser m_events;
        std::string m_body; ///< of an answer that isn't streamed
        std::string m_text;
        std::string m_finishReason;
        wire_answer m_answer;
        bool m_done = false;
    };
};

static_assert(stage_wire<completion_wire>);

} // namespace orchidlead::wire
