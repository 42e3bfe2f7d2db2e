#include "gateway/quarantine/request_quarantine.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace orchidlead::gateway {

namespace {

// Independent crashes after which a request is tried on only one server at a time, and after which
// it is sent to no server. A quarantine after two crashes would refuse every request that was in
// flight during two unrelated crashes; a quarantine after four would cost one more server.
constexpr std::uint32_t CrashesToSuspect = 2;
constexpr std::uint32_t CrashesToQuarantine = 3;
// Servers that crash within this time of each other count as one crash: a rack that loses power
// stops all its servers, whatever they run. Nodes detect a crash within a few milliseconds.
constexpr milliseconds SimultaneousWindow{100};
// Reports of one crash from several nodes differ by less than this time, and no server restarts and
// crashes again within it.
constexpr milliseconds DuplicateReportWindow{500};
// First and longest duration of a quarantine; the duration doubles with each quarantine. The caller
// of a request that was quarantined for a crash caused by another request waits this long, but each
// attempt afterwards may crash a server.
constexpr std::chrono::minutes InitialQuarantine{5};
constexpr std::chrono::minutes MaxQuarantine{60};
// How long a crash is counted. Callers repeat a request within their timeout, at most minutes.
constexpr std::chrono::minutes CrashRetention{10};
// How long crashes are not attributed to a request after it was served. Of many requests with one
// digest, some are in flight to each server that crashes while others are served elsewhere.
constexpr std::chrono::seconds ServedRetention{30};
// How long a trial whose end is not reported blocks other trials: longer than any request runs.
constexpr std::chrono::seconds MaxTrialDuration{30};
// Memory bounds: a crash takes about 100 bytes plus 50 bytes per request, an entry 150 bytes. More
// crashes than this within ten minutes mean that all servers have crashed several times over.
constexpr std::size_t MaxCrashes = 1024;
constexpr std::size_t MaxRequestsPerCrash = 512;
constexpr std::size_t MaxEntries = 8192;
constexpr std::size_t MaxServed = 16'384;

// A request to a server that has already crashed fails within a round trip, 4 ms. A server that
// started to run the request takes longer to crash.
constexpr milliseconds MinExposure{10};

} // namespace

request_quarantine::request_quarantine(const clock_source &clock)
    : m_clock(clock)
{ }

request_quarantine::crash_list::iterator request_quarantine::findCrash(const server_crash &crash)
{
    return std::ranges::find_if(m_crashes, [&](const server_crash &each) {
        const auto apart = each.at < crash.at ? crash.at - each.at : each.at - crash.at;
        return each.server == crash.server && apart < DuplicateReportWindow;
    });
}

bool request_quarantine::servedRecently(const request_digest &request, steady_time at) const
{
    const auto found = m_served.find(request);
    return found != m_served.end() && found->second + ServedRetention > at;
}

bool request_quarantine::onServerCrash(const server_crash &crash)
{
    auto known = findCrash(crash);
    const bool isNew = known == m_crashes.end();
    if (isNew) {
        if (m_crashes.size() >= MaxCrashes)
            removeCrash(m_crashes.begin());
        known = m_crashes.insert(m_crashes.end(), server_crash{crash.server, crash.at, {}});
    }
    bool addsInformation = isNew;
    for (const auto &request : crash.requests) {
        const bool full = known->requests.size() >= MaxRequestsPerCrash;
        if (full || servedRecently(request.digest, crash.at)
            || !addInterruptedRequest(*known, request))
            continue;
        m_crashesByRequest[request.digest].push_back(known);
        m_pending.insert(request.digest);
        addsInformation = true;
    }
    return addsInformation;
}

std::vector<request_quarantine::exposure>
request_quarantine::exposuresOf(const request_digest &request) const
{
    std::vector<exposure> exposures;
    const auto found = m_crashesByRequest.find(request);
    if (found == m_crashesByRequest.end())
        return exposures;
    for (const auto &crash : found->second) {
        const auto at = std::ranges::find(crash->requests, request, &in_flight_request::digest);
        exposures.push_back({at->sentAt, &*crash});
    }
    std::ranges::sort(exposures, {}, [](const exposure &each) { return each.crash->at; });
    return exposures;
}

std::uint32_t request_quarantine::countIndependent(const std::vector<exposure> &exposures)
{
    std::uint32_t count = 0;
    steady_time last;
    for (const auto &each : exposures) {
        const bool apart = last + SimultaneousWindow < each.crash->at;
        const bool exposedAfter = each.sentAt > last && each.crash->at - each.sentAt >= MinExposure;
        if (count > 0 && !apart && !exposedAfter)
            continue;
        last = each.crash->at;
        ++count;
    }
    return count;
}

std::uint32_t request_quarantine::crashCountOf(const request_digest &request) const
{
    return countIndependent(exposuresOf(request));
}

// Another request is the likelier cause if it was in flight during more crashes, or if it is in
// quarantine and was in flight during as many.
bool request_quarantine::isLikelierCause(const request_digest &other,
                                         std::uint32_t crashCount) const
{
    const auto otherCrashCount = crashCountOf(other);
    const bool quarantined = statusOf(other).level == quarantine_level::Quarantined;
    return otherCrashCount > crashCount || (quarantined && otherCrashCount == crashCount);
}

bool request_quarantine::isAttributedTo(const server_crash &crash, const request_digest &request,
                                        std::uint32_t crashCount) const
{
    return std::ranges::none_of(crash.requests, [&](const in_flight_request &other) {
        return other.digest != request && isLikelierCause(other.digest, crashCount);
    });
}

request_quarantine::evidence request_quarantine::evidenceOf(const request_digest &request) const
{
    evidence found;
    auto exposures = exposuresOf(request);
    found.crashCount = countIndependent(exposures);
    for (const auto &each : exposures)
        found.servers.push_back(each.crash->server);
    if (found.crashCount < CrashesToSuspect)
        return found;
    std::erase_if(exposures, [&](const exposure &each) {
        return !isAttributedTo(*each.crash, request, found.crashCount);
    });
    found.attributedCrashCount = countIndependent(exposures);
    return found;
}

bool request_quarantine::crashedSince(const request_digest &request, steady_time since) const
{
    return std::ranges::any_of(exposuresOf(request),
                               [&](const exposure &each) { return each.crash->at >= since; });
}

// After a first quarantine, a single further crash starts the next quarantine.
quarantine_level request_quarantine::evaluateLevel(const request_digest &request) const
{
    const auto known = m_entries.find(request);
    if (known != m_entries.end() && known->second.quarantineCount > 0) {
        const bool again = crashedSince(request, known->second.expiresAt);
        return again ? quarantine_level::Quarantined : statusOf(request).level;
    }
    const auto found = evidenceOf(request);
    if (found.attributedCrashCount >= CrashesToQuarantine)
        return quarantine_level::Quarantined;
    return found.crashCount >= CrashesToSuspect ? quarantine_level::Suspected
                                                : quarantine_level::Unrestricted;
}

quarantine_entry &request_quarantine::setLevel(const request_digest &request,
                                               quarantine_level level)
{
    auto &entry = m_entries[request];
    const auto sinceEpoch = m_clock.wallNow().time_since_epoch();
    const auto wall = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
    entry.request = request;
    entry.version = std::max(entry.version + 1, static_cast<std::uint64_t>(wall));
    entry.level = level;
    if (level == quarantine_level::Quarantined) {
        constexpr std::uint32_t MaxDoublings = 4;
        const auto doublings = std::min(entry.quarantineCount, MaxDoublings);
        const auto time = std::min(InitialQuarantine * (1U << doublings), MaxQuarantine);
        entry.expiresAt = m_clock.now() + time;
        ++entry.quarantineCount;
    } else {
        entry.expiresAt = m_clock.now() + CrashRetention;
        entry.quarantineCount = 0;
    }
    return entry;
}

// Only raises the level. Apart from expiry, a level is lowered only when the request is served or
// when its crashes are attributed to another request.
void request_quarantine::raiseLevel(const request_digest &request,
                                    std::vector<quarantine_entry> &changed)
{
    const auto level = evaluateLevel(request);
    const bool full = m_entries.size() >= MaxEntries && !m_entries.contains(request);
    if (level <= statusOf(request).level || full)
        return;
    changed.push_back(setLevel(request, level));
    if (level == quarantine_level::Quarantined)
        lowerMisattributed(request, changed);
}

// Crashes that were attributed to other requests may now be attributed to this one. Requests that
// were quarantined for these crashes become suspected again.
void request_quarantine::lowerMisattributed(const request_digest &request,
                                            std::vector<quarantine_entry> &changed)
{
    for (const auto &each : exposuresOf(request)) {
        for (const auto &[other, sentAt] : each.crash->requests) {
            const auto found = m_entries.find(other);
            if (other == request || found == m_entries.end())
                continue;
            const bool inFirstQuarantine = found->second.level == quarantine_level::Quarantined
                && found->second.quarantineCount == 1;
            if (inFirstQuarantine && evidenceOf(other).attributedCrashCount < CrashesToQuarantine)
                changed.push_back(setLevel(other, quarantine_level::Suspected));
        }
    }
}

std::vector<quarantine_entry> request_quarantine::decide()
{
    std::vector<quarantine_entry> changed;
    std::vector<request_digest> pending(m_pending.begin(), m_pending.end());
    m_pending.clear();
    // In descending order of crashes, because a request with more crashes may account for the
    // crashes of the others.
    std::ranges::sort(pending, std::greater<>{}, [this](const request_digest &each) {
        return std::pair(crashCountOf(each), each);
    });
    for (const auto &each : pending)
        raiseLevel(each, changed);
    return changed;
}

void request_quarantine::removeExposuresOf(const request_digest &request)
{
    const auto found = m_crashesByRequest.find(request);
    if (found == m_crashesByRequest.end())
        return;
    for (const auto &crash : found->second)
        std::erase_if(crash->requests, [&](const auto &each) { return each.digest == request; });
    m_crashesByRequest.erase(found);
}

void request_quarantine::removeCrash(crash_list::iterator crash)
{
    for (const auto &request : crash->requests) {
        const auto found = m_crashesByRequest.find(request.digest);
        std::erase(found->second, crash);
        if (found->second.empty())
            m_crashesByRequest.erase(found);
    }
    m_crashes.erase(crash);
}

std::optional<quarantine_entry> request_quarantine::onRequestServed(const request_digest &request)
{
    if (m_served.size() < MaxServed || m_served.contains(request))
        m_served[request] = m_clock.now();
    m_trialExpiry.erase(request);
    removeExposuresOf(request);
    const auto found = m_entries.find(request);
    if (found == m_entries.end() || found->second.level == quarantine_level::Unrestricted)
        return std::nullopt;
    return setLevel(request, quarantine_level::Unrestricted);
}

std::optional<quarantine_entry> request_quarantine::merge(const quarantine_entry &entry)
{
    const auto found = m_entries.find(entry.request);
    if (found != m_entries.end() && found->second.version >= entry.version)
        return std::nullopt;
    if (found == m_entries.end() && m_entries.size() >= MaxEntries)
        return std::nullopt;
    auto &kept = m_entries[entry.request];
    kept = entry;
    // The node that decided this entry did not know that the request has been served here.
    if (kept.level != quarantine_level::Unrestricted
        && servedRecently(entry.request, m_clock.now()))
        kept = setLevel(entry.request, quarantine_level::Unrestricted);
    if (kept.level == quarantine_level::Unrestricted)
        removeExposuresOf(entry.request);
    return kept;
}

request_quarantine::quarantine_status
request_quarantine::statusOf(const request_digest &request) const
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end())
        return {};
    const auto &entry = found->second;
    const auto now = m_clock.now();
    if (entry.level == quarantine_level::Quarantined && now >= entry.expiresAt)
        return {quarantine_level::Suspected, milliseconds{0}};
    if (entry.level != quarantine_level::Quarantined)
        return {entry.level, milliseconds{0}};
    return {entry.level, std::chrono::duration_cast<milliseconds>(entry.expiresAt - now)};
}

bool request_quarantine::tryStartTrial(const request_digest &request)
{
    const auto level = statusOf(request).level;
    if (level != quarantine_level::Suspected)
        return level == quarantine_level::Unrestricted;
    const auto now = m_clock.now();
    auto &until = m_trialExpiry[request];
    if (until > now)
        return false;
    until = now + MaxTrialDuration;
    return true;
}

std::vector<server_crash> request_quarantine::crashes() const
{
    return {m_crashes.begin(), m_crashes.end()};
}

std::vector<quarantine_entry> request_quarantine::entries() const
{
    std::vector<quarantine_entry> all;
    all.reserve(m_entries.size());
    for (const auto &[request, entry] : m_entries)
        all.push_back(entry);
    return all;
}

void request_quarantine::removeExpired()
{
    const auto now = m_clock.now();
    for (auto crash = m_crashes.begin(); crash != m_crashes.end();) {
        const auto next = std::next(crash);
        if (crash->at + CrashRetention < now)
            removeCrash(crash);
        crash = next;
    }
    std::erase_if(m_served, [&](const auto &each) { return each.second + ServedRetention < now; });
    std::erase_if(m_pending, [&](const auto &each) { return !m_crashesByRequest.contains(each); });
    std::erase_if(m_trialExpiry, [&](const auto &each) { return each.second < now; });
    std::erase_if(m_entries, [&](const auto &each) {
        const auto &entry = each.second;
        const auto retention = entry.quarantineCount > 0 ? MaxQuarantine : std::chrono::minutes{0};
        return entry.expiresAt + retention < now;
    });
}

} // namespace orchidlead::gateway
