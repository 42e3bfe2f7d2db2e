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

/// How a request, or all requests with a part of a prompt, are treated because of server crashes
/// during them.
enum class quarantine_level : std::uint8_t {
    Unrestricted, ///< sent without restriction
    Suspected, ///< tried on one server at a time, across all nodes
    Quarantined, ///< not sent to any server
};

/// The decision about one request or part of a prompt. Nodes exchange entries; a later version of
/// an entry replaces an earlier one.
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
    bool isPart = false;
    /// Of a part: when the last but one server crashed during requests with it. A node that served
    /// such a request afterwards overrides the entry.
    steady_time disputableSince{};
};

/// Records which requests were in flight when servers crashed, and stops sending requests that
/// crash servers. Does no I/O.
///
/// A request that crashes its server does so wherever it is sent, and its caller repeats it. Each
/// crash also fails the requests of other callers, so one such caller can bring down all servers of
/// a service within seconds.
///
/// The cause may be a part of the prompt that many different requests share, so parts are recorded
/// like requests, for each customer. A part that crashes servers does so in each request and is
/// never served.
///
/// Three rules keep other requests and parts that were in flight to the same servers out of
/// quarantine. Servers that crash together count as one crash, unless the request was sent to the
/// later one after the earlier one had crashed. A crash is attributed only to the subjects that
/// were in flight during the most crashes, and of several such to the narrowest. No crash is
/// attributed to a request that any node served recently, or to a part of a request that any node
/// began to serve after it.
///
/// A customer can't have the requests of others quarantined by sending their parts: a part that is
/// quarantined for two customers is tried on one server at a time for all others, and quarantined
/// for them once it is for three.
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
    /// Records that a server answered a request with the part of a prompt, beginning at `at`.
    /// Returns the entry if it changed.
    [[nodiscard]] std::optional<quarantine_entry> onPartServed(const request_digest &part,
                                                               steady_time at);
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
    /// Returns whether the service of a request or part shows that it did not cause a crash.
    [[nodiscard]] bool isCleared(const crash_subject &subject, steady_time crashedAt) const;
    void recordServed(const request_digest &subject, steady_time at);
    /// One crash during which a request was in flight.
    struct exposure
    {
        steady_time sentAt;
        const server_crash *crash = nullptr;
    };
    /// What is known of a request or part that was in flight during crashes.
    struct subject_record
    {
        std::vector<crash_list::iterator> crashes;
        std::uint8_t breadth = 0;
        request_digest shared{};
    };
    [[nodiscard]] std::vector<exposure> exposuresOf(const request_digest &request) const;
    [[nodiscard]] static std::uint32_t countIndependent(const std::vector<exposure> &exposures);
    [[nodiscard]] std::uint32_t crashCountOf(const request_digest &request) const;
    /// During how many independent crashes a subject was in flight.
    struct subject_weight
    {
        std::uint32_t crashes = 0; ///< of a part: in requests of all customers
        std::uint32_t ownCrashes = 0; ///< in requests of the subject's customer
        std::uint8_t breadth = 0;
    };
    [[nodiscard]] subject_weight weightOf(const request_digest &subject) const;
    /// Returns whether `other` is a likelier cause of a crash than a subject of this weight.
    [[nodiscard]] bool isLikelierCause(const crash_subject &other,
                                       const subject_weight &weight) const;
    /// Returns the record of a request or part; null if it was in flight during no crash.
    [[nodiscard]] const subject_record *recordOf(const request_digest &subject) const;
    [[nodiscard]] bool isPart(const request_digest &subject) const;
    /// Returns whether a part has been suspected for so long that all nodes could object.
    [[nodiscard]] bool objectionsPassed(const request_digest &part) const;
    /// Suspects or quarantines a part for all customers once it is quarantined for several.
    void raiseSharedLevel(const request_digest &part, std::vector<quarantine_entry> &changed);
    [[nodiscard]] bool isSuspectedForAll(const request_digest &part) const;
    [[nodiscard]] bool isAttributedTo(const server_crash &crash, const request_digest &request,
                                      const subject_weight &weight) const;
    [[nodiscard]] bool crashedSince(const request_digest &request, steady_time since) const;
    [[nodiscard]] quarantine_level evaluateLevel(const request_digest &request) const;
    quarantine_entry &setLevel(const request_digest &request, quarantine_level level);
    void raiseLevel(const request_digest &request, std::vector<quarantine_entry> &changed);
    void lowerMisattributed(const request_digest &request, std::vector<quarantine_entry> &changed);
    using subject_map = std::unordered_map<request_digest, subject_record>;

    void removeSubject(subject_map::iterator subject);
    /// Removes the subject from crashes before a time.
    void removeExposuresOf(const request_digest &request, steady_time before = steady_time::max());
    void removeCrash(crash_list::iterator crash);

    const clock_source &m_clock;
    crash_list m_crashes; ///< in the order in which they were reported
    subject_map m_subjects;
    /// The parts in `m_subjects` by their digest for all customers together.
    std::unordered_map<request_digest, std::unordered_set<request_digest>> m_customerParts;
    std::unordered_map<request_digest, steady_time> m_suspectedAt; ///< parts suspected by this node
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
