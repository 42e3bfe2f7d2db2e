#include "gateway/quarantine/request_quarantine.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace orchidlead::gateway {

namespace {

// Ends under a request before it is tried on one server at a time, and before it is tried on none.
// With two, any request that met two crashes would be refused; with four, one server more is lost.
constexpr std::uint32_t EndsToSuspect = 2;
constexpr std::uint32_t EndsToQuarantine = 3;
// Servers that end within this time of each other count as one end: a rack that loses power takes
// all its servers, whatever they run. Nodes notice within a few milliseconds.
constexpr milliseconds Together{100};
// Reports of one server's end from several nodes differ by less than this, and no server is back
// and ends again within it.
constexpr milliseconds SameEnd{500};
// How long a request is in quarantine at first, and at most; doubled each time. A caller whose
// request was taken for another one's crash waits so long, and each try afterwards may cost a
// server.
constexpr std::chrono::minutes FirstQuarantine{5};
constexpr std::chrono::minutes LongestQuarantine{60};
// How long ends count. Callers repeat within their patience, at most minutes.
constexpr std::chrono::minutes EndMemory{10};
// How long a request that was served isn't blamed: many requests with one digest, of which some are
// at each server that ends, are served elsewhere meanwhile.
constexpr std::chrono::seconds ServedMemory{30};
// How long a trial bars others where nothing is heard of its end: longer than any request runs.
constexpr std::chrono::seconds LongestTrial{30};
// Bounds on memory: an end takes about 100 bytes and 50 for each request, an entry 150. A day with
// more ends than these in ten minutes has lost all servers several times over.
constexpr std::size_t MaxEnds = 1024;
constexpr std::size_t MaxRequestsOfEnd = 512;
constexpr std::size_t MaxEntries = 8192;
constexpr std::size_t MaxServed = 16'384;

// A server that had ended already answers a request so within a round trip, 4 ms; one on which it
// began to run takes longer to end.
constexpr milliseconds LeastRun{10};

} // namespace

request_quarantine::request_quarantine(const clock_source &clock)
    : m_clock(clock)
{ }

request_quarantine::end_list::iterator request_quarantine::findEnd(const server_end &end)
{
    return std::ranges::find_if(m_ends, [&](const server_end &each) {
        const auto apart = each.at < end.at ? end.at - each.at : each.at - end.at;
        return each.server == end.server && apart < SameEnd;
    });
}

bool request_quarantine::servedLately(const request_digest &request, steady_time at) const
{
    const auto found = m_served.find(request);
    return found != m_served.end() && found->second + ServedMemory > at;
}

bool request_quarantine::onServerEnd(const server_end &end)
{
    auto known = findEnd(end);
    const bool isNew = known == m_ends.end();
    if (isNew) {
        if (m_ends.size() >= MaxEnds)
            forgetEnd(m_ends.begin());
        known = m_ends.insert(m_ends.end(), server_end{end.server, end.at, {}});
    }
    bool learnt = isNew;
    for (const auto &request : end.requests) {
        const bool full = known->requests.size() >= MaxRequestsOfEnd;
        if (full || servedLately(request.digest, end.at) || !addInterrupted(*known, request))
            continue;
        m_byRequest[request.digest].push_back(known);
        m_undecided.insert(request.digest);
        learnt = true;
    }
    return learnt;
}

std::vector<request_quarantine::run> request_quarantine::runsOf(const request_digest &request) const
{
    std::vector<run> runs;
    const auto found = m_byRequest.find(request);
    if (found == m_byRequest.end())
        return runs;
    for (const auto &end : found->second) {
        const auto at = std::ranges::find(end->requests, request, &interrupted_request::digest);
        runs.push_back({at->sentAt, &*end});
    }
    std::ranges::sort(runs, {}, [](const run &each) { return each.end->at; });
    return runs;
}

std::uint32_t request_quarantine::countIndependent(const std::vector<run> &runs)
{
    std::uint32_t count = 0;
    steady_time last;
    for (const auto &each : runs) {
        const bool apart = last + Together < each.end->at;
        const bool ranAfter = each.sentAt > last && each.end->at - each.sentAt >= LeastRun;
        if (count > 0 && !apart && !ranAfter)
            continue;
        last = each.end->at;
        ++count;
    }
    return count;
}

std::uint32_t request_quarantine::seenBy(const request_digest &request) const
{
    return countIndependent(runsOf(request));
}

// A request that was at more ends explains them, or one in quarantine that was at no fewer.
bool request_quarantine::explains(const request_digest &other, std::uint32_t seen) const
{
    const auto theirs = seenBy(other);
    const bool quarantined = standingOf(other).level == quarantine_level::Quarantined;
    return theirs > seen || (quarantined && theirs == seen);
}

bool request_quarantine::countsAgainst(const server_end &end, const request_digest &request,
                                       std::uint32_t seen) const
{
    return std::ranges::none_of(end.requests, [&](const interrupted_request &other) {
        return other.digest != request && explains(other.digest, seen);
    });
}

request_quarantine::evidence request_quarantine::evidenceOf(const request_digest &request) const
{
    evidence found;
    auto runs = runsOf(request);
    found.seen = countIndependent(runs);
    for (const auto &each : runs)
        found.servers.push_back(each.end->server);
    if (found.seen < EndsToSuspect)
        return found;
    std::erase_if(runs,
                  [&](const run &each) { return !countsAgainst(*each.end, request, found.seen); });
    found.charged = countIndependent(runs);
    return found;
}

bool request_quarantine::endedSince(const request_digest &request, steady_time since) const
{
    return std::ranges::any_of(runsOf(request),
                               [&](const run &each) { return each.end->at >= since; });
}

// Once it was in quarantine, the first end after that is enough.
quarantine_level request_quarantine::judge(const request_digest &request) const
{
    const auto known = m_entries.find(request);
    if (known != m_entries.end() && known->second.times > 0) {
        const bool again = endedSince(request, known->second.until);
        return again ? quarantine_level::Quarantined : standingOf(request).level;
    }
    const auto found = evidenceOf(request);
    if (found.charged >= EndsToQuarantine)
        return quarantine_level::Quarantined;
    return found.seen >= EndsToSuspect ? quarantine_level::Suspected : quarantine_level::Free;
}

quarantine_entry &request_quarantine::set(const request_digest &request, quarantine_level level)
{
    auto &entry = m_entries[request];
    const auto sinceEpoch = m_clock.wallNow().time_since_epoch();
    const auto wall = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
    entry.request = request;
    entry.version = std::max(entry.version + 1, static_cast<std::uint64_t>(wall));
    entry.level = level;
    if (level == quarantine_level::Quarantined) {
        constexpr std::uint32_t MaxDoublings = 4;
        const auto doublings = std::min(entry.times, MaxDoublings);
        const auto time = std::min(FirstQuarantine * (1U << doublings), LongestQuarantine);
        entry.until = m_clock.now() + time;
        ++entry.times;
    } else {
        entry.until = m_clock.now() + EndMemory;
        entry.times = 0;
    }
    return entry;
}

// Only a request that was served, or ends that others explain, lower a level.
void request_quarantine::decideAbout(const request_digest &request,
                                     std::vector<quarantine_entry> &changed)
{
    const auto level = judge(request);
    const bool full = m_entries.size() >= MaxEntries && !m_entries.contains(request);
    if (level <= standingOf(request).level || full)
        return;
    changed.push_back(set(request, level));
    if (level == quarantine_level::Quarantined)
        clearOthersAt(request, changed);
}

// What is known now may explain what others were blamed for.
void request_quarantine::clearOthersAt(const request_digest &request,
                                       std::vector<quarantine_entry> &changed)
{
    for (const auto &each : runsOf(request)) {
        for (const auto &[other, sentAt] : each.end->requests) {
            const auto found = m_entries.find(other);
            if (other == request || found == m_entries.end())
                continue;
            const bool blamed =
                found->second.level == quarantine_level::Quarantined && found->second.times == 1;
            if (blamed && evidenceOf(other).charged < EndsToQuarantine)
                changed.push_back(set(other, quarantine_level::Suspected));
        }
    }
}

std::vector<quarantine_entry> request_quarantine::decide()
{
    std::vector<quarantine_entry> changed;
    std::vector<request_digest> open(m_undecided.begin(), m_undecided.end());
    m_undecided.clear();
    // The most suspect first: it may explain what the others were at.
    std::ranges::sort(open, std::greater<>{},
                      [this](const request_digest &each) { return std::pair(seenBy(each), each); });
    for (const auto &each : open)
        decideAbout(each, changed);
    return changed;
}

void request_quarantine::forgetEndsOf(const request_digest &request)
{
    const auto found = m_byRequest.find(request);
    if (found == m_byRequest.end())
        return;
    for (const auto &end : found->second)
        std::erase_if(end->requests, [&](const auto &each) { return each.digest == request; });
    m_byRequest.erase(found);
}

void request_quarantine::forgetEnd(end_list::iterator end)
{
    for (const auto &request : end->requests) {
        const auto found = m_byRequest.find(request.digest);
        std::erase(found->second, end);
        if (found->second.empty())
            m_byRequest.erase(found);
    }
    m_ends.erase(end);
}

std::optional<quarantine_entry> request_quarantine::onServed(const request_digest &request)
{
    if (m_served.size() < MaxServed || m_served.contains(request))
        m_served[request] = m_clock.now();
    m_trials.erase(request);
    forgetEndsOf(request);
    const auto found = m_entries.find(request);
    if (found == m_entries.end() || found->second.level == quarantine_level::Free)
        return std::nullopt;
    return set(request, quarantine_level::Free);
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
    // Whoever decided on a request that was served here didn't know it.
    if (kept.level != quarantine_level::Free && servedLately(entry.request, m_clock.now()))
        kept = set(entry.request, quarantine_level::Free);
    if (kept.level == quarantine_level::Free)
        forgetEndsOf(entry.request);
    return kept;
}

request_quarantine::standing request_quarantine::standingOf(const request_digest &request) const
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end())
        return {};
    const auto &entry = found->second;
    const auto now = m_clock.now();
    if (entry.level == quarantine_level::Quarantined && now >= entry.until)
        return {quarantine_level::Suspected, milliseconds{0}};
    if (entry.level != quarantine_level::Quarantined)
        return {entry.level, milliseconds{0}};
    return {entry.level, std::chrono::duration_cast<milliseconds>(entry.until - now)};
}

bool request_quarantine::tryTrial(const request_digest &request)
{
    const auto level = standingOf(request).level;
    if (level != quarantine_level::Suspected)
        return level == quarantine_level::Free;
    const auto now = m_clock.now();
    auto &until = m_trials[request];
    if (until > now)
        return false;
    until = now + LongestTrial;
    return true;
}

std::vector<server_end> request_quarantine::ends() const
{
    return {m_ends.begin(), m_ends.end()};
}

std::vector<quarantine_entry> request_quarantine::entries() const
{
    std::vector<quarantine_entry> all;
    all.reserve(m_entries.size());
    for (const auto &[request, entry] : m_entries)
        all.push_back(entry);
    return all;
}

void request_quarantine::forgetOld()
{
    const auto now = m_clock.now();
    for (auto end = m_ends.begin(); end != m_ends.end();) {
        const auto next = std::next(end);
        if (end->at + EndMemory < now)
            forgetEnd(end);
        end = next;
    }
    std::erase_if(m_served, [&](const auto &each) { return each.second + ServedMemory < now; });
    std::erase_if(m_undecided, [&](const auto &each) { return !m_byRequest.contains(each); });
    std::erase_if(m_trials, [&](const auto &each) { return each.second < now; });
    std::erase_if(m_entries, [&](const auto &each) {
        const auto &entry = each.second;
        const auto kept = entry.times > 0 ? LongestQuarantine : std::chrono::minutes{0};
        return entry.until + kept < now;
    });
}

} // namespace orchidlead::gateway
