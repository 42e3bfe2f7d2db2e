#include "core/requests/default_engine_policies.h"
#include "engine_variants.h"
#include "policy_run.h"

namespace orchidlead::bench::model {

namespace {

struct round_robin_set : default_engine_policies
{
    using router = round_robin_router;
};

struct fixed_limit_set : default_engine_policies
{
    using limit = fixed_limit<>;
};

struct gradient_limit_set : default_engine_policies
{
    using limit = gradient_limit;
};

struct admit_all_set : default_engine_policies
{
    using admission = admit_all;
};

struct fifo_set : default_engine_policies
{
    template <class Item>
    using queue = fifo_queue<Item>;
};

template <class Policies>
policy_variant variantOf(const std::string &name)
{
    return {name, [](const scenario &shape, std::uint64_t seed) {
                return policy_run<Policies>(shape, seed).run();
            }};
}

} // namespace

std::vector<policy_variant> loadVariants()
{
    return {variantOf<round_robin_set>("round robin"), variantOf<fixed_limit_set>("fixed limit"),
            variantOf<gradient_limit_set>("gradient limit"), variantOf<admit_all_set>("admit all"),
            variantOf<fifo_set>("first come first served")};
}

} // namespace orchidlead::bench::model
