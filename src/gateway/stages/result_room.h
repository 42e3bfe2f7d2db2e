#pragma once

#include "gateway/servers/server_directory.h"

#include <orchidlead/clock.h>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace orchidlead::gateway {

/// Accounts for the storage in which the backend servers of a pool keep results until they are
/// freed or expire. Sizes are in bytes, as published.
class result_room
{
public:
    explicit result_room(const clock_source &clock)
        : m_clock(clock)
    { }

    /// Sets the storage of one server, in bytes (0: unlimited), and how long a server keeps a
    /// result that isn't freed.
    void setLimits(std::uint64_t bytesPerServer, milliseconds lifetime);

    /// Reserves storage for a result that a call is to compute.
    void reserve(const server_start &server, std::uint64_t bytes);
    /// Releases a reservation whose call produced no result.
    void release(const server_start &server, std::uint64_t bytes);
    /// Turns a reservation into a result.
    void record(const server_start &server, const std::string &handle, std::uint64_t bytes);
    /// Turns a reservation into a result that the server may hold although its answer was lost.
    void recordUnnamed(const server_start &server, std::uint64_t bytes);
    /// Releases a result that its server has freed.
    void onFreed(const std::string &handle);
    /// Releases the results that their servers no longer keep.
    void dropExpired();

    /// Returns the bytes of results at a server, including reservations.
    [[nodiscard]] std::uint64_t heldBytesAt(const server_start &server) const;
    /// Returns the free storage of a server; the maximum of the type if it is unlimited.
    [[nodiscard]] std::uint64_t freeBytesAt(const server_start &server) const;

private:
    struct held_result
    {
        server_start server;
        std::uint64_t bytes = 0;
        steady_time expiresAt;
    };

    const clock_source &m_clock;
    std::uint64_t m_bytesPerServer = 0;
    milliseconds m_lifetime{0};
    std::map<server_start, std::uint64_t> m_heldBytes;
    std::unordered_map<std::string, held_result> m_results; ///< by handle
    std::uint64_t m_unnamedResults = 0; ///< count of results of calls whose answer was lost
};

} // namespace orchidlead::gateway
