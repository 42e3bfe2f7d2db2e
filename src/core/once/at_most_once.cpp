#include "core/once/at_most_once_definitions.h"

namespace orchidlead {

template class basic_at_most_once<every_guard>;

} // namespace orchidlead
