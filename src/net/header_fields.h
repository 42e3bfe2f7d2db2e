#pragma once

#include "net/http_server.h"

#include <libwebsockets.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace orchidlead::net {

/// Copies the header fields that libwebsockets recognises, and those named in `custom`.
[[nodiscard]] header_list copyHeaders(lws *wsi, std::span<const std::string> custom);

/// Copies the query string, without the question mark.
[[nodiscard]] std::string copyQuery(lws *wsi);

/// Parses a content length: digits only, without sign, white space or list.
[[nodiscard]] std::optional<std::uint64_t> parseLength(std::string_view text);

/// Total size of all names and values.
[[nodiscard]] std::size_t headerBytes(const header_list &headers);

/// Copies one header field that libwebsockets recognises; empty if it is absent.
[[nodiscard]] std::string copyHeader(lws *wsi, lws_token_indexes token);

/// Whether the field is safe to send: its name is valid and its value has no line break.
[[nodiscard]] bool isValidField(const http_header &header);

/// Compares case-insensitively (ASCII).
[[nodiscard]] bool equalsIgnoringCase(std::string_view a, std::string_view b);

/// The reason phrase of a status code, such as "Not Found".
[[nodiscard]] std::string_view statusText(int status);

} // namespace orchidlead::net
