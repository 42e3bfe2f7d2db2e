#pragma once

#include "policy_model.h"

#include <functional>
#include <string>
#include <vector>

namespace orchidlead::bench::model {

/// A set of policies by name.
struct policy_variant
{
    std::string name;
    std::function<run_result(const scenario &, std::uint64_t seed)> run;
};

/// Gives the baseline and the daemon's own set, in this order.
[[nodiscard]] std::vector<policy_variant> mainVariants();

/// Gives the daemon's set with one policy at a time replaced, to see what each is worth.
[[nodiscard]] std::vector<policy_variant> loadVariants();
[[nodiscard]] std::vector<policy_variant> retryVariants();

} // namespace orchidlead::bench::model
