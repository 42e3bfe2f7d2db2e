#pragma once

#include "gateway/quarantine/request_digest.h"
#include "gateway/quarantine/server_crash_detector.h"

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

/// How a request is treated because of server crashes during it.
enum class quarantine_level : std::uint8_t {
    Unrestricted, ///< sent without restriction
    Suspected, ///< tried on one server at a time, across all nodes
    Quarantined, ///< not sent to any server
};

/// The decision about one request. Nodes exchange entries; a later version of an entry replaces an
/// earlier one.
struct quarantine_entry
{
    request_digest request;
    quarantine_level level = quarantine_level::Unrestricted;
    /// Wall-clock time of the deciding node in microseconds; always greater than the version of the
    /// previous entry.
    std::uint64_t version = 0;
    /// When the entry expires: a quarantined request becomes suspected, other entries are removed.
    steady_time expiresAt{};
    std::uint32_t quarantineCount = 0; ///< number of quarantines since the request was last served
};

/// Records which requests were in flight when servers crashed, and stops sending requests that
/// crash servers. Does no I/O.
///
/// A request that crashes its server does so wherever it is sent, and its caller repeats it. Each
/// crash also fails the requests of other callers, so one such caller can bring down all servers of
/// a service within seconds.
///
/// Three rules keep other requests that were in flight to the same servers out of quarantine.
/// Servers that crash together count as one crash, unless the request was sent to the later one
/// after the earlier one had crashed. A crash is attributed only to the requests that were in
/// flight during the most crashes. No crash is attributed to a request that any node served
/// recently.
class request_quarantine
{
public:
    explicit request_quarantine(const clock_source &clock);

    /// Adds a crash that a node detected. Returns false if it adds no information.
    bool onServerCrash(const server_crash &crash);
    /// Updates the levels of requests that crashes were added for since the last call. Returns the
    /// changed entries.
    [[nodiscard]] std::vector<quarantine_entry> decide();
    /// Records that a server completed the request successfully. Returns the entry if it changed.
    [[nodiscard]] std::optional<quarantine_entry> onRequestServed(const request_digest &request);
    /// Merges an entry from another node. Returns the entry that is now in force if it changed.
    [[nodiscard]] std::optional<quarantine_entry> merge(const quarantine_entry &entry);

    /// How a request is treated now, and the remaining time of its quarantine if it is in one.
    struct quarantine_status
    {
        quarantine_level level = quarantine_level::Unrestricted;
        milliseconds remaining{0};
    };
    [[nodiscard]] quarantine_status statusOf(const request_digest &request) const;

    /// Returns whether the request may be sent now. For a suspected request this starts a trial,
    /// unless one is in progress.
    [[nodiscard]] bool tryStartTrial(const request_digest &request);
    void endTrial(const request_digest &request) { m_trialExpiry.erase(request); }

    /// Return the state that another node needs to take over the decisions.
    [[nodiscard]] std::vector<server_crash> crashes() const;
    [[nodiscard]] std::vector<quarantine_entry> entries() const;
    /// Removes expired records; to be called about once per second.
    void removeExpired();

    /// The number of independent crashes during a request, and of those attributed to it.
    struct evidence
    {
        std::uint32_t crashCount = 0;
        /// Of `crashCount`, those attributed to the request.
        std::uint32_t attributedCrashCount = 0;
        std::vector<backend_server_id> servers; ///< in the order of their crashes
    };
    [[nodiscard]] evidence evidenceOf(const request_digest &request) const;

private:
    using crash_list = std::list<server_crash>;

    [[nodiscard]] crash_list::iterator findCrash(const server_crash &crash);
    [[nodiscard]] bool servedRecently(const request_digest &request, steady_time at) const;
    /// One crash during which a request was in flight.
    struct exposure
    {
        steady_time sentAt;
        const server_crash *crash = nullptr;
    };
    [[nodiscard]] std::vector<exposure> exposuresOf(const request_digest &request) const;
    [[nodiscard]] static std::uint32_t countIndependent(const std::vector<exposure> &exposures);
    [[nodiscard]] std::uint32_t crashCountOf(const request_digest &request) const;
    /// Returns whether `other` is a likelier cause of a crash than a request with `crashCount`
    /// independent crashes.
    [[nodiscard]] bool isLikelierCause(const request_digest &other, std::uint32_t crashCount) const;
    [[nodiscard]] bool isAttributedTo(const server_crash &crash, const request_digest &request,
                                      std::uint32_t crashCount) const;
    [[nodiscard]] bool crashedSince(const request_digest &request, steady_time since) const;
    [[nodiscard]] quarantine_level evaluateLevel(const request_digest &request) const;
    quarantine_entry &setLevel(const request_digest &request, quarantine_level level);
    void raiseLevel(const request_digest &request, std::vector<quarantine_entry> &changed);
    void lowerMisattributed(const request_digest &request, std::vector<quarantine_entry> &changed);
    void removeExposuresOf(const request_digest &request);
    void removeCrash(crash_list::iterator crash);

    const clock_source &m_clock;
    crash_list m_crashes; ///< in the order in which they were reported
    std::unordered_map<request_digest, std::vector<crash_list::iterator>> m_crashesByRequest;
    std::unordered_set<request_digest> m_pending; ///< with crashes added since the last `decide`
    std::unordered_map<request_digest, quarantine_entry> m_entries;
    std::unordered_map<request_digest, steady_time> m_served;
    std::unordered_map<request_digest, steady_time> m_trialExpiry; ///< when trials stop blocking
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::quarantine_level>{
    orchidlead::enum_name<orchidlead::gateway::quarantine_level>{
        orchidlead::gateway::quarantine_level::Unrestricted, "free"},
    orchidlead::enum_name<orchidlead::gateway::quarantine_level>{
        orchidlead::gateway::quarantine_level::Suspected, "suspected"},
    orchidlead::enum_name<orchidlead::gateway::quarantine_level>{
        orchidlead::gateway::quarantine_level::Quarantined, "quarantined"},
};
