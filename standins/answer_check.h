#pragma once

#include "standins/caller_record.h"

#include <string_view>

namespace orchidlead::standins {

/// An answer of docs/API.md, as far as callers need it.
struct caller_answer
{
    std::string request;
    caller_end end = caller_end::Lost;
    std::string reason;
    std::string detail;
    std::string output; ///< compact JSON; empty where there is none
    std::vector<caller_stage> stages;
};

/// Reads an answer's body; nothing where it isn't one.
[[nodiscard]] std::optional<caller_answer> parseAnswer(std::string_view body);

/// Reads a streamed answer: the tokens put together, and the last event's object.
struct streamed_answer
{
    std::string text;
    std::optional<caller_answer> answer; ///< none: cut off
};
[[nodiscard]] streamed_answer parseStream(std::string_view events);

/// What an answered request must bear.
struct expected_marks
{
    std::string nonce;
    std::string inputDigest; ///< of the whole input, which stages show
    std::vector<std::string> stages;
    std::vector<std::string> models; ///< these show a digest of their prompt instead
};

/// Finds what is wrong with an output.
[[nodiscard]] std::vector<answer_fault> checkOutput(std::string_view output,
                                                    const expected_marks &expected);

} // namespace orchidlead::standins
