#pragma once

#include "gateway/codec.h"
#include "gateway/quarantine/request_digest.h"
#include "gateway/quarantine/server_crash_detector.h"

#include <vector>

namespace orchidlead::gateway {

/// Parts of a prompt that are considered at most. Prompts in use have up to six.
inline constexpr std::size_t MaxPartSubjects = 32;

/// Returns what a server's crash during a request may be attributed to, from narrow to broad: the
/// request itself, and the parts of its prompt from the last but one to the first. The last part
/// belongs to the request alone.
[[nodiscard]] std::vector<crash_subject> subjectsOf(const request_identity &identity,
                                                    const std::vector<prompt_part> &prompt);

} // namespace orchidlead::gateway
