#pragma once

#include "gateway/codec.h"
#include "gateway/servers/server_directory.h"
#include "http/outbound_connection.h"

#include <string>

namespace orchidlead::gateway {

/// Returns which call an answer of the server belongs to: that of this attempt if it repeats its
/// id. An answer to an earlier attempt on the same connection is not forwarded, but what it reports
/// about the server is recorded.
template <gateway_codec Codec>
[[nodiscard]] http::answer_owner ownerOf(const std::string &attempt,
                                         const http::response_head &head, server &backend,
                                         server_directory &directory)
{
    const auto metadata = Codec::readAnswer(head);
    if (metadata.attempt.empty())
        return http::answer_owner::Unnamed;
    if (metadata.attempt == attempt)
        return http::answer_owner::ThisCall;
    directory.onLateSignals(backend, metadata.server);
    return http::answer_owner::OtherCall;
}

} // namespace orchidlead::gateway
