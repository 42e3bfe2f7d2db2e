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

/// Bounds and tunables of the request engine.
struct engine_settings
{
    data_center_id dataCenter; ///< own; its backend servers are preferred
    std::uint32_t maxOpenRequests = 20'000;
    std::uint32_t maxQueuePerService = 2'000;
    std::uint32_t maxAttemptsPerStage = 8; ///< refused ones included
    milliseconds retryPause{10}; ///< before the second attempt; doubles with each further one
    milliseconds hopMargin{10}; ///< taken off the deadline at each send, for the way back
    std::uint32_t maxCustomersCounted = 256;
    routing_settings routing;
    failure_detector_settings detection;
};

struct default_engine_policies;

template <class Policies>
class engine_state;

/// Takes requests through their stages: admission, queueing, routing, retries, hedges and the one
/// final answer. Deterministic: events and the time go in, actions come out.
///
/// Every event function appends to `out`; the shell carries the actions out in order.
template <class Policies>
class basic_request_engine
{
public:
    basic_request_engine(const engine_settings &settings, const clock_source &clock,
                         std::uint64_t seed);
    ~basic_request_engine();
    basic_request_engine(const basic_request_engine &) = delete;
    basic_request_engine &operator=(const basic_request_engine &) = delete;

    /// Replaces the pools. Servers that vanished get no new work; requests keep their plan.
    void setServices(std::uint64_t version, const std::vector<service> &services,
                     engine_actions &out);

    /// Names all backend servers that the platform lists as leaving; they get no new work.
    void setListedLeaving(const std::vector<backend_server_id> &servers, engine_actions &out);

    void onLoadReport(const load_report &report, engine_actions &out);

    /// Starts a request or refuses it at once. The id must be new.
    void submit(pipeline_request request, engine_actions &out);

    /// Tells that the first byte of an attempt may have left this process.
    void onSent(const attempt_key &key);

    /// Takes one streamed part of an attempt's answer.
    void onChunk(const attempt_key &key, std::string text, engine_actions &out);

    /// Takes the whole answer of an attempt.
    void onAnswer(const attempt_answer &answer, engine_actions &out);

    /// Takes the end of an attempt without a usable answer.
    void onFailure(const attempt_key &key, attempt_failure failure,
                   std::optional<milliseconds> retryAfter, engine_actions &out);

    /// Ends a request whose caller went away. Its final answer still comes out.
    void cancel(const request_id &request, engine_actions &out);

    /// Does what is due; call it at `nextWake` or later, earlier does no harm.
    void tick(engine_actions &out);
    [[nodiscard]] std::optional<steady_time> nextWake() const;

    /// Refuses new requests from now on; those in flight are finished.
    void drain();
    [[nodiscard]] bool idle() const; ///< no request is open

    [[nodiscard]] engine_stats stats() const;

private:
    std::unique_ptr<engine_state<Policies>> m_state;
};

/// The engine that the daemon runs; instantiated in request_engine.cpp. Engines with other policies
/// need core/request_engine_impl.h.
extern template class basic_request_engine<default_engine_policies>;
using request_engine = basic_request_engine<default_engine_policies>;

} // namespace orchidlead
