#include "core/requests/default_engine_policies.h"
#include "core/requests/request_engine_impl.h"

namespace orchidlead {

template class basic_request_engine<default_engine_policies>;

} // namespace orchidlead
