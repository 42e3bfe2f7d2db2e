#pragma once

#include "gateway/codec.h"
#include "gateway/servers/server_directory.h"

#include <optional>
#include <vector>

namespace orchidlead::gateway {

/// Gives the data centre whose engines are to keep what a prompt shares with others, the same on
/// all nodes that know the same engines; nothing where the prompt shares too little to matter.
///
/// Without one, each data centre whose clients use a shared part reads it again. Data centres get
/// prompts by their number of engines, and an engine that comes or goes moves only its own.
[[nodiscard]] std::optional<data_center_id> homeOf(const std::vector<prompt_part> &prompt,
                                                   const std::vector<server_ptr> &engines);

} // namespace orchidlead::gateway
