#pragma once

#include "gateway/servers/server_directory.h"

#include <string>
#include <vector>

namespace orchidlead::gateway {

/// Orders engines by their rendezvous weight for a shared part of prompts, highest first. The order
/// is the same at all nodes that know the same engines, and an engine that is added or removed
/// changes only its own place.
[[nodiscard]] std::vector<server_ptr> homeOrder(const std::string &part,
                                                std::vector<server_ptr> engines);

} // namespace orchidlead::gateway
