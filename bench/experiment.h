#pragma once

#include "bench/scenario.h"
#include "bench/user_fleet.h"
#include "net/event_loop.h"
#include "standins/caller_record.h"
#include "standins/run_history.h"

#include <orchidlead/clock.h>
#include <orchidlead/result.h>

#include <cstdint>
#include <string>
#include <vector>

namespace orchidlead::bench {

/// One run: whose fleet, under which policies, with what going wrong.
struct experiment
{
    std::string user;
    std::string policy; ///< "product", or a variant of bench/policy_variants.h
    scenario what;
    std::uint64_t seed = 1;
};

/// Everything that was seen of one run.
struct experiment_record
{
    experiment setup;
    steady_time startedAt; ///< the time from which arrivals are planned
    std::vector<standins::caller_record> requests;
    std::vector<standins::run_record> runs;
};

/// Where programs and files are.
struct experiment_places
{
    std::string build; ///< build directory
    std::string workloads; ///< directory of the users' files
};

/// Says why a run gave nothing.
struct experiment_error
{
    std::string what;
};

/// Starts a fleet, sends the requests, disturbs it, and stops it.
[[nodiscard]] result<experiment_record, experiment_error>
runExperiment(net::event_loop &loop, const experiment &setup, const experiment_places &places);

} // namespace orchidlead::bench
