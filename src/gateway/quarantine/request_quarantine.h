#pragma once

#include "gateway/quarantine/request_digest.h"
#include "gateway/quarantine/server_end_observer.h"

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace orchidlead::gateway {

/// How a request is treated on account of the servers that ended under it.
enum class quarantine_level : std::uint8_t {
    Free, ///< as any other
    Suspected, ///< tried on one server at a time, by all nodes together
    Quarantined, ///< sent to no server
};

/// What was decided about one request. Nodes hand entries to each other; the later version of an
/// entry replaces the earlier one.
struct quarantine_entry
{
    request_digest request;
    quarantine_level level = quarantine_level::Free;
    /// Microseconds of the decider's time of day, and more than that of the entry before.
    std::uint64_t version = 0;
    /// A quarantine ends then, and the request is suspected; other entries are forgotten.
    steady_time until{};
    std::uint32_t times = 0; ///< that it was quarantined since it was last served
};

/// Remembers under which requests servers ended, and keeps requests that end servers from them. No
/// I/O.
///
/// A request that crashes the server that runs it does so wherever it is sent, and its caller
/// repeats it. Every server that ends takes the requests of other callers with it, so one such
/// caller can empty a service within seconds.
///
/// Requests that happened to be at the same servers are told from it so: servers that end together
/// count as one end, unless the request came to the later one after the earlier one; an end counts
/// only against those that were at the most ends; and a request that was served lately, by any
/// node, isn't blamed at all.
class request_quarantine
{
public:
    explicit request_quarantine(const clock_source &clock);

    /// Takes what a node saw. False where nothing of it is new.
    bool onServerEnd(const server_end &end);
    /// Decides about the requests of ends that were taken since the last call; gives what changed.
    [[nodiscard]] std::vector<quarantine_entry> decide();
    /// A server ran the request to a good end. Gives the entry where that changes it.
    [[nodiscard]] std::optional<quarantine_entry> onServed(const request_digest &request);
    /// Takes another node's entry. Gives what is in force then, where it differs from before.
    [[nodiscard]] std::optional<quarantine_entry> merge(const quarantine_entry &entry);

    /// How a request is treated now, and how long that lasts where it is in quarantine.
    struct standing
    {
        quarantine_level level = quarantine_level::Free;
        milliseconds left{0};
    };
    [[nodiscard]] standing standingOf(const request_digest &request) const;

    /// Gives a suspected request the right to be sent to one server, unless it is at one now.
    [[nodiscard]] bool tryTrial(const request_digest &request);
    void endTrial(const request_digest &request) { m_trials.erase(request); }

    /// What another node needs to go on from here.
    [[nodiscard]] std::vector<server_end> ends() const;
    [[nodiscard]] std::vector<quarantine_entry> entries() const;
    /// Forgets what is too old to count; call every second or so.
    void forgetOld();

    /// Independent ends that a request was at, and those of them that count against it.
    struct evidence
    {
        std::uint32_t seen = 0;
        std::uint32_t charged = 0;
        std::vector<backend_server_id> servers; ///< that ended, in that order
    };
    [[nodiscard]] evidence evidenceOf(const request_digest &request) const;

private:
    using end_list = std::list<server_end>;

    [[nodiscard]] end_list::iterator findEnd(const server_end &end);
    [[nodiscard]] bool servedLately(const request_digest &request, steady_time at) const;
    /// An end that a request was at.
    struct run
    {
        steady_time sentAt;
        const server_end *end = nullptr;
    };
    [[nodiscard]] std::vector<run> runsOf(const request_digest &request) const;
    [[nodiscard]] static std::uint32_t countIndependent(const std::vector<run> &runs);
    [[nodiscard]] std::uint32_t seenBy(const request_digest &request) const;
    /// `seen`: ends that the request was at, as in the evidence.
    [[nodiscard]] bool explains(const request_digest &other, std::uint32_t seen) const;
    [[nodiscard]] bool countsAgainst(const server_end &end, const request_digest &request,
                                     std::uint32_t seen) const;
    [[nodiscard]] bool endedSince(const request_digest &request, steady_time since) const;
    [[nodiscard]] quarantine_level judge(const request_digest &request) const;
    quarantine_entry &set(const request_digest &request, quarantine_level level);
    void decideAbout(const request_digest &request, std::vector<quarantine_entry> &changed);
    void clearOthersAt(const request_digest &request, std::vector<quarantine_entry> &changed);
    void forgetEndsOf(const request_digest &request);
    void forgetEnd(end_list::iterator end);

    const clock_source &m_clock;
    end_list m_ends; ///< in the order in which they were told
    std::unordered_map<request_digest, std::vector<end_list::iterator>> m_byRequest;
    std::unordered_set<request_digest> m_undecided; ///< at ends that were taken since
    std::unordered_map<request_digest, quarantine_entry> m_entries;
    std::unordered_map<request_digest, steady_time> m_served;
    std::unordered_map<request_digest, steady_time> m_trials; ///< until when they bar others
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::quarantine_level>{
    orchidlead::enum_name<orchidlead::gateway::quarantine_level>{
        orchidlead::gateway::quarantine_level::Free, "free"},
    orchidlead::enum_name<orchidlead::gateway::quarantine_level>{
        orchidlead::gateway::quarantine_level::Suspected, "suspected"},
    orchidlead::enum_name<orchidlead::gateway::quarantine_level>{
        orchidlead::gateway::quarantine_level::Quarantined, "quarantined"},
};
