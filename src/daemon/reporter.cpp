#include "daemon/reporter.h"

#include <orchidlead/enum_names.h>

namespace orchidlead::daemon {

using wire::log_level;
using wire::node_event;

namespace {

constexpr std::size_t MaxErrorsLogged = 8;

std::string stampText(const configuration_stamp &stamp)
{
    return "version=" + std::to_string(stamp.version);
}

wire::node_gauges gaugesOf(const metric_sources &sources)
{
    wire::node_gauges gauges;
    gauges.ready = sources.ready;
    gauges.openRequests = sources.requests.openRequests();
    gauges.connections = sources.connections;
    gauges.heldBytes = sources.requests.heldBytes();
    gauges.configurationVersion = sources.control.manager().stamp().version;
    gauges.configurationHeard = gauges.configurationVersion;
    for (const auto &member : sources.requests.members())
        ++gauges.members.at(static_cast<std::size_t>(member.state));
    return gauges;
}

wire::control_totals gossipTotals(const membership_counters &counters)
{
    return {counters.sentDatagrams, counters.receivedDatagrams, counters.sentBytes,
            counters.receivedBytes};
}

} // namespace

void reporter::onDecision(const log_decision &decision)
{
    m_log.write(decision);
    m_metrics.observe(decision);
}

void reporter::onEnded(const end_request &ended)
{
    wire::request_observation seen;
    seen.pipeline = ended.pipeline;
    seen.customer = ended.customer;
    seen.outcome = ended.answer.outcome;
    seen.reason = ended.answer.reason;
    // The engine ends what is late as expired.
    seen.attained = ended.answer.outcome == outcome::Answered;
    seen.elapsed = ended.elapsed;
    seen.stages = ended.answer.stages;
    m_metrics.observe(seen);
}

void reporter::onConfiguration(const adopt_configuration<published_configuration> &adopted)
{
    m_log.write(log_level::Info, node_event::ConfigurationInForce,
                stampText(adopted.stamp) + " source=" + std::string(toName(adopted.source))
                    + " from=" + adopted.from.value);
}

void reporter::onRefused(const reject_configuration &refused)
{
    std::string detail = stampText(refused.stamp);
    for (std::size_t at = 0; at < refused.errors.size() && at < MaxErrorsLogged; ++at)
        detail += "; " + refused.errors[at];
    m_log.write(log_level::Error, node_event::ConfigurationRefused, detail);
}

void reporter::onConfigurationReport(const configuration_event_report &report)
{
    m_log.write(log_level::Info, node_event::ConfigurationReport,
                std::string(toName(report.event)) + " " + stampText(report.stamp));
}

void reporter::onMemberChanged(const member_changed &changed)
{
    m_log.write(log_level::Info, node_event::MemberChanged,
                "vm=" + changed.now.vm.vm.value + " before=" + std::string(toName(changed.before))
                    + " now=" + std::string(toName(changed.now.state)));
}

void reporter::onPaused(const paused &pause)
{
    const auto time = std::chrono::duration_cast<milliseconds>(pause.duration);
    m_log.write(log_level::Warning, node_event::PauseNoticed,
                "paused_ms=" + std::to_string(time.count()));
}

void reporter::onEvent(log_level level, node_event event, std::string_view detail)
{
    m_log.write(level, event, detail);
}

std::string reporter::metricsText(const metric_sources &sources)
{
    m_metrics.update(sources.requests.stats());
    m_metrics.update(gaugesOf(sources));
    m_metrics.update(wire::control_channel::Gossip,
                     gossipTotals(sources.control.members().counters()));
    m_metrics.update(wire::control_channel::PeerRpc, sources.peerCalls);
    m_metrics.update(wire::published_kind::Configuration, sources.configurationReads);
    m_metrics.update(wire::published_kind::VmList, sources.vmListReads);
    m_metrics.updateDroppedLogLines(m_log.dropped());
    return m_metrics.text();
}

} // namespace orchidlead::daemon
