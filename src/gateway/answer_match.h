#pragma once

#include "gateway/codec.h"
#include "gateway/servers/server_directory.h"
#include "http/message_reader.h"

#include <string>
#include <string_view>
#include <tuple>

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

/// Whether the body of an answer that ends with its connection contains the head of an answer that
/// names its attempt: the server sent a second answer behind the first, and nothing separates them.
template <gateway_codec Codec>
[[nodiscard]] bool isFollowedByAnswer(std::string_view body)
{
    struct head_sink final : http::response_sink
    {
        void onHead(http::response_head head) override
        {
            namesAttempt = !Codec::readAnswer(head).attempt.empty();
        }
        void onBody(std::string_view /*bytes*/) override { }
        void onComplete() override { }
        bool namesAttempt = false;
    };
    constexpr std::string_view Protocol = "HTTP/1.";
    for (auto at = body.find(Protocol); at != std::string_view::npos;
         at = body.find(Protocol, at + 1)) {
        head_sink sink;
        http::response_reader reader(sink, false);
        std::ignore = reader.read(body.substr(at));
        if (sink.namesAttempt)
            return true;
    }
    return false;
}

} // namespace orchidlead::gateway
