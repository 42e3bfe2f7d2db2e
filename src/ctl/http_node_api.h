#pragma once

#include "ctl/node_api.h"

namespace orchidlead::ctl {

/// Makes the call over HTTP, on an event loop of its own. The call is never made twice.
[[nodiscard]] result<api_answer, api_error> callOverHttp(const api_request &request);

} // namespace orchidlead::ctl
