#include "gateway/quarantine/request_quarantine.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <tuple>
#include <utility>

namespace orchidlead::gateway {

namespace {

// Independent crashes after which a request is tried on only one server at a time, and after which
// it is sent to no server. A quarantine after two crashes would refuse every request that was in
// flight during two unrelated crashes; a quarantine after four would cost one more server.
constexpr std::uint32_t CrashesToSuspect = 2;
constexpr std::uint32_t CrashesToQuarantine = 3;
// Customers for which a part must be quarantined before it is suspected, and quarantined, for all
// others. A single customer must not be able to have the requests of others refused.
constexpr std::ptrdiff_t CustomersToSuspectForAll = 2;
constexpr std::ptrdiff_t CustomersToQuarantineForAll = 3;
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
// A part is quarantined only after it has been suspected for this time. Other nodes may have served
// requests with it since the crashes; they object within a round trip, 40 ms between regions.
constexpr milliseconds ObjectionTime{100};
// Answers of requests that were sent before a part began to crash servers may begin until this time
// after its first crash; they don't clear it of later ones.
constexpr milliseconds ServedGrace{2000};
// How long a trial whose end is not reported blocks other trials: longer than any request runs.
constexpr std::chrono::seconds MaxTrialDuration{30};
// Memory bounds: a crash takes about 100 bytes plus 100 bytes per subject, an entry 200 bytes. More
// crashes than this within ten minutes mean that all servers have crashed several times over.
constexpr std::size_t MaxCrashes = 1024;
constexpr std::size_t MaxSubjectsPerCrash = 512;
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

bool request_quarantine::isCleared(const crash_subject &subject, steady_time crashedAt) const
{
    if (!subject.isPart())
        return servedRecently(subject.digest, crashedAt);
    const auto found = m_served.find(subject.digest);
    return found != m_served.end() && found->second + ServedGrace > crashedAt;
}

void request_quarantine::recordServed(const request_digest &subject, steady_time at)
{
    if (m_served.size() >= MaxServed && !m_served.contains(subject))
        return;
    auto &last = m_served[subject];
    last = std::max(last, at);
}

const request_quarantine::subject_record *
request_quarantine::recordOf(const request_digest &subject) const
{
    const auto found = m_subjects.find(subject);
    return found == m_subjects.end() ? nullptr : &found->second;
}

bool request_quarantine::isPart(const request_digest &subject) const
{
    const auto *record = recordOf(subject);
    return record && record->breadth > 0;
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
    for (const auto &subject : crash.subjects) {
        const bool full = known->subjects.size() >= MaxSubjectsPerCrash;
        if (full || isCleared(subject, crash.at) || !addSubject(*known, subject))
            continue;
        auto &record = m_subjects[subject.digest];
        record.crashes.push_back(known);
        record.breadth = subject.breadth;
        record.shared = subject.shared;
        if (subject.isPart())
            m_customerParts[subject.shared].insert(subject.digest);
        m_pending.insert(subject.digest);
        addsInformation = true;
    }
    return addsInformation;
}

std::vector<request_quarantine::exposure>
request_quarantine::exposuresOf(const request_digest &request) const
{
    std::vector<exposure> exposures;
    const auto *record = recordOf(request);
    if (!record)
        return exposures;
    for (const auto &crash : record->crashes) {
        const auto at = std::ranges::find(crash->subjects, request, &crash_subject::digest);
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

// Another subject is the likelier cause if it was in flight during more crashes, of all customers
// and then of its own one, or if it was in flight during as many and is in quarantine or narrower.
bool request_quarantine::isLikelierCause(const crash_subject &other,
                                         const subject_weight &weight) const
{
    const auto otherWeight = weightOf(other.digest);
    const auto crashes = std::pair(weight.crashes, weight.ownCrashes);
    const auto otherCrashes = std::pair(otherWeight.crashes, otherWeight.ownCrashes);
    const bool quarantined = statusOf(other.digest).level == quarantine_level::Quarantined;
    return otherCrashes > crashes
        || (otherCrashes == crashes && (quarantined || other.breadth < weight.breadth));
}

request_quarantine::subject_weight request_quarantine::weightOf(const request_digest &subject) const
{
    const auto *record = recordOf(subject);
    if (!record)
        return {};
    auto exposures = exposuresOf(subject);
    subject_weight weight;
    weight.breadth = record->breadth;
    weight.ownCrashes = countIndependent(exposures);
    weight.crashes = weight.ownCrashes;
    const auto parts = m_customerParts.find(record->shared);
    if (parts == m_customerParts.end() || parts->second.size() == 1)
        return weight;
    for (const auto &each : parts->second) {
        if (each != subject)
            std::ranges::copy(exposuresOf(each), std::back_inserter(exposures));
    }
    std::ranges::sort(exposures, {}, [](const exposure &each) { return each.crash->at; });
    weight.crashes = countIndependent(exposures);
    return weight;
}

bool request_quarantine::isAttributedTo(const server_crash &crash, const request_digest &request,
                                        const subject_weight &weight) const
{
    return std::ranges::none_of(crash.subjects, [&](const crash_subject &other) {
        return other.digest != request && isLikelierCause(other, weight);
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
    const auto weight = weightOf(request);
    std::erase_if(exposures, [&](const exposure &each) {
        return !isAttributedTo(*each.crash, request, weight);
    });
    found.attributedCrashCount = countIndependent(exposures);
    return found;
}

bool request_quarantine::crashedSince(const request_digest &request, steady_time since) const
{
    return std::ranges::any_of(exposuresOf(request),
                               [&](const exposure &each) { return each.crash->at >= since; });
}

bool request_quarantine::objectionsPassed(const request_digest &part) const
{
    const auto suspected = m_suspectedAt.find(part);
    const bool byOther =
        suspected == m_suspectedAt.end() && statusOf(part).level == quarantine_level::Suspected;
    return byOther
        || (suspected != m_suspectedAt.end() && m_clock.now() - suspected->second >= ObjectionTime);
}

bool request_quarantine::isSuspectedForAll(const request_digest &part) const
{
    const auto *record = recordOf(part);
    return record && record->breadth > 0
        && statusOf(record->shared).level != quarantine_level::Unrestricted;
}

// After a first quarantine, a single further crash starts the next quarantine. So does a crash
// under a part that crashed servers for other customers.
quarantine_level request_quarantine::evaluateLevel(const request_digest &request) const
{
    const auto known = m_entries.find(request);
    if (known != m_entries.end() && known->second.quarantineCount > 0) {
        const bool again = crashedSince(request, known->second.expiresAt);
        return again ? quarantine_level::Quarantined : statusOf(request).level;
    }
    if (isSuspectedForAll(request))
        return quarantine_level::Quarantined;
    const auto found = evidenceOf(request);
    const bool ofPart = isPart(request);
    const bool mayQuarantine = !ofPart || objectionsPassed(request);
    if (found.attributedCrashCount >= CrashesToQuarantine && mayQuarantine)
        return quarantine_level::Quarantined;
    // Most parts that were in flight during crashes are shared by many requests that are served.
    const auto crashCount = ofPart ? found.attributedCrashCount : found.crashCount;
    return crashCount >= CrashesToSuspect ? quarantine_level::Suspected
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
    const auto exposures = exposuresOf(request);
    entry.isPart = entry.isPart || isPart(request);
    if (exposures.size() > 1)
        entry.disputableSince = exposures[exposures.size() - 2].crash->at;
    if (level == quarantine_level::Suspected && entry.isPart)
        m_suspectedAt[request] = m_clock.now();
    else
        m_suspectedAt.erase(request);
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
    if (level != quarantine_level::Quarantined)
        return;
    lowerMisattributed(request, changed);
    raiseSharedLevel(request, changed);
}

void request_quarantine::raiseSharedLevel(const request_digest &part,
                                          std::vector<quarantine_entry> &changed)
{
    const auto *record = recordOf(part);
    if (!record || record->breadth == 0)
        return;
    const auto &parts = m_customerParts.at(record->shared);
    const auto customers = std::ranges::count_if(parts, [&](const request_digest &each) {
        return statusOf(each).level == quarantine_level::Quarantined;
    });
    auto level = quarantine_level::Unrestricted;
    if (customers >= CustomersToQuarantineForAll)
        level = quarantine_level::Quarantined;
    else if (customers >= CustomersToSuspectForAll)
        level = quarantine_level::Suspected;
    if (level <= statusOf(record->shared).level)
        return;
    auto &entry = setLevel(record->shared, level);
    entry.isPart = true;
    entry.disputableSince = m_clock.now();
    changed.push_back(entry);
    // One crash is enough from now on for each of the customers that send the part.
    m_pending.insert(parts.begin(), parts.end());
}

// Crashes that were attributed to other requests may now be attributed to this one. Requests that
// were quarantined for these crashes become suspected again.
void request_quarantine::lowerMisattributed(const request_digest &request,
                                            std::vector<quarantine_entry> &changed)
{
    for (const auto &each : exposuresOf(request)) {
        for (const auto &subject : each.crash->subjects) {
            const auto &other = subject.digest;
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
    // In descending order of crashes, because a subject with more crashes may account for the
    // crashes of the others; of several with as many the narrowest first.
    std::ranges::sort(pending, std::greater<>{}, [this](const request_digest &each) {
        const auto weight = weightOf(each);
        return std::tuple(weight.crashes, weight.ownCrashes, -int{weight.breadth}, each);
    });
    for (const auto &each : pending) {
        raiseLevel(each, changed);
        if (m_suspectedAt.contains(each) && !objectionsPassed(each))
            m_pending.insert(each);
    }
    return changed;
}

void request_quarantine::removeSubject(subject_map::iterator subject)
{
    if (const auto parts = m_customerParts.find(subject->second.shared);
        parts != m_customerParts.end()) {
        parts->second.erase(subject->first);
        if (parts->second.empty())
            m_customerParts.erase(parts);
    }
    m_subjects.erase(subject);
}

void request_quarantine::removeExposuresOf(const request_digest &request, steady_time before)
{
    const auto found = m_subjects.find(request);
    if (found == m_subjects.end())
        return;
    std::erase_if(found->second.crashes, [&](const auto &crash) {
        if (crash->at >= before)
            return false;
        std::erase_if(crash->subjects, [&](const auto &each) { return each.digest == request; });
        return true;
    });
    if (found->second.crashes.empty())
        removeSubject(found);
}

void request_quarantine::removeCrash(crash_list::iterator crash)
{
    for (const auto &subject : crash->subjects) {
        const auto found = m_subjects.find(subject.digest);
        std::erase(found->second.crashes, crash);
        if (found->second.crashes.empty())
            removeSubject(found);
    }
    m_crashes.erase(crash);
}

std::optional<quarantine_entry> request_quarantine::onRequestServed(const request_digest &request)
{
    recordServed(request, m_clock.now());
    m_trialExpiry.erase(request);
    removeExposuresOf(request);
    const auto found = m_entries.find(request);
    if (found == m_entries.end() || found->second.level == quarantine_level::Unrestricted)
        return std::nullopt;
    return setLevel(request, quarantine_level::Unrestricted);
}

// Exposures to crashes after the answer began remain: the part may have begun to crash servers.
std::optional<quarantine_entry> request_quarantine::onPartServed(const request_digest &part,
                                                                 steady_time at)
{
    recordServed(part, at);
    removeExposuresOf(part, at + ServedGrace);
    const auto found = m_entries.find(part);
    if (found == m_entries.end() || found->second.level == quarantine_level::Unrestricted
        || at + ServedGrace <= found->second.disputableSince)
        return std::nullopt;
    m_trialExpiry.erase(part);
    return setLevel(part, quarantine_level::Unrestricted);
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
    m_suspectedAt.erase(entry.request);
    // The node that decided this entry did not know that the request has been served here.
    const crash_subject subject{
        entry.request, {}, entry.isPart ? std::uint8_t{1} : std::uint8_t{0}};
    const auto evidenceAt = entry.isPart ? entry.disputableSince : m_clock.now();
    if (kept.level != quarantine_level::Unrestricted && isCleared(subject, evidenceAt))
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
    std::erase_if(m_pending, [&](const auto &each) { return !m_subjects.contains(each); });
    std::erase_if(m_suspectedAt, [&](const auto &each) { return !m_entries.contains(each.first); });
    std::erase_if(m_trialExpiry, [&](const auto &each) { return each.second < now; });
    std::erase_if(m_entries, [&](const auto &each) {
        const auto &entry = each.second;
        const auto retention = entry.quarantineCount > 0 ? MaxQuarantine : std::chrono::minutes{0};
        return entry.expiresAt + retention < now;
    });
}

} // namespace orchidlead::gateway
