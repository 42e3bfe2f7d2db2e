#include "daemon/daemon_options.h"

#include <algorithm>

namespace orchidlead::daemon {

namespace {

// Operators are few and their requests small.
constexpr std::size_t OperatorBodyBytes = 64U << 10U;
constexpr std::size_t OperatorConnections = 64;
// The list must be vouched for well within the time after which the key homes distrust it.
constexpr milliseconds MaxVmListWait{20'000};
constexpr std::size_t PeerEnvelopeBytes = 4U << 20U;
constexpr std::size_t PeerConnections = 2048;

listed_vm selfOf(const process_settings &settings)
{
    listed_vm self;
    self.vm = settings.vm;
    self.dataCenter = settings.dataCenter;
    self.region = settings.region;
    self.peerAddress = settings.listen.peer;
    return self;
}

membership_options memberOptions(const process_settings &settings, incarnation start)
{
    membership_options options;
    options.self = selfOf(settings);
    options.incarnation = start;
    options.seed = start;
    options.probeInterval = settings.membership.probeInterval;
    options.remoteProbeInterval = settings.membership.remoteProbeInterval;
    options.probeTimeout = settings.membership.probeTimeout;
    options.suspicionMin = settings.membership.suspicionMin;
    options.suspicionMax = settings.membership.suspicionMax;
    return options;
}

configuration_manager_options configurationManagerOptions(const process_settings &settings,
                                                          incarnation start)
{
    configuration_manager_options options;
    options.self = selfOf(settings);
    options.seed = start;
    options.readersPerDataCenter = settings.platform.readersPerDataCenter;
    options.longPollWait = settings.platform.readWait;
    options.minReadInterval = settings.platform.minReadInterval;
    options.maxBackoff = settings.platform.maxBackoff;
    return options;
}

node_settings nodeSettings(const process_settings &settings, incarnation start)
{
    node_settings options;
    options.vm = settings.vm;
    options.dataCenter = settings.dataCenter;
    options.region = settings.region;
    options.incarnation = start;
    options.maxHeldBytes = settings.limits.maxInputBytes;
    options.recentRequests = settings.limits.recentRequests;
    options.engine.maxOpenRequests = settings.limits.maxOpenRequests;
    options.engine.maxQueuePerService = settings.limits.maxQueuedPerService;
    options.engine.maxAttemptsPerStage = settings.routing.maxAttemptsPerStage;
    options.engine.hopMargin = settings.routing.hopMargin;
    options.engine.routing.remoteLatency =
        static_cast<double>(settings.routing.remoteLatency.count());
    return options;
}

} // namespace

node_shell_options nodeOptions(const process_settings &settings, incarnation start)
{
    node_shell_options options;
    options.node = nodeSettings(settings, start);
    options.backends.connectTimeout = settings.routing.connectTimeout;
    options.backends.bounds.json.maxBytes = settings.limits.maxAnswerBytes;
    options.loadReports.self = settings.vm;
    return options;
}

control_shell_options controlOptions(const process_settings &settings, incarnation start)
{
    control_shell_options options;
    options.control.members = memberOptions(settings, start);
    options.control.manager = configurationManagerOptions(settings, start);
    options.peerListen = settings.listen.peer;
    options.configurationService = settings.platform.configurationService;
    options.vmList = settings.platform.vmList;
    options.vmListWatch.wait = std::min(settings.platform.readWait, MaxVmListWait);
    options.vmListWatch.minInterval = settings.platform.minReadInterval;
    options.vmListWatch.maxBackoff = settings.platform.maxBackoff;
    options.vmListWatch.seed = start;
    return options;
}

caller_api_options callerOptions(const process_settings &settings)
{
    caller_api_options options;
    options.bounds.maxBodyBytes = settings.limits.maxBodyBytes;
    options.maxStreamQueueBytes = settings.limits.maxStreamBytes;
    options.ticketWindow = at_most_once_settings{}.window;
    return options;
}

planned_stop_options stopOptions(const process_settings &settings)
{
    planned_stop_options options;
    options.notice = settings.stop.notice;
    options.drain = settings.stop.drain;
    return options;
}

net::http_server_options callerServerOptions(const process_settings &settings)
{
    net::http_server_options options;
    options.listen = settings.listen.caller;
    options.maxBodyBytes = settings.limits.maxBodyBytes;
    options.maxBufferedBodyBytes = settings.limits.maxInputBytes;
    options.maxHeaderBytes = settings.limits.maxHeaderBytes;
    options.maxConnections = settings.limits.maxConnections;
    options.requestTimeout = settings.limits.requestTimeout;
    options.idleTimeout = settings.limits.idleTimeout;
    options.tlsCertificateFile = settings.tls.certificateFile;
    options.tlsKeyFile = settings.tls.keyFile;
    options.offerHttp2 = true; // the caller API keeps nothing in header fields that HTTP/2 loses
    return options;
}

net::http_server_options peerServerOptions(const process_settings &settings)
{
    net::http_server_options options;
    options.listen = settings.listen.peer;
    // A forwarded request is a caller's body as it came; contents and handed over keys are smaller.
    options.maxBodyBytes = settings.limits.maxBodyBytes + PeerEnvelopeBytes;
    options.maxBufferedBodyBytes = settings.limits.maxInputBytes + PeerEnvelopeBytes;
    options.maxConnections = PeerConnections;
    options.requestTimeout = settings.limits.requestTimeout;
    options.idleTimeout = settings.limits.idleTimeout;
    return options;
}

net::http_server_options operatorServerOptions(const process_settings &settings)
{
    net::http_server_options options;
    options.listen = settings.listen.operators;
    options.maxBodyBytes = OperatorBodyBytes;
    options.maxHeaderBytes = settings.limits.maxHeaderBytes;
    options.maxConnections = OperatorConnections;
    options.requestTimeout = settings.limits.requestTimeout;
    options.idleTimeout = settings.limits.idleTimeout;
    return options;
}

} // namespace orchidlead::daemon
