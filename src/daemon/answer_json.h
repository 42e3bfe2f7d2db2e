#pragma once

#include "core/requests/engine_types.h"
#include "net/http_server.h"

#include <orchidlead/outcome.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::daemon {

/// Gives the HTTP status of a request's end; docs/API.md has the table.
[[nodiscard]] int httpStatus(outcome end, refusal_reason reason);

/// Writes a request's end as the caller API's object.
[[nodiscard]] std::string writeAnswer(const final_answer &answer);

/// Reads what `writeAnswer` wrote on another node; nothing where it isn't of that form.
[[nodiscard]] std::optional<final_answer> readAnswer(std::string_view text);

/// Writes the stages of an answer as a JSON array.
[[nodiscard]] std::string writeStages(const std::vector<stage_report> &stages);

/// Gives the headers of a plain answer: the content type, and when to come back.
[[nodiscard]] net::header_list answerHeaders(const final_answer &answer);

/// Gives the answer to a request that was refused before anything was done for it.
[[nodiscard]] final_answer refusal(refusal_reason reason, std::string detail,
                                   std::optional<milliseconds> retryAfter = {});

/// Writes one server-sent event.
[[nodiscard]] std::string writeEvent(std::string_view type, std::string_view data);

/// Writes the data of a `token` event.
[[nodiscard]] std::string writeToken(std::string_view text);

} // namespace orchidlead::daemon
