#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::http {

/// Header field with its spelling as received.
struct field
{
    std::string name;
    std::string value;
};

using field_list = std::vector<field>;

/// Compares ASCII letters without regard to case.
[[nodiscard]] bool equalsIgnoringCase(std::string_view a, std::string_view b);

/// Returns the value of the first field with this name, ignoring case.
[[nodiscard]] std::optional<std::string_view> findField(const field_list &fields,
                                                        std::string_view name);

/// Request line and header fields.
struct request_head
{
    std::string method;
    std::string target; ///< path and query, as received
    field_list fields;
    bool http10 = false;
    bool keepAlive = true; ///< the client will reuse the connection
};

/// Status line and header fields of an answer.
struct response_head
{
    int status = 0;
    std::string reason;
    field_list fields;
    bool keepAlive = true;
    std::optional<std::size_t> length; ///< of the body, if declared
    bool chunked = false;
};

/// Whether a field is hop-by-hop, so that a proxy doesn't forward it. Fields listed in `Connection`
/// are also hop-by-hop: see `forwardedFields`.
[[nodiscard]] bool isConnectionField(std::string_view name);

/// Returns the fields that a proxy forwards.
[[nodiscard]] field_list forwardedFields(const field_list &fields);

/// Standard reason phrase of a status, such as "Not Found".
[[nodiscard]] std::string_view statusText(int status);

/// Serializes a head, including the empty line at its end.
[[nodiscard]] std::string formatHead(const request_head &head);
[[nodiscard]] std::string formatHead(const response_head &head);

} // namespace orchidlead::http
