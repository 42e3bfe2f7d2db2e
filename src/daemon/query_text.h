#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace orchidlead::daemon {

/// Finds a parameter of a URL's query and decodes it; nothing where it is absent or malformed.
[[nodiscard]] std::optional<std::string> queryParameter(std::string_view query,
                                                        std::string_view name);

} // namespace orchidlead::daemon
