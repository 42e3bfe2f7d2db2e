#pragma once

#include <orchidlead/ids.h>

#include <compare>

namespace orchidlead::gateway {

/// One start of a node. Distinguishes the processes that run one after another on a VM.
struct peer_process
{
    vm_id vm; ///< empty: not stated by an older version
    incarnation start = 0; ///< higher for later starts; 0: not stated by an older version
    // NOLINTNEXTLINE(modernize-use-nullptr): taken for a comparison with a null pointer
    friend auto operator<=>(const peer_process &, const peer_process &) = default;
};

} // namespace orchidlead::gateway
