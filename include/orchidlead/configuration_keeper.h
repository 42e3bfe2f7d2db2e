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

/// Keeps one published configuration in force on every node, without a store of its own.
///
/// Versions only go up. A few readers in each data centre watch the configuration service; the
/// others hear of a version by gossip and fetch the content from a peer.
namespace orchidlead {

/// Gives the hash that goes into a stamp; the same in every process and build.
[[nodiscard]] std::uint64_t configurationHash(std::string_view content);

/// Tells whether `self` watches the service for its data centre: it is one of the `count` nodes
/// that rendezvous hashing picks from the alive members there. `self` counts as alive.
[[nodiscard]] bool isConfigurationReader(const listed_vm &self, std::span<const member> members,
                                         std::size_t count);

/// Where a node stands in the tree by which a content spreads in its data centre.
struct fetch_position
{
    vm_id parent; ///< empty: the node is a reader, at the root
    std::uint32_t depth = 0; ///< of the parent; readers have 0
};

/// Gives the place of `self`: the readers are the roots, each node serves at most `fanout` others,
/// and who stands where changes with the version, so that the load does too.
[[nodiscard]] fetch_position fetchPosition(const listed_vm &self, std::span<const member> members,
                                           std::size_t readers, std::size_t fanout,
                                           std::uint64_t version);

/// Settings of a configuration keeper.
struct keeper_options
{
    listed_vm self;
    std::uint64_t seed = 0;
    std::size_t readersPerDataCenter = 3;
    std::size_t confirmPeers = 3; ///< answers asked for before serving, at most
    milliseconds confirmTimeout{2000}; ///< without answers, the node goes on with what it has
    milliseconds askInterval{250}; ///< between questions to peers while unconfirmed
    milliseconds watchTime{30000}; ///< of one long poll
    milliseconds callGrace{5000}; ///< a service call that is this late is given up
    milliseconds minReadInterval{500}; ///< between the starts of two service calls
    milliseconds maxBackoff{2000}; ///< after failed service calls
    milliseconds peerFetchTimeout{1000};
    std::size_t fetchFanout = 2; ///< nodes that fetch a content from the same one, as a rule
    milliseconds fetchStage{250}; ///< between the levels of the tree
    std::size_t maxContentBytes = 1U << 20U;
    std::size_t maxRefused = 16; ///< refused stamps that are remembered
    std::size_t maxHolders = 8; ///< peers remembered as holding an offered version
};

/// Where a configuration came from.
enum class configuration_source { Service, Peer };

template <>
inline constexpr std::array enumNames<configuration_source>{
    enum_name<configuration_source>{configuration_source::Service, "service"},
    enum_name<configuration_source>{configuration_source::Peer, "peer"},
};

/// What a keeper tells its operator.
enum class keeper_event {
    StaleService, ///< the service offers less than what is in force; ignored
    VersionConflict, ///< one version number with two contents; the greater hash is taken
    ContentMismatch, ///< a peer's content isn't what it had announced; dropped
    ServiceFailed, ///< first failed call after a good one
    ServiceBack,
    Confirmed, ///< enough peers, or the service, answered: the node may route
    ConfirmedAlone, ///< nobody answered in time: the node goes on with what it has
};

template <>
inline constexpr std::array enumNames<keeper_event>{
    enum_name<keeper_event>{keeper_event::StaleService, "stale_service"},
    enum_name<keeper_event>{keeper_event::VersionConflict, "version_conflict"},
    enum_name<keeper_event>{keeper_event::ContentMismatch, "content_mismatch"},
    enum_name<keeper_event>{keeper_event::ServiceFailed, "service_failed"},
    enum_name<keeper_event>{keeper_event::ServiceBack, "service_back"},
    enum_name<keeper_event>{keeper_event::Confirmed, "confirmed"},
    enum_name<keeper_event>{keeper_event::ConfirmedAlone, "confirmed_alone"},
};

using service_call_id = std::uint64_t;

/// Action: read the service. `wait` of zero reads at once, whatever the version; otherwise the
/// call waits that long for a version above `after`. Ends with exactly one of `onServiceRead`,
/// `onServiceUnchanged` and `onServiceFailed`.
struct fetch_from_service
{
    service_call_id call = 0;
    std::uint64_t after = 0;
    milliseconds wait{0};
};

/// Action: ask a peer for a content; ends with `onPeerContent` or `onPeerFailed`.
struct fetch_from_peer
{
    vm_id vm;
    configuration_stamp stamp;
};

/// Action: probe that many peers at once (`membership::probeNow`); their answers carry stamps.
struct ask_peers
{
    std::size_t count = 0;
};

/// Action: put this configuration in force and gossip its stamp. Requests that have begun keep
/// the one that they began with.
template <class Configuration>
struct adopt_configuration
{
    configuration_stamp stamp;
    std::shared_ptr<const Configuration> configuration;
    configuration_source source = configuration_source::Service;
    vm_id from; ///< empty for the service
    bool announce = false; ///< tell the whole data centre now (`membership::announce`)
};

/// Action: report a version that failed its checks; what was in force stays.
struct reject_configuration
{
    configuration_stamp stamp;
    std::vector<std::string> errors;
    configuration_source source = configuration_source::Service;
};

/// Action: write to the log and count.
struct keeper_report
{
    keeper_event event = keeper_event::Confirmed;
    configuration_stamp stamp; ///< what was offered, or is in force
};

/// The rule of the product: stamps only go up, and nothing is served before peers were asked.
///
/// Tests put weaker policies in its place to show what each guard prevents.
struct forward_only_policy
{
    /// Tells whether `offered` may take the place of `current`.
    [[nodiscard]] static bool supersedes(const configuration_stamp &offered,
                                         const configuration_stamp &current)
    {
        return offered > current;
    }

    static constexpr bool ConfirmBeforeServing = true;
};

/// Decides which configuration is in force. No I/O: inputs append actions to `out`.
template <class Configuration, class Policy = forward_only_policy>
class configuration_keeper
{
public:
    using configuration_ptr = std::shared_ptr<const Configuration>;
    using validator = std::function<result<configuration_ptr, std::vector<std::string>>(
        std::uint64_t version, std::string_view content)>;
    using action =
        std::variant<fetch_from_service, fetch_from_peer, ask_peers,
                     adopt_configuration<Configuration>, reject_configuration, keeper_report>;
    using actions = std::vector<action>;

    /// `validate` must be deterministic, so that all nodes accept and refuse alike.
    configuration_keeper(const clock_source &clock, keeper_options options, validator validate);

    /// Takes the members as they are now; to be called on every membership change.
    void setMembers(std::vector<member> members)
    {
        m_members = std::move(members);
        m_reader = isConfigurationReader(m_options.self, m_members, m_options.readersPerDataCenter);
    }
    /// Starts asking again before anything may be routed; the node was paused.
    void onPaused(actions &out);
    /// Runs timers; call every 50 to 200 ms.
    void tick(actions &out);

    void onServiceRead(service_call_id call, std::uint64_t version, std::string content,
                       actions &out);
    void onServiceUnchanged(service_call_id call, actions &out);
    void onServiceFailed(service_call_id call, actions &out);

    /// Hears what a peer has in force; `askedAt` is when the probe that it answers was sent, and
    /// empty where the peer spoke unasked.
    void onPeerVersion(const vm_id &vm, const configuration_stamp &stamp,
                       std::optional<steady_time> askedAt, actions &out);
    void onPeerContent(const vm_id &vm, std::uint64_t version, std::string content, actions &out);
    void onPeerFailed(const vm_id &vm, actions &out);

    /// Null until the first configuration was accepted.
    [[nodiscard]] const configuration_ptr &current() const { return m_current; }
    [[nodiscard]] const configuration_stamp &stamp() const { return m_stamp; }
    /// The text in force, for peers that ask for it.
    [[nodiscard]] const std::string &content() const { return m_content; }
    /// False until there is a configuration and peers or the service confirmed it since the start
    /// and since the last pause.
    [[nodiscard]] bool readyToServe() const { return m_current && !mustReconfirm(); }
    [[nodiscard]] bool mustReconfirm() const
    {
        return Policy::ConfirmBeforeServing && m_confirmation.has_value();
    }
    [[nodiscard]] bool isReader() const { return m_reader; }
    /// Refused stamps, oldest first; for the operator.
    [[nodiscard]] const std::deque<configuration_stamp> &refused() const { return m_refused; }
    [[nodiscard]] std::uint64_t serviceCalls() const { return m_lastCall; }

private:
    struct service_call
    {
        service_call_id id = 0;
        steady_time startedAt;
        milliseconds wait{0};
    };

    /// A stamp above the one in force, and who has it.
    struct offer
    {
        configuration_stamp stamp;
        std::vector<vm_id> holders;
        vm_id parent; ///< to be asked first; empty: any holder
        steady_time notBefore; ///< the parent has it by then
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
        steady_time nextAsk;
        std::set<vm_id> answered;
        bool serviceAnswered = false;
    };

    [[nodiscard]] std::size_t alivePeers() const;
    [[nodiscard]] std::size_t possiblePeers() const;
    [[nodiscard]] bool knownToBeAlone() const;
    [[nodiscard]] bool inOtherDataCenter(const vm_id &vm) const;
    [[nodiscard]] bool isHolder(const vm_id &vm) const;
    [[nodiscard]] bool isRefused(const configuration_stamp &stamp) const;
    void take(std::uint64_t version, std::string content, configuration_source source,
              const vm_id &from, actions &out);
    void reportOld(const configuration_stamp &offered, configuration_source source, actions &out);
    void refuse(const configuration_stamp &offered, configuration_source source,
                std::vector<std::string> errors, actions &out);
    void adopt(const configuration_stamp &offered, configuration_ptr configuration,
               std::string content, configuration_source source, const vm_id &from, actions &out);
    void startServiceCall(actions &out);
    void endServiceCall(service_call_id call, bool answered, actions &out);
    void placeOffer();
    void startPeerFetch(actions &out);
    void dropHolder(const vm_id &vm);
    void confirm(actions &out);
    [[nodiscard]] bool mayReadService() const;

    const clock_source &m_clock;
    keeper_options m_options;
    validator m_validate;
    std::mt19937_64 m_random;
    std::vector<member> m_members;
    bool m_reader = true; ///< a node that knows nobody reads for itself

    configuration_ptr m_current;
    configuration_stamp m_stamp;
    std::string m_content;
    std::deque<configuration_stamp> m_refused;

    std::optional<service_call> m_serviceCall;
    service_call_id m_lastCall = 0;
    std::uint64_t m_serviceVersion = 0; ///< highest that the service gave, refused ones included
    steady_time m_nextServiceCall;
    std::uint32_t m_serviceFailures = 0;
    bool m_plainRead = true; ///< the next call reads at once instead of watching

    std::optional<offer> m_offer;
    std::optional<peer_fetch> m_peerFetch;
    std::optional<confirmation> m_confirmation;
};

template <class Configuration, class Policy>
configuration_keeper<Configuration, Policy>::configuration_keeper(const clock_source &clock,
                                                                  keeper_options options,
                                                                  validator validate)
    : m_clock(clock)
    , m_options(std::move(options))
    , m_validate(std::move(validate))
    , m_random(m_options.seed)
    , m_nextServiceCall(clock.now())
    , m_confirmation(confirmation{clock.now(), clock.now(), {}, false})
{ }

// A watch that was begun before the pause says nothing about the time since: it is forgotten, and
// the next call reads at once.
template <class Configuration, class Policy>
void configuration_keeper<Configuration, Policy>::onPaused(actions &out)
{
    m_confirmation = confirmation{m_clock.now(), m_clock.now(), {}, false};
    m_serviceCall.reset();
    m_peerFetch.reset();
    m_plainRead = true;
    m_nextServiceCall = m_clock.now();
    tick(out);
}

template <class Configuration, class Policy>
void configuration_keeper<Configuration, Policy>::tick(actions &out)
{
    const auto now = m_clock.now();
    if (m_serviceCall && now > m_serviceCall->startedAt + m_serviceCall->wait + m_options.callGrace)
        endServiceCall(m_serviceCall->id, false, out);
    if (m_peerFetch && now > m_peerFetch->startedAt + m_options.peerFetchTimeout)
        onPeerFailed(vm_id{m_peerFetch->vm}, out);
    if (m_confirmation && now >= m_confirmation->nextAsk) {
        m_confirmation->nextAsk = now + m_options.askInterval;
        if (alivePeers() > 0 || !m_members.empty())
            out.push_back(ask_peers{m_options.confirmPeers});
    }
    startPeerFetch(out);
    confirm(out);
    if (!m_serviceCall && now >= m_nextServiceCall && mayReadService())
        startServiceCall(out);
}

// A node that isn't a reader reads the service only while it has nothing to serve by, or nobody
// to ask.
template <class Configuration, class Policy>
bool configuration_keeper<Configuration, Policy>::mayReadService() const
{
    if (isReader())
        return true;
    if (!m_confirmation)
        return !m_current;
    const bool waited = m_clock.now() >= m_confirmation->since + m_options.confirmTimeout / 2;
    return waited && (!m_current || alivePeers() == 0);
}

template <class Configuration, class Policy>
void configuration_keeper<Configuration, Policy>::startServiceCall(actions &out)
{
    const auto now = m_clock.now();
    fetch_from_service fetch;
    fetch.call = ++m_lastCall;
    // The refused versions count too: a watch after the version in force alone would come back
    // with the refused one again and again.
    if (!m_plainRead) {
        fetch.after = std::max(m_stamp.version, m_serviceVersion);
        fetch.wait = m_options.watchTime;
    }
    m_serviceCall = service_call{fetch.call, now, fetch.wait};
    m_nextServiceCall = now + m_options.minReadInterval;
    out.push_back(fetch);
}

template <class Configuration, class Policy>
void configuration_keeper<Configuration, Policy>::endServiceCall(service_call_id call,
                                                                 bool answered, actions &out)
{
    if (!m_serviceCall || m_serviceCall->id != call)
        return;
    const auto startedAt = m_serviceCall->startedAt;
    m_serviceCall.reset();
    if (answered) {
        if (m_serviceFailures > 0)
            out.push_back(keeper_report{keeper_event::ServiceBack, m_stamp});
        m_serviceFailures = 0;
        m_plainRead = false;
        if (m_confirmation && startedAt >= m_confirmation->since)
            m_confirmation->serviceAnswered = true;
        return;
    }
    if (m_serviceFailures == 0)
        out.push_back(keeper_report{keeper_event::ServiceFailed, m_stamp});
    m_serviceFailures = std::min(m_serviceFailures + 1, 16U);
    m_plainRead = true;
    // Full jitter over a doubling bound: readers of all data centres don't come back as one.
    const auto bound = std::min<std::int64_t>(
        m_options.maxBackoff.count(), m_options.minReadInterval.count() << (m_serviceFailures / 2));
    const auto base = m_options.minReadInterval.count() / 2;
    std::uniform_int_distribution<std::int64_t> delay(base, std::max(base, bound));
    m_nextServiceCall = m_clock.now() + milliseconds{delay(m_random)};
}

template <class Configuration, class Policy>
void configuration_keeper<Configuration, Policy>::onServiceRead(service_call_id call,
                                                                std::uint64_t version,
                                                                std::string content, actions &out)
{
    endServiceCall(call, true, out);
    m_serviceVersion = std::max(m_serviceVersion, version);
    take(version, std::move(content), configuration_source::Service, vm_id{}, out);
    tick(out);
}

template <class Configuration, class Policy>
void configuration_keeper<Configuration, Policy>::onServiceUnchanged(service_call_id call,
                                                                     actions &out)
{
    endServiceCall(call, true, out);
    tick(out);
}

template <class Configuration, class Policy>
void configuration_keeper<Configuration, Policy>::onServiceFailed(service_call_id call,
                                                                  actions &out)
{
    endServiceCall(call, false, out);
}

template <class Configuration, class Policy>
void configuration_keeper<Configuration, Policy>::take(std::uint64_t version, std::string content,
                                                       configuration_source source,
                                                       const vm_id &from, actions &out)
{
    if (version == 0)
        return;
    const configuration_stamp offered{version, configurationHash(content)};
    if (offered == m_stamp || isRefused(offered))
        return;
    const bool superseding = Policy::supersedes(offered, m_stamp);
    if (!superseding || offered.version == m_stamp.version)
        reportOld(offered, source, out);
    if (!superseding)
        return;
    if (content.size() > m_options.maxContentBytes)
        return refuse(offered, source, {"content is larger than the bound"}, out);
    auto checked = m_validate(version, content);
    if (!checked)
        return refuse(offered, source, std::move(checked).error(), out);
    adopt(offered, std::move(checked).value(), std::move(content), source, from, out);
}

template <class Configuration, class Policy>
void configuration_keeper<Configuration, Policy>::reportOld(const configuration_stamp &offered,
                                                            configuration_source source,
                                                            actions &out)
{
    if (offered.version == m_stamp.version)
        out.push_back(keeper_report{keeper_event::VersionConflict, offered});
    else if (source == configuration_source::Service)
        out.push_back(keeper_report{keeper_event::StaleService, offered});
}

template <class Configuration, class Policy>
void configuration_keeper<Configuration, Policy>::refuse(const configuration_stamp &offered,
                                                         configuration_source source,
                                                         std::vector<std::string> errors,
                                                         actions &out)
{
    m_refused.push_back(offered);
    if (m_refused.size() > m_options.maxRefused)
        m_refused.pop_front();
    if (m_offer && m_offer->stamp == offered)
        m_offer.reset();
    out.push_back(reject_configuration{offered, std::move(errors), source});
}

// A version from outside the data centre is told to all of it at once; the others heard of it from
// one of these, and telling them all again would cost the square of the members.
template <class Configuration, class Policy>
void configuration_keeper<Configuration, Policy>::adopt(const configuration_stamp &offered,
                                                        configuration_ptr configuration,
                                                        std::string content,
                                                        configuration_source source,
                                                        const vm_id &from, actions &out)
{
    m_stamp = offered;
    m_current = std::move(configuration);
    m_content = std::move(content);
    if (m_offer && !Policy::supersedes(m_offer->stamp, m_stamp))
        m_offer.reset();
    const bool announce = source == configuration_source::Service || inOtherDataCenter(from);
    out.push_back(adopt_configuration<Configuration>{m_stamp, m_current, source, from, announce});
    confirm(out);
}

template <class Configuration, class Policy>
void configuration_keeper<Configuration, Policy>::onPeerVersion(const vm_id &vm,
                                                                const configuration_stamp &stamp,
                                                                std::optional<steady_time> askedAt,
                                                                actions &out)
{
    if (m_confirmation && askedAt && *askedAt >= m_confirmation->since)
        m_confirmation->answered.insert(vm);
    const bool wanted =
        stamp.version > 0 && Policy::supersedes(stamp, m_stamp) && !isRefused(stamp);
    if (wanted && (!m_offer || stamp > m_offer->stamp)) {
        m_offer = offer{stamp, {}, {}, m_clock.now()};
        placeOffer();
    }
    if (wanted && stamp == m_offer->stamp) {
        if (!isHolder(vm) && m_offer->holders.size() < m_options.maxHolders)
            m_offer->holders.push_back(vm);
    }
    startPeerFetch(out);
    confirm(out);
}

// A content of a megabyte that all nodes of a data centre took from the three that announced it
// would keep those busy. Where the parent doesn't have it after all, any holder is asked. A node
// that mustn't serve yet doesn't wait.
template <class Configuration, class Policy>
void configuration_keeper<Configuration, Policy>::placeOffer()
{
    if (m_confirmation)
        return;
    const auto position = fetchPosition(m_options.self, m_members, m_options.readersPerDataCenter,
                                        m_options.fetchFanout, m_offer->stamp.version);
    m_offer->parent = position.parent;
    // A reader's own watch comes back at the same time as those of the others.
    const auto stages = position.parent.empty() ? 1 : position.depth;
    m_offer->notBefore += stages * m_options.fetchStage;
}

template <class Configuration, class Policy>
void configuration_keeper<Configuration, Policy>::startPeerFetch(actions &out)
{
    if (!m_offer || m_offer->holders.empty() || m_clock.now() < m_offer->notBefore)
        return;
    if (m_peerFetch && m_peerFetch->stamp >= m_offer->stamp)
        return;
    if (!m_offer->parent.empty()) {
        m_peerFetch = peer_fetch{m_offer->parent, m_offer->stamp, m_clock.now()};
        m_offer->parent = vm_id{};
        out.push_back(fetch_from_peer{m_peerFetch->vm, m_peerFetch->stamp});
        return;
    }
    std::uniform_int_distribution<std::size_t> pick(0, m_offer->holders.size() - 1);
    m_peerFetch = peer_fetch{m_offer->holders[pick(m_random)], m_offer->stamp, m_clock.now()};
    out.push_back(fetch_from_peer{m_peerFetch->vm, m_peerFetch->stamp});
}

// A peer may have gone on to a higher version since it announced: that is taken too. What was
// announced under this very number must be what comes.
template <class Configuration, class Policy>
void configuration_keeper<Configuration, Policy>::onPeerContent(const vm_id &vm,
                                                                std::uint64_t version,
                                                                std::string content, actions &out)
{
    if (!m_peerFetch || m_peerFetch->vm != vm)
        return;
    const auto expected = m_peerFetch->stamp;
    const configuration_stamp offered{version, configurationHash(content)};
    if (offered < expected) {
        if (isHolder(vm))
            out.push_back(keeper_report{keeper_event::ContentMismatch, offered});
        return onPeerFailed(vm, out);
    }
    m_peerFetch.reset();
    take(version, std::move(content), configuration_source::Peer, vm, out);
    startPeerFetch(out);
    confirm(out);
}

template <class Configuration, class Policy>
void configuration_keeper<Configuration, Policy>::onPeerFailed(const vm_id &vm, actions &out)
{
    if (!m_peerFetch || m_peerFetch->vm != vm)
        return;
    m_peerFetch.reset();
    dropHolder(vm);
    startPeerFetch(out);
}

template <class Configuration, class Policy>
void configuration_keeper<Configuration, Policy>::dropHolder(const vm_id &vm)
{
    if (!m_offer)
        return;
    std::erase(m_offer->holders, vm);
    if (m_offer->holders.empty())
        m_offer.reset();
}

// Peers come before the service, which may be stale: while there are any alive, only they confirm.
// Nobody's answer in time means that the node is cut off, and then it goes on with what it has. A
// higher version that is known of must be fetched first.
template <class Configuration, class Policy>
void configuration_keeper<Configuration, Policy>::confirm(actions &out)
{
    if (!m_confirmation || !m_current || m_offer)
        return;
    const std::size_t needed = std::min(m_options.confirmPeers, possiblePeers());
    const bool byPeers = needed > 0 && m_confirmation->answered.size() >= needed;
    const bool byService = knownToBeAlone() && m_confirmation->serviceAnswered;
    const bool late = m_clock.now() >= m_confirmation->since + m_options.confirmTimeout;
    if (!byPeers && !byService && !late)
        return;
    const bool anyAnswer = !m_confirmation->answered.empty() || m_confirmation->serviceAnswered;
    m_confirmation.reset();
    out.push_back(
        keeper_report{anyAnswer ? keeper_event::Confirmed : keeper_event::ConfirmedAlone, m_stamp});
}

template <class Configuration, class Policy>
std::size_t configuration_keeper<Configuration, Policy>::alivePeers() const
{
    return static_cast<std::size_t>(
        std::count_if(m_members.begin(), m_members.end(), [this](const member &candidate) {
            return candidate.state == member_state::Alive && candidate.vm.vm != m_options.self.vm;
        }));
}

// Members that were never heard of count: a new node would otherwise be content with the first
// answer, which may come from another new one.
template <class Configuration, class Policy>
std::size_t configuration_keeper<Configuration, Policy>::possiblePeers() const
{
    return static_cast<std::size_t>(
        std::count_if(m_members.begin(), m_members.end(), [this](const member &candidate) {
            return candidate.state != member_state::Dead && candidate.vm.vm != m_options.self.vm;
        }));
}

// Before the VM list is here the node knows no peer either, and the service may be stale: only a
// list that names this node, and no other, makes the service's answer enough.
template <class Configuration, class Policy>
bool configuration_keeper<Configuration, Policy>::knownToBeAlone() const
{
    return m_members.size() == 1 && m_members.front().listed;
}

template <class Configuration, class Policy>
bool configuration_keeper<Configuration, Policy>::inOtherDataCenter(const vm_id &vm) const
{
    for (const member &candidate : m_members) {
        if (candidate.vm.vm == vm)
            return candidate.vm.dataCenter != m_options.self.dataCenter;
    }
    return false;
}

template <class Configuration, class Policy>
bool configuration_keeper<Configuration, Policy>::isHolder(const vm_id &vm) const
{
    return m_offer
        && std::find(m_offer->holders.begin(), m_offer->holders.end(), vm)
        != m_offer->holders.end();
}

template <class Configuration, class Policy>
bool configuration_keeper<Configuration, Policy>::isRefused(const configuration_stamp &stamp) const
{
    return std::find(m_refused.begin(), m_refused.end(), stamp) != m_refused.end();
}

} // namespace orchidlead
