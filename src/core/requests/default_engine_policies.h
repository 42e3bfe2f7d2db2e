#pragma once

#include "core/requests/engine_policies.h"

namespace orchidlead {

/// Policies of the daemon's engine.
struct default_engine_policies
{
    using answers = echoed_key_guard;
    using repeats = at_most_once_guard;
    using router = load_router;
    using limit = aimd_limit;
    using admission = deadline_admission;
    using budget = retry_budget;
    using hedging = slack_hedging;
    using silence = risk_aware_suspicion_timeout;
    template <class Item>
    using queue = fair_queue<Item>;
};

static_assert(engine_policy_set<default_engine_policies>);

} // namespace orchidlead
