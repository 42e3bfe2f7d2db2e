#include "core/requests/default_engine_policies.h"
#include "engine_variants.h"
#include "policy_run.h"

namespace orchidlead::bench::model {

std::vector<policy_variant> mainVariants()
{
    return {
        {"baseline",
         [](const scenario &shape, std::uint64_t seed) {
             return policy_run<baseline_engine_policies>(shape, seed).run();
         }},
        {"default",
         [](const scenario &shape, std::uint64_t seed) {
             return policy_run<default_engine_policies>(shape, seed).run();
         }},
    };
}

} // namespace orchidlead::bench::model
