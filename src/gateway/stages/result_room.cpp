#include "gateway/stages/result_room.h"

#include <algorithm>
#include <limits>

namespace orchidlead::gateway {

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
    m_results[handle] = {server, bytes, m_clock.now() + m_lifetime};
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
    std::erase_if(m_results, [&](const auto &entry) {
        if (entry.second.expiresAt > now)
            return false;
        release(entry.second.server, entry.second.bytes);
        return true;
    });
}

std::uint64_t result_room::heldBytesAt(const server_start &server) const
{
    const auto found = m_heldBytes.find(server);
    return found == m_heldBytes.end() ? 0 : found->second;
}

std::uint64_t result_room::freeBytesAt(const server_start &server) const
{
    if (m_bytesPerServer == 0)
        return std::numeric_limits<std::uint64_t>::max();
    return m_bytesPerServer - std::min(m_bytesPerServer, heldBytesAt(server));
}

} // namespace orchidlead::gateway
