#include "bench/policy_variants.h"
#include "core/requests/request_engine_impl.h"

// Takes the place of src/core/requests/request_engine.cpp in the programs orchidleadd-<variant>:
// the linker finds the engine here and leaves the library's out.

namespace orchidlead {

struct default_engine_policies : bench::ORCHIDLEAD_POLICY_VARIANT
{ };

static_assert(engine_policy_set<default_engine_policies>);

template class basic_request_engine<default_engine_policies>;

} // namespace orchidlead
