#pragma once

#include "core/node/node.h"
#include "core/node/node_control.h"
#include "wire/log.h"
#include "wire/metrics.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace orchidlead::daemon {

/// What is read from the daemon's parts when the metrics are asked for.
struct metric_sources
{
    const node &requests;
    const node_control &control;
    bool ready = false;
    std::size_t connections = 0;
    wire::control_totals peerCalls{};
    wire::read_counts configurationReads{};
    wire::read_counts vmListReads{};
};

/// Writes what happens to the log and counts it.
class reporter
{
public:
    explicit reporter(wire::log &log)
        : m_log(log)
    { }

    void onDecision(const log_decision &decision);
    void onEnded(const end_request &ended);
    void onConfiguration(const adopt_configuration<published_configuration> &adopted);
    void onRefused(const reject_configuration &refused);
    void onConfigurationReport(const configuration_event_report &report);
    void onMemberChanged(const member_changed &changed);
    void onPaused(const paused &pause);
    void onEvent(wire::log_level level, wire::node_event event, std::string_view detail);

    /// Writes the Prometheus text.
    [[nodiscard]] std::string metricsText(const metric_sources &sources);

private:
    wire::log &m_log;
    wire::metrics m_metrics;
};

} // namespace orchidlead::daemon
