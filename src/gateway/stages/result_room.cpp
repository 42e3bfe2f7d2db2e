#include "gateway/stages/result_room.h"

#include <algorithm>
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

} // namespace

void result_room::setLimits(std::uint64_t bytesPerServer, milliseconds lifetime)
{
    m_bytesPerServer = bytesPerServer;
    m_lifetime = lifetime;
}

void result_room::reserve(const server_start &server, std::uint64_t bytes)
{
    m_heldBytes[server] += bytes;
}

void result_room::release(const server_start &server, std::uint64_t bytes)
{
    const auto found = m_heldBytes.find(server);
    if (found == m_heldBytes.end())
        return;
    found->second -= std::min(found->second, bytes);
    if (found->second == 0)
        m_heldBytes.erase(found);
}

void result_room::record(const server_start &server, const std::string &handle, std::uint64_t bytes)
{
    const auto expiresAt = m_clock.now() + m_lifetime;
    m_results[handle] = {server, bytes, expiresAt};
    m_expiries.emplace_back(expiresAt, handle);
}

void result_room::recordUnnamed(const server_start &server, std::uint64_t bytes)
{
    record(server, "unnamed-" + std::to_string(++m_unnamedResults), bytes);
}

void result_room::onFreed(const std::string &handle)
{
    const auto found = m_results.find(handle);
    if (found == m_results.end())
        return;
    release(found->second.server, found->second.bytes);
    m_results.erase(found);
}

void result_room::dropExpired()
{
    const auto now = m_clock.now();
    std::erase_if(m_corrections, [&](const auto &entry) { return entry.second.until <= now; });
    while (!m_expiries.empty() && m_expiries.front().first <= now) {
        // A result that was recorded again under the same handle expires later.
        const auto found = m_results.find(m_expiries.front().second);
        if (found != m_results.end() && found->second.expiresAt <= now) {
            release(found->second.server, found->second.bytes);
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

void result_room::onRefused(const server_start &server, std::uint64_t bytes)
{
    const auto now = m_clock.now();
    if (m_bytesPerServer > 0 && m_learnsSizes) {
        const auto counted = static_cast<double>(heldBytesAt(server) + bytes);
        const double ratio = static_cast<double>(m_bytesPerServer) / counted;
        if (ratio > m_sizeRatio)
            m_sizeRatio += RefusalWeight * (std::min(ratio, MaxSizeRatio) - m_sizeRatio);
    }
    const auto free = freeBytesAt(server);
    auto &entry = m_corrections[server];
    if (entry.until <= now)
        entry.bytes = 0;
    entry.until = now + CorrectionTime;
    // Smaller results may still fit, so the rest stays free.
    if (bytes > 0 && free >= bytes)
        entry.bytes += free - bytes + 1;
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

std::uint64_t result_room::freeBytesAt(const server_start &server) const
{
    if (m_bytesPerServer == 0)
        return std::numeric_limits<std::uint64_t>::max();
    auto counted = heldBytesAt(server);
    if (const auto found = m_corrections.find(server);
        found != m_corrections.end() && found->second.until > m_clock.now())
        counted += found->second.bytes;
    const auto usable = usableBytes();
    return usable - std::min(usable, counted);
}

} // namespace orchidlead::gateway
