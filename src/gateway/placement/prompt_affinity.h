#pragma once

#include "gateway/codec.h"
#include "gateway/servers/server_directory.h"

#include <optional>
#include <vector>

namespace orchidlead::gateway {

/// Returns the data centre whose engines should cache the shared part of a prompt, or nothing if
/// the shared part is too small to matter. All nodes that know the same engines get the same
/// result.
///
/// Without such a preference, each data centre whose clients use a shared part would read it again.
/// Data centres get prompts in proportion to their engines, and an engine that is added or removed
/// moves only its own prompts.
[[nodiscard]] std::optional<data_center_id>
preferredDataCenterOf(const std::vector<prompt_part> &prompt,
                      const std::vector<server_ptr> &engines);

} // namespace orchidlead::gateway
