#pragma once

#include "ctl/console.h"

#include <json/value.h>

namespace orchidlead::ctl {

/// Writes a rendered pipeline, given as JSON, for people.
void printPlan(const Json::Value &plan, const console &to);

} // namespace orchidlead::ctl
