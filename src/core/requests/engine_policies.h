#pragma once

#include "core/once/guards.h"
#include "core/requests/admission.h"
#include "core/requests/hedging.h"

#include <orchidlead/concurrency_limit.h>
#include <orchidlead/failure_detector.h>
#include <orchidlead/fair_queue.h>
#include <orchidlead/retry_budget.h>
#include <orchidlead/router.h>

#include <concepts>

namespace orchidlead {

/// The set of policies of an engine. The daemon's set is in default_engine_policies.h, a separate
/// header, so that benchmarks of other sets need not include it.
template <class Set>
concept engine_policy_set =
    answer_guard<typename Set::answers> && retry_guard<typename Set::repeats> && routing_policy<typename Set::router> && concurrency_limit_policy<
        typename Set::
            limit> && admission_policy<typename Set::
                                           admission> && retry_budget_policy<typename Set::
                                                                                 budget> && hedging_policy<typename Set::
                                                                                                               hedging> && suspicion_timeout_policy<typename Set::
                                                                                                                                                        silence> && std::
        default_initializable<typename Set::template queue<int>>;

/// Baseline of every policy, with the same guards: round robin, no hedges or retries, no admission
/// control, first in first out.
struct baseline_engine_policies
{
    using answers = echoed_key_guard;
    using repeats = at_most_once_guard;
    using router = round_robin_router;
    using limit = fixed_limit<>;
    using admission = admit_all;
    using budget = no_retries;
    using hedging = no_hedging;
    using silence = fixed_suspicion_timeout;
    template <class Item>
    using queue = fifo_queue<Item>;
};

static_assert(engine_policy_set<baseline_engine_policies>);

} // namespace orchidlead
