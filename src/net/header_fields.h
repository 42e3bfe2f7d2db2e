#pragma once

#include "net/http_server.h"

#include <libwebsockets.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace orchidlead::net {

/// Copies the fields that libwebsockets knows, and of the others those named in `custom`.
[[nodiscard]] header_list copyHeaders(lws *wsi, std::span<const std::string> custom);

/// Copies the part of the path behind the question mark.
[[nodiscard]] std::string copyQuery(lws *wsi);

/// Takes digits only: no sign, no space, no list.
[[nodiscard]] std::optional<std::uint64_t> parseLength(std::string_view text);

/// Bytes of names and values.
[[nodiscard]] std::size_t headerBytes(const header_list &headers);

/// Copies one field that libwebsockets knows; empty when it isn't there.
[[nodiscard]] std::string copyHeader(lws *wsi, lws_token_indexes token);

/// Whether the field can be sent without breaking the lines of the head.
[[nodiscard]] bool isValidField(const http_header &header);

/// Compares without regard to the case of ASCII letters.
[[nodiscard]] bool equalsIgnoringCase(std::string_view a, std::string_view b);

/// The text of a status, such as "Not Found".
[[nodiscard]] std::string_view statusText(int status);

} // namespace orchidlead::net
