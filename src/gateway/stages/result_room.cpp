#include "gateway/stages/result_room.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace orchidlead::gateway {

namespace {

// Weight of a refusal in the learnt size ratio, and of a call without one. Sizes that only vary
// cause some refusals too; the ratio then settles where refusals are rare.
constexpr double RefusalWeight = 0.1;
constexpr double StoredWeight = 0.02;
// Published sizes are approximate. A ratio above this would come from storage that something else
// occupies, and would leave too much of it unused later.
constexpr double MaxSizeRatio = 1.5;

// Results of at most this fraction of a server's storage are small.
constexpr std::uint64_t SmallResultDivisor = 64;
// Fraction of a server's storage that counts as free for small results until one is refused. Actual
// sizes of large results vary by more than this in total.
constexpr std::uint64_t SmallShareDivisor = 16;
// Weight of a result in the moving averages of hold times: they follow a change within about 20
// results, a fifth of a second where storage is scarce.
constexpr double HoldWeight = 0.05;

// How much longer a result is expected to be held that was held for the mean time already, as a
// fraction of that time. Longer than it, as results of slow requests come late one after another.
constexpr int OverdueDivisor = 4;

std::chrono::microseconds toMicroseconds(double count)
{
    return std::chrono::microseconds(static_cast<std::int64_t>(count));
}

} // namespace

void result_room::hold_average::add(const hold_times &times)
{
    const auto update = [this](double &average, std::chrono::microseconds value) {
        const auto latest = static_cast<double>(value.count());
        average = measured ? average + HoldWeight * (latest - average) : latest;
    };
    update(call, times.call);
    update(needed, times.needed);
    update(freeing, times.freeing);
    measured = true;
}

void result_room::setLimits(std::uint64_t bytesPerServer, milliseconds lifetime)
{
    m_bytesPerServer = bytesPerServer;
    m_lifetime = lifetime;
}

void result_room::reserve(const server_start &server, std::uint64_t bytes)
{
    m_heldBytes[server] += bytes;
    auto &entry = m_reservations[server];
    entry.bytes += bytes;
    entry.callStartedAt = m_clock.now();
}

void result_room::release(const server_start &server, std::uint64_t bytes)
{
    endReservation(server, bytes);
    releaseHeld(server, bytes);
}

void result_room::releaseHeld(const server_start &server, std::uint64_t bytes)
{
    const auto found = m_heldBytes.find(server);
    if (found == m_heldBytes.end())
        return;
    found->second -= std::min(found->second, bytes);
    if (found->second == 0)
        m_heldBytes.erase(found);
}

steady_time result_room::endReservation(const server_start &server, std::uint64_t bytes)
{
    const auto found = m_reservations.find(server);
    if (found == m_reservations.end())
        return m_clock.now();
    const auto startedAt = found->second.callStartedAt;
    found->second.bytes -= std::min(found->second.bytes, bytes);
    if (found->second.bytes == 0)
        m_reservations.erase(found);
    return startedAt;
}

void result_room::record(const server_start &server, const std::string &handle, std::uint64_t bytes)
{
    const auto now = m_clock.now();
    const auto expiresAt = now + m_lifetime;
    if (const auto known = m_results.find(handle); known != m_results.end())
        releaseHeld(known->second.server, known->second.bytes);
    m_results[handle] = {server, bytes, expiresAt, endReservation(server, bytes), now, {}};
    m_expiries.emplace_back(expiresAt, handle);
}

void result_room::recordUnnamed(const server_start &server, std::uint64_t bytes)
{
    record(server, "unnamed-" + std::to_string(++m_unnamedResults), bytes);
}

void result_room::onFreeRequested(const std::string &handle)
{
    const auto found = m_results.find(handle);
    if (found != m_results.end() && !found->second.freeRequestedAt)
        found->second.freeRequestedAt = m_clock.now();
}

hold_times result_room::timesOf(const held_result &result, steady_time end)
{
    const auto requested = result.freeRequestedAt.value_or(end);
    const auto between = [](steady_time from, steady_time to) {
        return std::chrono::duration_cast<std::chrono::microseconds>(to - from);
    };
    return {between(result.callStartedAt, result.recordedAt), between(result.recordedAt, requested),
            between(requested, end)};
}

std::optional<hold_times> result_room::onFreed(const std::string &handle)
{
    const auto found = m_results.find(handle);
    if (found == m_results.end())
        return std::nullopt;
    const auto times = timesOf(found->second, m_clock.now());
    (isSmall(found->second.bytes) ? m_smallHold : m_largeHold).add(times);
    releaseHeld(found->second.server, found->second.bytes);
    m_results.erase(found);
    forgetFreed();
    return times;
}

bool result_room::isSmall(std::uint64_t bytes) const
{
    return bytes <= m_bytesPerServer / SmallResultDivisor;
}

hold_times result_room::holdTimes(std::uint64_t bytes) const
{
    const auto &average = isSmall(bytes) ? m_smallHold : m_largeHold;
    return {toMicroseconds(average.call), toMicroseconds(average.needed),
            toMicroseconds(average.freeing)};
}

std::chrono::microseconds result_room::holdTime(std::uint64_t bytes) const
{
    const auto &average = isSmall(bytes) ? m_smallHold : m_largeHold;
    return average.measured ? holdTimes(bytes).total() : m_initialHold;
}

std::uint64_t result_room::totalHeldBytes() const
{
    std::uint64_t total = 0;
    for (const auto &[server, bytes] : m_heldBytes)
        total += bytes;
    return total;
}

void result_room::forgetServers(const std::function<bool(const server_start &)> &exists)
{
    std::erase_if(m_results, [&](const auto &entry) { return !exists(entry.second.server); });
    std::erase_if(m_heldBytes, [&](const auto &entry) { return !exists(entry.first); });
    std::erase_if(m_corrections, [&](const auto &entry) { return !exists(entry.first); });
    forgetFreed();
}

void result_room::dropExpired()
{
    const auto now = m_clock.now();
    std::erase_if(m_corrections, [&](const auto &entry) { return entry.second.until <= now; });
    while (!m_expiries.empty() && m_expiries.front().first <= now) {
        // A result that was recorded again under the same handle expires later. Results that expire
        // were lost with their server or their free was; they tell nothing of how long others are
        // needed.
        const auto found = m_results.find(m_expiries.front().second);
        if (found != m_results.end() && found->second.expiresAt <= now) {
            releaseHeld(found->second.server, found->second.bytes);
            m_results.erase(found);
        }
        m_expiries.pop_front();
    }
    forgetFreed();
}

// Keeps `nextChangeAt` exact and the queue about as long as the list of results.
void result_room::forgetFreed()
{
    while (!m_expiries.empty() && !m_results.contains(m_expiries.front().second))
        m_expiries.pop_front();
}

void result_room::learnSizes(const server_start &server, std::uint64_t refusedBytes)
{
    if (m_bytesPerServer == 0 || !m_learnsSizes)
        return;
    const auto counted = static_cast<double>(heldBytesAt(server) + refusedBytes);
    const double ratio = static_cast<double>(m_bytesPerServer) / counted;
    if (ratio > m_sizeRatio)
        m_sizeRatio += RefusalWeight * (std::min(ratio, MaxSizeRatio) - m_sizeRatio);
}

// The refusals of one call have the same cause, so they are one observation. The smallest result
// shows best how full the server is.
void result_room::onRefusals(const server_start &server, const std::vector<std::uint64_t> &sizes)
{
    if (sizes.empty())
        return;
    const auto now = m_clock.now();
    learnSizes(server, std::ranges::min(sizes));
    for (const auto bytes : sizes) {
        const auto free = isSmall(bytes) ? freeBytesForSmallAt(server) : freeBytesAt(server);
        auto &entry = m_corrections[server];
        if (entry.until <= now)
            entry.bytes = 0;
        entry.until = now + CorrectionTime;
        // Smaller results may still fit, so the rest stays free.
        if (bytes > 0 && free >= bytes)
            entry.bytes += free - bytes + 1;
    }
}

void result_room::onAllStored()
{
    m_sizeRatio += StoredWeight * (1.0 - m_sizeRatio);
}

std::optional<steady_time> result_room::nextChangeAt() const
{
    std::optional<steady_time> next;
    for (const auto &[server, entry] : m_corrections)
        next = std::min(next.value_or(entry.until), entry.until);
    if (!m_expiries.empty())
        next = std::min(next.value_or(m_expiries.front().first), m_expiries.front().first);
    return next;
}

std::uint64_t result_room::heldBytesAt(const server_start &server) const
{
    const auto found = m_heldBytes.find(server);
    return found == m_heldBytes.end() ? 0 : found->second;
}

std::uint64_t result_room::usableBytes() const
{
    return static_cast<std::uint64_t>(static_cast<double>(m_bytesPerServer) / m_sizeRatio);
}

std::uint64_t result_room::countedBytesAt(const server_start &server) const
{
    const auto found = m_corrections.find(server);
    const bool corrected = found != m_corrections.end() && found->second.until > m_clock.now();
    return heldBytesAt(server) + (corrected ? found->second.bytes : 0);
}

std::uint64_t result_room::freeBytesAt(const server_start &server) const
{
    const auto counted = countedBytesAt(server);
    // An empty server takes a result whatever sizes were learnt.
    if (m_bytesPerServer == 0 || counted == 0)
        return freeBytesForSmallAt(server);
    const auto usable = usableBytes();
    return usable - std::min(usable, counted);
}

// What was learnt of the sizes of large results must not leave a server without small ones, which
// often fit beside.
std::uint64_t result_room::freeBytesForSmallAt(const server_start &server) const
{
    if (m_bytesPerServer == 0)
        return std::numeric_limits<std::uint64_t>::max();
    const auto counted = countedBytesAt(server);
    const auto free = m_bytesPerServer - std::min(m_bytesPerServer, counted);
    // A server that is full by the account may still store some; a refusal corrects the account.
    const bool corrected = counted > heldBytesAt(server);
    return corrected ? free : std::max(free, m_bytesPerServer / SmallShareDivisor);
}

std::chrono::microseconds result_room::expectedRest(const held_result &result,
                                                    std::chrono::microseconds hold) const
{
    const auto now = m_clock.now();
    auto due = result.callStartedAt + hold;
    if (result.freeRequestedAt)
        due = *result.freeRequestedAt + holdTimes(result.bytes).freeing;
    if (due <= now)
        due = now + hold / OverdueDivisor;
    due = std::min(due, result.expiresAt);
    return std::chrono::duration_cast<std::chrono::microseconds>(std::max(due, now) - now);
}

room_forecast result_room::forecast(double servers, std::uint64_t bytes) const
{
    room_forecast result;
    // Without servers nothing is known of the storage of those to come.
    result.m_bounded = m_bytesPerServer > 0 && bytes > 0 && (servers > 0 || !m_heldBytes.empty());
    if (!result.m_bounded)
        return result;
    const auto wholeResults = [bytes](std::uint64_t room) {
        return static_cast<double>(room - room % bytes);
    };
    result.m_hold = std::max(holdTime(bytes), std::chrono::microseconds{1});
    double known = 0;
    for (const auto &[server, held] : m_heldBytes) {
        result.m_freeBytes += wholeResults(freeBytesAt(server));
        known += 1;
    }
    const auto empty = std::max(usableBytes(), bytes <= m_bytesPerServer ? bytes : 0);
    // A rate-limited server counts as a fraction, but has all of its storage.
    servers = std::ceil(servers);
    result.m_freeBytes += std::max(0.0, servers - known) * wholeResults(empty);
    result.m_capacity = std::max(servers, known) * wholeResults(empty);
    const auto add = [&](std::chrono::microseconds rest, std::uint64_t freed) {
        const auto step = static_cast<std::size_t>(rest * room_forecast::Steps / result.m_hold);
        result.m_freed.at(std::min(step, room_forecast::Steps - 1)) += static_cast<double>(freed);
    };
    for (const auto &[handle, each] : m_results) {
        if (!isSmall(each.bytes))
            add(expectedRest(each, result.m_hold), each.bytes);
    }
    const auto now = m_clock.now();
    for (const auto &[server, each] : m_reservations)
        add(std::chrono::duration_cast<std::chrono::microseconds>(
                std::max(each.callStartedAt + result.m_hold, now) - now),
            each.bytes);
    return result;
}

double room_forecast::fractionUntilFreed(double bytes) const
{
    double freed = 0;
    for (std::size_t step = 0; step < Steps; ++step) {
        if (freed + m_freed.at(step) >= bytes && m_freed.at(step) > 0)
            return (static_cast<double>(step) + (bytes - freed) / m_freed.at(step)) / Steps;
        freed += m_freed.at(step);
    }
    return 1.0;
}

// What waits longer than the hold time takes the storage of pieces that wait ahead of it, which is
// freed one hold time after they got it.
std::chrono::microseconds room_forecast::waitFor(std::uint64_t bytes) const
{
    const auto wanted = static_cast<double>(bytes);
    if (!m_bounded || wanted <= m_freeBytes)
        return std::chrono::microseconds{0};
    if (m_capacity <= 0)
        return Never;
    const double missing = wanted - m_freeBytes;
    const double rounds = std::floor(missing / m_capacity);
    const double fraction = fractionUntilFreed(missing - rounds * m_capacity);
    const auto wait = static_cast<double>(m_hold.count()) * (rounds + fraction);
    return std::min<std::chrono::microseconds>(toMicroseconds(wait), Never);
}

double room_forecast::bytesPerSecond() const
{
    return m_capacity / std::chrono::duration<double>(m_hold).count();
}

} // namespace orchidlead::gateway
