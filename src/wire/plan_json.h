#pragma once

#include "core/configuration/pipeline.h"

#include <json/value.h>

namespace orchidlead::wire {

/// Writes a rendered pipeline as the operator API and `orchidctl render` show it.
[[nodiscard]] Json::Value planToJson(const pipeline_plan &plan);

} // namespace orchidlead::wire
