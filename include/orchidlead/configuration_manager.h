#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>
#include <orchidlead/membership.h>
#include <orchidlead/result.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/// Keeps the same published configuration in force on all nodes, without a data store.
///
/// Versions only increase. A few nodes in each data centre, the configuration readers, watch the
/// platform's configuration service, which this header also calls "the service". The other nodes
/// receive the stamp of a version by gossip and fetch the content from a peer.
namespace orchidlead {

/// Returns the content hash of a stamp; the same in every process and build.
[[nodiscard]] std::uint64_t configurationHash(std::string_view content);

/// Returns whether `self` is a configuration reader of its data centre, that is, whether it watches
/// the configuration service for the other nodes there. The readers are the `count` nodes that
/// rendezvous hashing picks from the alive members there. `self` counts as alive.
[[nodiscard]] bool isConfigurationReader(const listed_vm &self, std::span<const member> members,
                                         std::size_t count);

/// Position of a node in the tree that distributes a configuration within its data centre.
struct fetch_position
{
    vm_id parent; ///< empty for a configuration reader, which is a root of the tree
    std::uint32_t depth = 0; ///< of the parent; 0 for configuration readers
};

/// Returns the position of `self`. The configuration readers are the roots of the tree, and each
/// node serves at most `fanout` others. The positions change with the version, which distributes
/// the load over the nodes.
[[nodiscard]] fetch_position fetchPosition(const listed_vm &self, std::span<const member> members,
                                           std::size_t readers, std::size_t fanout,
                                           std::uint64_t version);

/// Settings of a configuration manager.
struct configuration_manager_options
{
    listed_vm self;
    std::uint64_t seed = 0;
    std::size_t readersPerDataCenter = 3;
    /// Number of peers that are probed at once, and maximum of answers required before serving.
    std::size_t confirmPeers = 3;
    /// Time after which an unconfirmed node may serve without enough answers.
    milliseconds confirmTimeout{2000};
    milliseconds probeInterval{250}; ///< between probes while unconfirmed
    milliseconds longPollWait{30000}; ///< of one long poll
    milliseconds answerTimeout{5000}; ///< of a service call, beyond its wait time
    milliseconds minReadInterval{500}; ///< between the starts of two service calls
    milliseconds maxBackoff{2000}; ///< after failed service calls
    milliseconds peerFetchTimeout{1000};
    std::size_t fetchFanout = 2; ///< children of a node in the tree
    /// Delay of a fetch for each level of the tree above the parent.
    milliseconds fetchDelayPerLevel{250};
    std::size_t maxContentBytes = 1U << 20U;
    std::size_t maxRejected = 16; ///< rejected stamps that are kept
    std::size_t maxHolders = 8; ///< peers kept as sources of an announced version
};

/// Source of a configuration.
enum class configuration_source { Service, Peer };

template <>
inline constexpr std::array enumNames<configuration_source>{
    enum_name<configuration_source>{configuration_source::Service, "service"},
    enum_name<configuration_source>{configuration_source::Peer, "peer"},
};

/// Events that a configuration manager reports to operators.
enum class configuration_event {
    StaleService, ///< the service offered a lower version; ignored
    VersionConflict, ///< one version with two contents; the greater hash wins
    ContentMismatch, ///< a peer sent a lower stamp than announced
    ServiceFailed, ///< first failed call after a successful one
    ServiceRecovered,
    Confirmed, ///< peers or the service answered: the node may route
    ConfirmTimedOut, ///< no answer in time: the node may route nevertheless
};

template <>
inline constexpr std::array enumNames<configuration_event>{
    enum_name<configuration_event>{configuration_event::StaleService, "stale_service"},
    enum_name<configuration_event>{configuration_event::VersionConflict, "version_conflict"},
    enum_name<configuration_event>{configuration_event::ContentMismatch, "content_mismatch"},
    enum_name<configuration_event>{configuration_event::ServiceFailed, "service_failed"},
    enum_name<configuration_event>{configuration_event::ServiceRecovered, "service_back"},
    enum_name<configuration_event>{configuration_event::Confirmed, "confirmed"},
    enum_name<configuration_event>{configuration_event::ConfirmTimedOut, "confirmed_alone"},
};

/// Identifies a call to the configuration service.
using service_call_id = std::uint64_t;

/// Action: read the configuration service. A `wait` of zero returns the current version at once;
/// otherwise the call waits that long for a version above `after`. Exactly one of
/// `onConfigurationServiceRead`, `onConfigurationServiceUnchanged` and
/// `onConfigurationServiceFailed` must follow.
struct fetch_from_service
{
    service_call_id call = 0;
    std::uint64_t after = 0;
    milliseconds wait{0};
};

/// Action: fetch the content of a configuration from a peer; `onPeerContent` or `onPeerFailed` must
/// follow.
struct fetch_from_peer
{
    vm_id vm;
    configuration_stamp stamp;
};

/// Action: probe `count` peers at once (`membership::probeNow`); their answers carry stamps.
struct probe_peers
{
    std::size_t count = 0;
};

/// Action: put this configuration in force and gossip its stamp. Open requests keep the
/// configuration that was in force when they began.
template <class Configuration>
struct adopt_configuration
{
    configuration_stamp stamp;
    std::shared_ptr<const Configuration> configuration;
    configuration_source source = configuration_source::Service;
    vm_id from; ///< empty for the service
    bool announce = false; ///< to the whole data centre (`membership::announce`)
};

/// Action: report a version that failed validation; the configuration in force stays.
struct reject_configuration
{
    configuration_stamp stamp;
    std::vector<std::string> errors;
    configuration_source source = configuration_source::Service;
};

/// Action: log and count an event.
struct configuration_event_report
{
    configuration_event event = configuration_event::Confirmed;
    configuration_stamp stamp; ///< offered or in force
};

/// Policy of production builds: stamps only increase, and a node serves nothing before it has
/// probed its peers.
///
/// Tests use weaker policies to show which faults each guard prevents.
struct monotonic_version_policy
{
    /// Returns whether `offered` may replace `current`.
    [[nodiscard]] static bool supersedes(const configuration_stamp &offered,
                                         const configuration_stamp &current)
    {
        return offered > current;
    }

    static constexpr bool ConfirmBeforeServing = true;
};

/// Decides which configuration is in force. Performs no I/O: inputs append actions to `out`.
template <class Configuration, class Policy = monotonic_version_policy>
class configuration_manager
{
public:
    using configuration_ptr = std::shared_ptr<const Configuration>;
    using validator = std::function<result<configuration_ptr, std::vector<std::string>>(
        std::uint64_t version, std::string_view content)>;
    using action = std::variant<fetch_from_service, fetch_from_peer, probe_peers,
                                adopt_configuration<Configuration>, reject_configuration,
                                configuration_event_report>;
    using actions = std::vector<action>;

    /// `validate` must be deterministic, so that all nodes accept and reject the same contents.
    configuration_manager(const clock_source &clock, configuration_manager_options options,
                          validator validate);

    /// Sets the current members; call on every membership change.
    void setMembers(std::vector<member> members)
    {
        m_members = std::move(members);
        m_reader = isConfigurationReader(m_options.self, m_members, m_options.readersPerDataCenter);
    }
    /// Requires a new confirmation before the node may route; call after a pause of the process.
    void onPaused(actions &out);
    /// Runs timers; call every 50 to 200 ms.
    void tick(actions &out);

    void onConfigurationServiceRead(service_call_id call, std::uint64_t version,
                                    std::string content, actions &out);
    void onConfigurationServiceUnchanged(service_call_id call, actions &out);
    void onConfigurationServiceFailed(service_call_id call, actions &out);

    /// Handles the stamp that a peer has in force. `probeSentAt` is the send time of the probe that
    /// the message answers; empty for messages that answer no probe.
    void onPeerVersion(const vm_id &vm, const configuration_stamp &stamp,
                       std::optional<steady_time> probeSentAt, actions &out);
    void onPeerContent(const vm_id &vm, std::uint64_t version, std::string content, actions &out);
    void onPeerFailed(const vm_id &vm, actions &out);

    /// Null until the first configuration is accepted.
    [[nodiscard]] const configuration_ptr &current() const { return m_current; }
    [[nodiscard]] const configuration_stamp &stamp() const { return m_stamp; }
    /// Text of the configuration in force, sent to peers that fetch it.
    [[nodiscard]] const std::string &content() const { return m_content; }
    /// True if a configuration is in force and no confirmation is pending after the start or the
    /// last pause of the process.
    [[nodiscard]] bool readyToServe() const { return m_current && !needsConfirmation(); }
    [[nodiscard]] bool needsConfirmation() const
    {
        return Policy::ConfirmBeforeServing && m_confirmation.has_value();
    }
    [[nodiscard]] bool isReader() const { return m_reader; }
    /// Rejected stamps, oldest first.
    [[nodiscard]] const std::deque<configuration_stamp> &refused() const { return m_rejected; }
    [[nodiscard]] std::uint64_t serviceCalls() const { return m_lastCall; }

private:
    struct service_call
    {
        service_call_id id = 0;
        steady_time startedAt;
        milliseconds wait{0};
    };

    /// An announced version above the one in force.
    struct announced_version
    {
        configuration_stamp stamp;
        std::vector<vm_id> holders; ///< peers that have announced it
        vm_id parent; ///< source of the first fetch; empty: any holder
        steady_time notBefore; ///< when the parent is expected to have it
    };

    struct peer_fetch
    {
        vm_id vm;
        configuration_stamp stamp;
        steady_time startedAt;
    };

    struct confirmation
    {
        steady_time since;
        steady_time nextProbe;
        std::set<vm_id> answered;
        bool serviceAnswered = false;
    };

    [[nodiscard]] std::size_t alivePeers() const;
    [[nodiscard]] std::size_t nonDeadPeers() const;
    [[nodiscard]] bool isOnlyListedNode() const;
    [[nodiscard]] bool isInOtherDataCenter(const vm_id &vm) const;
    [[nodiscard]] bool isHolder(const vm_id &vm) const;
    [[nodiscard]] bool isRejected(const configuration_stamp &stamp) const;
    void processContent(std::uint64_t version, std::string content, configuration_source source,
                        const vm_id &from, actions &out);
    void reportStaleOrConflict(const configuration_stamp &offered, configuration_source source,
                               actions &out);
    void reject(const configuration_stamp &offered, configuration_source source,
                std::vector<std::string> errors, actions &out);
    void adopt(const configuration_stamp &offered, configuration_ptr configuration,
               std::string content, configuration_source source, const vm_id &from, actions &out);
    void startConfigurationServiceCall(actions &out);
    void endConfigurationServiceCall(service_call_id call, bool answered, actions &out);
    void scheduleFetch();
    void startPeerFetch(actions &out);
    void dropHolder(const vm_id &vm);
    void confirm(actions &out);
    [[nodiscard]] bool shouldReadService() const;

    const clock_source &m_clock;
    configuration_manager_options m_options;
    validator m_validate;
    std::mt19937_64 m_random;
    std::vector<member> m_members;
    bool m_reader = true; ///< whether this node is a configuration reader; true without members

    configuration_ptr m_current;
    configuration_stamp m_stamp;
    std::string m_content;
    std::deque<configuration_stamp> m_rejected;

    std::optional<service_call> m_serviceCall;
    service_call_id m_lastCall = 0;
    std::uint64_t m_highestServiceVersion = 0; ///< highest version read, also if rejected
    steady_time m_nextServiceCall;
    std::uint32_t m_serviceFailures = 0;
    bool m_readAtOnce = true; ///< the next call is no long poll

    std::optional<announced_version> m_announced;
    std::optional<peer_fetch> m_peerFetch;
    std::optional<confirmation> m_confirmation;
};

template <class Configuration, class Policy>
configuration_manager<Configuration, Policy>::configuration_manager(
    const clock_source &clock, configuration_manager_options options, validator validate)
    : m_clock(clock)
    , m_options(std::move(options))
    , m_validate(std::move(validate))
    , m_random(m_options.seed)
    , m_nextServiceCall(clock.now())
    , m_confirmation(confirmation{clock.now(), clock.now(), {}, false})
{ }

// The answer to a watch from before the pause of the process may be outdated. The watch is
// abandoned, and the next call reads at once.
template <class Configuration, class Policy>
void configuration_manager<Configuration, Policy>::onPaused(actions &out)
{
    m_confirmation = confirmation{m_clock.now(), m_clock.now(), {}, false};
    m_serviceCall.reset();
    m_peerFetch.reset();
    m_readAtOnce = true;
    m_nextServiceCall = m_clock.now();
    tick(out);
}

template <class Configuration, class Policy>
void configuration_manager<Configuration, Policy>::tick(actions &out)
{
    const auto now = m_clock.now();
    if (m_serviceCall
        && now > m_serviceCall->startedAt + m_serviceCall->wait + m_options.answerTimeout)
        endConfigurationServiceCall(m_serviceCall->id, false, out);
    if (m_peerFetch && now > m_peerFetch->startedAt + m_options.peerFetchTimeout)
        onPeerFailed(vm_id{m_peerFetch->vm}, out);
    if (m_confirmation && now >= m_confirmation->nextProbe) {
        m_confirmation->nextProbe = now + m_options.probeInterval;
        if (alivePeers() > 0 || !m_members.empty())
            out.push_back(probe_peers{m_options.confirmPeers});
    }
    startPeerFetch(out);
    confirm(out);
    if (!m_serviceCall && now >= m_nextServiceCall && shouldReadService())
        startConfigurationServiceCall(out);
}

// A node that is no configuration reader reads the configuration service only while it has no
// configuration, or while it is unconfirmed and has no alive peer. While unconfirmed, it first
// waits half of the confirmation timeout for its peers.
template <class Configuration, class Policy>
bool configuration_manager<Configuration, Policy>::shouldReadService() const
{
    if (isReader())
        return true;
    if (!m_confirmation)
        return !m_current;
    const bool waited = m_clock.now() >= m_confirmation->since + m_options.confirmTimeout / 2;
    return waited && (!m_current || alivePeers() == 0);
}

template <class Configuration, class Policy>
void configuration_manager<Configuration, Policy>::startConfigurationServiceCall(actions &out)
{
    const auto now = m_clock.now();
    fetch_from_service fetch;
    fetch.call = ++m_lastCall;
    // Rejected versions are included: a watch after the version in force would return the rejected
    // one over and over.
    if (!m_readAtOnce) {
        fetch.after = std::max(m_stamp.version, m_highestServiceVersion);
        fetch.wait = m_options.longPollWait;
    }
    m_serviceCall = service_call{fetch.call, now, fetch.wait};
    m_nextServiceCall = now + m_options.minReadInterval;
    out.push_back(fetch);
}

template <class Configuration, class Policy>
void configuration_manager<Configuration, Policy>::endConfigurationServiceCall(service_call_id call,
                                                                               bool answered,
                                                                               actions &out)
{
    if (!m_serviceCall || m_serviceCall->id != call)
        return;
    const auto startedAt = m_serviceCall->startedAt;
    m_serviceCall.reset();
    if (answered) {
        if (m_serviceFailures > 0)
            out.push_back(
                configuration_event_report{configuration_event::ServiceRecovered, m_stamp});
        m_serviceFailures = 0;
        m_readAtOnce = false;
        if (m_confirmation && startedAt >= m_confirmation->since)
            m_confirmation->serviceAnswered = true;
        return;
    }
    if (m_serviceFailures == 0)
        out.push_back(configuration_event_report{configuration_event::ServiceFailed, m_stamp});
    m_serviceFailures = std::min(m_serviceFailures + 1, 16U);
    m_readAtOnce = true;
    // Random delay (jitter) below a bound that doubles with every second failure: otherwise the
    // configuration readers of all data centres would retry at the same time.
    const auto bound = std::min<std::int64_t>(
        m_options.maxBackoff.count(), m_options.minReadInterval.count() << (m_serviceFailures / 2));
    const auto base = m_options.minReadInterval.count() / 2;
    std::uniform_int_distribution<std::int64_t> delay(base, std::max(base, bound));
    m_nextServiceCall = m_clock.now() + milliseconds{delay(m_random)};
}

template <class Configuration, class Policy>
void configuration_manager<Configuration, Policy>::onConfigurationServiceRead(service_call_id call,
                                                                              std::uint64_t version,
                                                                              std::string content,
                                                                              actions &out)
{
    endConfigurationServiceCall(call, true, out);
    m_highestServiceVersion = std::max(m_highestServiceVersion, version);
    processContent(version, std::move(content), configuration_source::Service, vm_id{}, out);
    tick(out);
}

template <class Configuration, class Policy>
void configuration_manager<Configuration, Policy>::onConfigurationServiceUnchanged(
    service_call_id call, actions &out)
{
    endConfigurationServiceCall(call, true, out);
    tick(out);
}

template <class Configuration, class Policy>
void configuration_manager<Configuration, Policy>::onConfigurationServiceFailed(
    service_call_id call, actions &out)
{
    endConfigurationServiceCall(call, false, out);
}

template <class Configuration, class Policy>
void configuration_manager<Configuration, Policy>::processContent(std::uint64_t version,
                                                                  std::string content,
                                                                  configuration_source source,
                                                                  const vm_id &from, actions &out)
{
    if (version == 0)
        return;
    const configuration_stamp offered{version, configurationHash(content)};
    if (offered == m_stamp || isRejected(offered))
        return;
    const bool superseding = Policy::supersedes(offered, m_stamp);
    if (!superseding || offered.version == m_stamp.version)
        reportStaleOrConflict(offered, source, out);
    if (!superseding)
        return;
    if (content.size() > m_options.maxContentBytes)
        return reject(offered, source, {"the content exceeds the size limit"}, out);
    auto checked = m_validate(version, content);
    if (!checked)
        return reject(offered, source, std::move(checked).error(), out);
    adopt(offered, std::move(checked).value(), std::move(content), source, from, out);
}

template <class Configuration, class Policy>
void configuration_manager<Configuration, Policy>::reportStaleOrConflict(
    const configuration_stamp &offered, configuration_source source, actions &out)
{
    if (offered.version == m_stamp.version)
        out.push_back(configuration_event_report{configuration_event::VersionConflict, offered});
    else if (source == configuration_source::Service)
        out.push_back(configuration_event_report{configuration_event::StaleService, offered});
}

template <class Configuration, class Policy>
void configuration_manager<Configuration, Policy>::reject(const configuration_stamp &offered,
                                                          configuration_source source,
                                                          std::vector<std::string> errors,
                                                          actions &out)
{
    m_rejected.push_back(offered);
    if (m_rejected.size() > m_options.maxRejected)
        m_rejected.pop_front();
    if (m_announced && m_announced->stamp == offered)
        m_announced.reset();
    out.push_back(reject_configuration{offered, std::move(errors), source});
}

// Only a node that got the version from the service or from another data centre announces it to the
// whole data centre. If nodes that got it from a local peer announced it too, the number of
// messages would grow with the square of the members.
template <class Configuration, class Policy>
void configuration_manager<Configuration, Policy>::adopt(const configuration_stamp &offered,
                                                         configuration_ptr configuration,
                                                         std::string content,
                                                         configuration_source source,
                                                         const vm_id &from, actions &out)
{
    m_stamp = offered;
    m_current = std::move(configuration);
    m_content = std::move(content);
    if (m_announced && !Policy::supersedes(m_announced->stamp, m_stamp))
        m_announced.reset();
    const bool announce = source == configuration_source::Service || isInOtherDataCenter(from);
    out.push_back(adopt_configuration<Configuration>{m_stamp, m_current, source, from, announce});
    confirm(out);
}

template <class Configuration, class Policy>
void configuration_manager<Configuration, Policy>::onPeerVersion(
    const vm_id &vm, const configuration_stamp &stamp, std::optional<steady_time> probeSentAt,
    actions &out)
{
    if (m_confirmation && probeSentAt && *probeSentAt >= m_confirmation->since)
        m_confirmation->answered.insert(vm);
    const bool wanted =
        stamp.version > 0 && Policy::supersedes(stamp, m_stamp) && !isRejected(stamp);
    if (wanted && (!m_announced || stamp > m_announced->stamp)) {
        m_announced = announced_version{stamp, {}, {}, m_clock.now()};
        scheduleFetch();
    }
    if (wanted && stamp == m_announced->stamp) {
        if (!isHolder(vm) && m_announced->holders.size() < m_options.maxHolders)
            m_announced->holders.push_back(vm);
    }
    startPeerFetch(out);
    confirm(out);
}

// If all nodes of a data centre fetched a configuration of 1 MB from the three configuration
// readers that announce it, they would overload these, so each node fetches from its parent in the
// tree. If the parent does not have the content, the node fetches from any holder. An unconfirmed
// node, which may not serve yet, fetches from any holder at once.
template <class Configuration, class Policy>
void configuration_manager<Configuration, Policy>::scheduleFetch()
{
    if (m_confirmation)
        return;
    const auto position = fetchPosition(m_options.self, m_members, m_options.readersPerDataCenter,
                                        m_options.fetchFanout, m_announced->stamp.version);
    m_announced->parent = position.parent;
    // A configuration reader waits for one level: its own watch returns at about the same time as
    // the watches of the other readers.
    const auto levels = position.parent.empty() ? 1 : position.depth;
    m_announced->notBefore += levels * m_options.fetchDelayPerLevel;
}

template <class Configuration, class Policy>
void configuration_manager<Configuration, Policy>::startPeerFetch(actions &out)
{
    if (!m_announced || m_announced->holders.empty() || m_clock.now() < m_announced->notBefore)
        return;
    if (m_peerFetch && m_peerFetch->stamp >= m_announced->stamp)
        return;
    if (!m_announced->parent.empty()) {
        m_peerFetch = peer_fetch{m_announced->parent, m_announced->stamp, m_clock.now()};
        m_announced->parent = vm_id{};
        out.push_back(fetch_from_peer{m_peerFetch->vm, m_peerFetch->stamp});
        return;
    }
    std::uniform_int_distribution<std::size_t> pick(0, m_announced->holders.size() - 1);
    m_peerFetch =
        peer_fetch{m_announced->holders[pick(m_random)], m_announced->stamp, m_clock.now()};
    out.push_back(fetch_from_peer{m_peerFetch->vm, m_peerFetch->stamp});
}

// A peer may have put a higher version in force since its announcement; that version is accepted
// too. Content with a lower stamp than the announced one is dropped.
template <class Configuration, class Policy>
void configuration_manager<Configuration, Policy>::onPeerContent(const vm_id &vm,
                                                                 std::uint64_t version,
                                                                 std::string content, actions &out)
{
    if (!m_peerFetch || m_peerFetch->vm != vm)
        return;
    const auto expected = m_peerFetch->stamp;
    const configuration_stamp offered{version, configurationHash(content)};
    if (offered < expected) {
        if (isHolder(vm))
            out.push_back(
                configuration_event_report{configuration_event::ContentMismatch, offered});
        return onPeerFailed(vm, out);
    }
    m_peerFetch.reset();
    processContent(version, std::move(content), configuration_source::Peer, vm, out);
    startPeerFetch(out);
    confirm(out);
}

template <class Configuration, class Policy>
void configuration_manager<Configuration, Policy>::onPeerFailed(const vm_id &vm, actions &out)
{
    if (!m_peerFetch || m_peerFetch->vm != vm)
        return;
    m_peerFetch.reset();
    dropHolder(vm);
    startPeerFetch(out);
}

template <class Configuration, class Policy>
void configuration_manager<Configuration, Policy>::dropHolder(const vm_id &vm)
{
    if (!m_announced)
        return;
    std::erase(m_announced->holders, vm);
    if (m_announced->holders.empty())
        m_announced.reset();
}

// The service may be stale, so its answer counts only on the sole listed node; elsewhere peers must
// confirm. After the timeout the node is assumed to be cut off and serves the configuration in
// force. An announced higher version must be fetched first.
template <class Configuration, class Policy>
void configuration_manager<Configuration, Policy>::confirm(actions &out)
{
    if (!m_confirmation || !m_current || m_announced)
        return;
    const std::size_t needed = std::min(m_options.confirmPeers, nonDeadPeers());
    const bool byPeers = needed > 0 && m_confirmation->answered.size() >= needed;
    const bool byService = isOnlyListedNode() && m_confirmation->serviceAnswered;
    const bool late = m_clock.now() >= m_confirmation->since + m_options.confirmTimeout;
    if (!byPeers && !byService && !late)
        return;
    const bool anyAnswer = !m_confirmation->answered.empty() || m_confirmation->serviceAnswered;
    m_confirmation.reset();
    out.push_back(configuration_event_report{anyAnswer ? configuration_event::Confirmed
                                                       : configuration_event::ConfirmTimedOut,
                                             m_stamp});
}

template <class Configuration, class Policy>
std::size_t configuration_manager<Configuration, Policy>::alivePeers() const
{
    return static_cast<std::size_t>(
        std::count_if(m_members.begin(), m_members.end(), [this](const member &candidate) {
            return candidate.state == member_state::Alive && candidate.vm.vm != m_options.self.vm;
        }));
}

// Includes members that have not sent anything yet. Otherwise a new node would need only the first
// answer, which may come from another new node.
template <class Configuration, class Policy>
std::size_t configuration_manager<Configuration, Policy>::nonDeadPeers() const
{
    return static_cast<std::size_t>(
        std::count_if(m_members.begin(), m_members.end(), [this](const member &candidate) {
            return candidate.state != member_state::Dead && candidate.vm.vm != m_options.self.vm;
        }));
}

// A node that has not received the VM list has no peers either, and the service may be stale. The
// answer of the service therefore suffices only if the VM list holds this node and no other.
template <class Configuration, class Policy>
bool configuration_manager<Configuration, Policy>::isOnlyListedNode() const
{
    return m_members.size() == 1 && m_members.front().listed;
}

template <class Configuration, class Policy>
bool configuration_manager<Configuration, Policy>::isInOtherDataCenter(const vm_id &vm) const
{
    for (const member &candidate : m_members) {
        if (candidate.vm.vm == vm)
            return candidate.vm.dataCenter != m_options.self.dataCenter;
    }
    return false;
}

template <class Configuration, class Policy>
bool configuration_manager<Configuration, Policy>::isHolder(const vm_id &vm) const
{
    return m_announced
        && std::find(m_announced->holders.begin(), m_announced->holders.end(), vm)
        != m_announced->holders.end();
}

template <class Configuration, class Policy>
bool configuration_manager<Configuration, Policy>::isRejected(
    const configuration_stamp &stamp) const
{
    return std::find(m_rejected.begin(), m_rejected.end(), stamp) != m_rejected.end();
}

} // namespace orchidlead
