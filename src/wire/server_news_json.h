#pragma once

#include "core/servers/leaving_server_set.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::wire {

/// Writes news as datagrams of at most `maxBytes` each: `{"leaving": ["r-1"], "back": ["r-2"]}`.
[[nodiscard]] std::vector<std::string> writeServerNews(const std::vector<leaving_update> &news,
                                                       std::size_t maxBytes);

/// Reads one datagram; nothing where it is of another form.
[[nodiscard]] std::optional<std::vector<leaving_update>> readServerNews(std::string_view text);

} // namespace orchidlead::wire
