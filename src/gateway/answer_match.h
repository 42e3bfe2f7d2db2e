#pragma once

#include "gateway/codec.h"
#include "gateway/servers/server_directory.h"

#include <string>

namespace orchidlead::gateway {

/// Whether an answer of the server belongs to this attempt: it repeats its id, or names none. An
/// answer to an earlier attempt on the same connection is not forwarded, but what it reports about
/// the server is recorded.
template <gateway_codec Codec>
[[nodiscard]] bool isAnswerTo(const std::string &attempt, const http::response_head &head,
                              server &backend, server_directory &directory)
{
    const auto metadata = Codec::readAnswer(head);
    if (metadata.attempt.empty() || metadata.attempt == attempt)
        return true;
    directory.onLateSignals(backend, metadata.server);
    return false;
}

} // namespace orchidlead::gateway
