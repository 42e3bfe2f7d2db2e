#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::http {

/// One header field, spelled as it was received.
struct field
{
    std::string name;
    std::string value;
};

using field_list = std::vector<field>;

/// Compares without regard to the case of ASCII letters.
[[nodiscard]] bool equalsIgnoringCase(std::string_view a, std::string_view b);

/// Finds the first field of that name, in any case.
[[nodiscard]] std::optional<std::string_view> findField(const field_list &fields,
                                                        std::string_view name);

/// The line and fields that a request begins with.
struct request_head
{
    std::string method;
    std::string target; ///< path and query, as received
    field_list fields;
    bool http10 = false;
    bool keepAlive = true; ///< the client wants to go on using the connection
};

/// The line and fields that an answer begins with.
struct response_head
{
    int status = 0;
    std::string reason;
    field_list fields;
    bool keepAlive = true;
    std::optional<std::size_t> length; ///< of the body, where the head declares it
    bool chunked = false;
};

/// Whether a field concerns one connection only and isn't passed on. Fields that `Connection` names
/// are such, too: see `forwardedFields`.
[[nodiscard]] bool isConnectionField(std::string_view name);

/// Copies the fields that a proxy passes on.
[[nodiscard]] field_list forwardedFields(const field_list &fields);

/// The usual text of a status, such as "Not Found".
[[nodiscard]] std::string_view statusText(int status);

/// Writes a request's head, the empty line included.
[[nodiscard]] std::string formatHead(const request_head &head);
/// Writes an answer's head, the empty line included.
[[nodiscard]] std::string formatHead(const response_head &head);

} // namespace orchidlead::http
