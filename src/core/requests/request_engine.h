#pragma once

#include "core/configuration/published_configuration.h"
#include "core/requests/engine_stats.h"
#include "core/requests/engine_types.h"

#include <orchidlead/clock.h>
#include <orchidlead/failure_detector.h>
#include <orchidlead/router.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace orchidlead {

/// Limits and tunables of the request engine.
struct engine_settings
{
    data_center_id dataCenter; ///< of this node; its backend servers are preferred
    std::uint32_t maxOpenRequests = 20'000;
    std::uint32_t maxQueuePerService = 2'000;
    std::uint32_t maxAttemptsPerStage = 8; ///< including refused attempts
    milliseconds retryBackoff{10}; ///< before the second attempt; doubles with each further one
    milliseconds hopMargin{10}; ///< subtracted from the deadline, for the return of the answer
    std::uint32_t maxCustomerStats = 256;
    routing_settings routing;
    failure_detector_settings detection;
};

struct default_engine_policies;

template <class Policies>
class engine_state;

/// Runs requests through their stages: admission, queueing, routing, retries, hedges and the final
/// answer. A deterministic state machine: its inputs are events and the time, its outputs are
/// actions.
///
/// Event functions append actions to `out`. The I/O layer executes them in order.
template <class Policies>
class basic_request_engine
{
public:
    basic_request_engine(const engine_settings &settings, const clock_source &clock,
                         std::uint64_t seed);
    ~basic_request_engine();
    basic_request_engine(const basic_request_engine &) = delete;
    basic_request_engine &operator=(const basic_request_engine &) = delete;

    /// Replaces the pools. Removed servers get no new work. Open requests keep their plan.
    void setServices(std::uint64_t version, const std::vector<service> &services,
                     engine_actions &out);

    /// Sets all backend servers that the platform lists as leaving. They get no new work.
    void setListedLeaving(const std::vector<backend_server_id> &servers, engine_actions &out);

    void onLoadReport(const load_report &report, engine_actions &out);

    /// Admits or refuses a request. The id must be unique.
    void submit(pipeline_request request, engine_actions &out);

    /// Records that the first byte of an attempt may have been sent.
    void onSent(const attempt_key &key);

    /// Handles one chunk of an attempt's streamed answer.
    void onChunk(const attempt_key &key, std::string text, engine_actions &out);

    /// Handles the complete answer to an attempt.
    void onAnswer(const attempt_answer &answer, engine_actions &out);

    /// Handles the end of an attempt without a usable answer.
    void onFailure(const attempt_key &key, attempt_failure failure,
                   std::optional<milliseconds> retryAfter, engine_actions &out);

    /// Ends a request whose caller has disconnected. The final answer is still delivered.
    void cancel(const request_id &request, engine_actions &out);

    /// Handles due timers. To be called at `nextWake`; earlier calls have no effect.
    void tick(engine_actions &out);
    [[nodiscard]] std::optional<steady_time> nextWake() const;

    /// Refuses new requests from now on. Open requests are finished.
    void drain();
    [[nodiscard]] bool idle() const; ///< whether no request is open

    [[nodiscard]] engine_stats stats() const;

private:
    std::unique_ptr<engine_state<Policies>> m_state;
};

/// The daemon's engine, instantiated in request_engine.cpp. Engines with other policies need
/// core/requests/request_engine_impl.h.
extern template class basic_request_engine<default_engine_policies>;
using request_engine = basic_request_engine<default_engine_policies>;

} // namespace orchidlead
