#include "policy_run.h"
#include "engine_variants.h"

namespace orchidlead::bench {

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

} // namespace orchidlead::bench
