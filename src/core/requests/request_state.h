#pragma once

#include "core/requests/engine_types.h"

#include <orchidlead/clock.h>
#include <orchidlead/fair_queue.h>

#include <chrono>
#include <cstdint>
#include <vector>

/// The engine's memory of one open request.
namespace orchidlead {

enum class stage_status {
    Waiting, ///< for its inputs
    Queued,
    Running, ///< at least one attempt is out
    Pausing, ///< before another attempt
    Done,
};

struct attempt_state
{
    std::uint32_t number = 0;
    std::uint32_t slot = 0; ///< in the service's pool
    backend_server_id server;
    steady_time started;
    std::chrono::microseconds typical{0}; ///< median time expected when it started
    bool hedge = false;
    bool sent = false; ///< a byte may have left
    bool live = true;
};

struct stage_state
{
    stage_status status = stage_status::Waiting;
    std::vector<attempt_state> attempts; ///< bounded by the settings
    queue_place place; ///< while queued
    steady_time ready; ///< when it was queued first
    payload output;
    bool expected = true; ///< by its pool, until it is queued first
    bool unproven = false; ///< an ended attempt may have run
    std::uint32_t streamOwner = 0; ///< the attempt whose parts the caller gets; 0: none yet
    stage_report report;
};

struct request_state
{
    pipeline_request request;
    std::uint64_t serial = 0;
    std::uint32_t sizeClass = 0;
    std::uint64_t prefixHash = 0;
    steady_time submitted;
    bool exploring = false; ///< let in although it is likely late, to learn stage times again
    bool probing = false; ///< let in to see how a broken pool is
    std::vector<stage_state> stages;

    [[nodiscard]] const pipeline_plan &plan() const { return *request.plan; }
};

/// How a request that has no answer ends, by what its history proves.
[[nodiscard]] outcome provenOutcome(const request_state &state, bool deadlinePassed);

/// Finds a live attempt of a stage; null where there is none of that number.
[[nodiscard]] attempt_state *liveAttempt(stage_state &stage, std::uint32_t number);
[[nodiscard]] std::uint32_t liveAttempts(const stage_state &stage);

/// Tells whether any attempt was made or any stage finished.
[[nodiscard]] bool hasStarted(const request_state &state);
[[nodiscard]] bool isFinished(const request_state &state);

} // namespace orchidlead
