#include "core/requests/default_engine_policies.h"
#include "engine_variants.h"
#include "policy_run.h"

namespace orchidlead::bench::model {

namespace {

struct no_hedging_set : default_engine_policies
{
    using hedging = no_hedging;
};

struct quantile_hedging_set : default_engine_policies
{
    using hedging = quantile_hedging;
};

struct fixed_silence_set : default_engine_policies
{
    using silence = fixed_suspicion_timeout;
};

struct no_retries_set : default_engine_policies
{
    using budget = no_retries;
};

template <class Policies>
policy_variant variantOf(const std::string &name)
{
    return {name, [](const scenario &shape, std::uint64_t seed) {
                return policy_run<Policies>(shape, seed).run();
            }};
}

} // namespace

std::vector<policy_variant> retryVariants()
{
    return {variantOf<no_hedging_set>("no hedging"),
            variantOf<quantile_hedging_set>("hedging by quantile alone"),
            variantOf<fixed_silence_set>("fixed silence threshold"),
            variantOf<no_retries_set>("no second tries")};
}

} // namespace orchidlead::bench::model
