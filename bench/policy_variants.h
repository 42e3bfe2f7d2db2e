#pragma once

#include "core/requests/engine_policies.h"

namespace orchidlead::bench {

/// What the daemon runs; each variant below has one policy of it replaced by the plain one.
struct product
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

/// Every policy is the plain one.
struct baseline : baseline_engine_policies
{ };

struct round_robin : product
{
    using router = round_robin_router;
};

struct no_hedge : product
{
    using hedging = no_hedging;
};

struct admit_everything : product
{
    using admission = admit_all;
};

struct fixed_concurrency : product
{
    using limit = fixed_limit<>;
};

struct fixed_detector : product
{
    using silence = fixed_suspicion_timeout;
};

/// Round robin without hedges, all else as the daemon has it.
struct round_robin_no_hedge : product
{
    using router = round_robin_router;
    using hedging = no_hedging;
};

} // namespace orchidlead::bench
