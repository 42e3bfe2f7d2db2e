#pragma once

#include "wire/stage_wire.h"

#include <string>
#include <string_view>

namespace orchidlead::wire {

/// The JSON call of encoders, retrievers, rerankers and plain services.
struct json_stage_wire
{
    /// Writes the envelope around the payloads, which are taken over as they are.
    [[nodiscard]] static std::string composeBody(const send_attempt &attempt,
                                                 milliseconds remaining);

    /// Collects the answer and reads it when it is whole.
    class decoder
    {
    public:
        decoder(const send_attempt &attempt, const wire_bounds &bounds);
        [[nodiscard]] result<wire_progress, wire_error> feed(std::string_view bytes);
        [[nodiscard]] result<wire_answer, wire_error> finish();

    private:
        wire_bounds m_bounds;
        std::string m_body;
    };
};

static_assert(stage_wire<json_stage_wire>);

} // namespace orchidlead::wire
