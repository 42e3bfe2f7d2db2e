#pragma once

#include "net/http_server.h"

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// JSON over HTTP as the stand-ins serve it.
namespace orchidlead::standins {

/// Parses one JSON document; nothing where it is malformed or nested deeper than is sensible.
[[nodiscard]] std::optional<Json::Value> parseJson(std::string_view text);

/// Writes a value without white space and with sorted keys, so that equal values give equal text.
[[nodiscard]] std::string toCompactJson(const Json::Value &value);

/// Answers with a JSON body.
void respondJson(net::response_writer &response, int status, const Json::Value &body,
                 net::header_list headers = {});

/// Answers with `{"error": message}`.
void respondError(net::response_writer &response, int status, std::string_view message);

/// Finds a parameter of a query string; values are not unescaped.
[[nodiscard]] std::optional<std::string_view> queryParameter(std::string_view query,
                                                             std::string_view name);

/// Finds a parameter that is a whole number.
[[nodiscard]] std::optional<std::uint64_t> queryNumber(std::string_view query,
                                                       std::string_view name);

/// Parses `127.0.0.1:80`.
[[nodiscard]] std::optional<socket_address> parseAddress(std::string_view text);

/// Writes `127.0.0.1:80`.
[[nodiscard]] std::string toText(const socket_address &address);

} // namespace orchidlead::standins
