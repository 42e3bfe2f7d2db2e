#pragma once

#include "core/settings/socket_address_text.h"
#include "gateway/codec.h"
#include "gateway/servers/server_directory.h"
#include "http/head.h"

#include <string_view>

namespace orchidlead::gateway {

/// Returns the head of a request of this node itself, which no other server than `to` may accept.
template <gateway_codec Codec>
[[nodiscard]] http::request_head makeServerHead(std::string_view method, std::string_view target,
                                                const server_record &to)
{
    http::request_head head;
    head.method = method;
    head.target = target;
    head.fields = Codec::stageFields(to.id);
    head.fields.push_back({"Host", toText(to.address)});
    return head;
}

} // namespace orchidlead::gateway
