#include "core/once/key_home_definitions.h"

namespace orchidlead {

template class basic_key_home<every_guard>;

} // namespace orchidlead
