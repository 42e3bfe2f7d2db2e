#pragma once

#include "core/requests/engine_types.h"

#include <orchidlead/clock.h>
#include <orchidlead/fair_queue.h>

#include <chrono>
#include <cstdint>
#include <vector>

/// State of one open request.
namespace orchidlead {

enum class stage_status {
    Waiting, ///< for its inputs
    Queued,
    Running, ///< at least one attempt is live
    BackingOff, ///< before another attempt
    Done,
};

struct attempt_state
{
    std::uint32_t number = 0;
    std::uint32_t slot = 0; ///< in the service's pool
    backend_server_id server;
    steady_time started;
    std::chrono::microseconds medianTime{0}; ///< of similar attempts, when this one started
    bool hedge = false;
    bool sent = false; ///< a byte may have been sent
    bool live = true;
};

struct stage_state
{
    stage_status status = stage_status::Waiting;
    std::vector<attempt_state> attempts; ///< bounded by `engine_settings::maxAttemptsPerStage`
    queue_position position; ///< while queued
    steady_time readySince; ///< when all inputs were available
    payload output;
    /// Whether the service's pool counts the stage among the work expected later
    /// (`service_pool::addExpected`); until the stage is queued for the first time.
    bool countedAsExpected = true;
    bool attemptMayHaveRun = false; ///< whether an ended attempt may have run
    /// Number of the attempt whose chunks are delivered; 0: none.
    std::uint32_t streamingAttempt = 0;
    stage_report report;
};

struct request_state
{
    pipeline_request request;
    std::uint64_t serial = 0;
    std::uint32_t sizeClass = 0;
    std::uint64_t prefixHash = 0;
    steady_time submitted;
    bool exploring = false; ///< admitted despite the estimates, to update them
    bool probing = false; ///< admitted to probe a pool whose circuit breaker is open
    std::vector<stage_state> stages;

    [[nodiscard]] const pipeline_plan &plan() const { return *request.plan; }
};

/// Returns the outcome of a request that ends without an answer, from what its attempts prove.
[[nodiscard]] outcome outcomeWithoutAnswer(const request_state &state, bool deadlinePassed);

/// Returns the live attempt with this number, or null if there is none.
[[nodiscard]] attempt_state *liveAttempt(stage_state &stage, std::uint32_t number);
[[nodiscard]] std::uint32_t liveAttempts(const stage_state &stage);

/// Whether any attempt was made or any stage finished.
[[nodiscard]] bool hasStarted(const request_state &state);
[[nodiscard]] bool isFinished(const request_state &state);

} // namespace orchidlead
