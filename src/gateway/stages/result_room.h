#pragma once

#include "gateway/servers/server_directory.h"

#include <orchidlead/clock.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace orchidlead::gateway {

/// How long a result was held, by phase.
struct hold_times
{
    std::chrono::microseconds call{0}; ///< from the start of its call to the end
    std::chrono::microseconds needed{0}; ///< until its free was requested at this host
    std::chrono::microseconds freeing{0}; ///< until its server confirmed the free

    [[nodiscard]] std::chrono::microseconds total() const { return call + needed + freeing; }
};

/// When the servers of a pool will have storage for further results, judged from the results that
/// they hold now.
class room_forecast
{
public:
    /// Returns how long until `bytes` of results in total have storage beside those held now; 0
    /// where they have it now, `Never` where they can't have it.
    [[nodiscard]] std::chrono::microseconds waitFor(std::uint64_t bytes) const;
    /// Returns the rate at which storage becomes free while it is fully used, in bytes per second.
    [[nodiscard]] double bytesPerSecond() const;

    static constexpr std::chrono::hours Never{1};

private:
    friend class result_room;

    /// Returns when the results held now have freed `bytes`, as a fraction of the hold time.
    [[nodiscard]] double fractionUntilFreed(double bytes) const;

    static constexpr std::size_t Steps = 16;
    bool m_bounded = false;
    double m_freeBytes = 0;
    double m_capacity = 0; ///< bytes, of all servers
    std::chrono::microseconds m_hold{0};
    std::array<double, Steps> m_freed{}; ///< bytes to be freed in each part of the hold time
};

/// Accounts for the storage in which the backend servers of a pool keep results until they are
/// freed or expire. Sizes are in bytes, as published. Actual sizes differ from them, so a server
/// may refuse a result for which the account has storage; such refusals correct the account.
class result_room
{
public:
    /// How long a refusal corrects the account of a server. Results are freed within a second; a
    /// longer time would leave storage unused after frees that the pool doesn't see.
    static constexpr milliseconds CorrectionTime{150};

    explicit result_room(const clock_source &clock)
        : m_clock(clock)
    { }

    /// Sets the storage of one server, in bytes (0: unlimited), and how long a server keeps a
    /// result that isn't freed.
    void setLimits(std::uint64_t bytesPerServer, milliseconds lifetime);

    /// Sets whether refusals teach by how much actual sizes differ from the published ones.
    void setLearnsSizes(bool learns) { m_learnsSizes = learns; }

    /// Reserves storage for a result that a call is to compute.
    void reserve(const server_start &server, std::uint64_t bytes);
    /// Releases a reservation whose call produced no result.
    void release(const server_start &server, std::uint64_t bytes);
    /// Turns a reservation into a result.
    void record(const server_start &server, const std::string &handle, std::uint64_t bytes);
    /// Turns a reservation into a result that the server may hold although its answer was lost.
    void recordUnnamed(const server_start &server, std::uint64_t bytes);
    /// Records that a result is to be freed.
    void onFreeRequested(const std::string &handle);
    /// Releases a result that its server has freed. Returns how long it was held; empty for an
    /// unknown result.
    std::optional<hold_times> onFreed(const std::string &handle);
    /// Drops the accounts of servers that have ended, for which `exists` returns false: their
    /// storage and results are gone.
    void forgetServers(const std::function<bool(const server_start &)> &exists);
    /// Releases the results that their servers no longer keep.
    void dropExpired();

    /// Corrects the account of a server that had no storage for a result.
    void onRefused(const server_start &server, std::uint64_t bytes) { onRefusals(server, {bytes}); }
    /// Corrects the account of a server that had no storage for some results of a call, by their
    /// sizes. Call after the other results of the call were recorded. The server counts as having
    /// no storage for another result of such a size until results there are freed, at most for
    /// `CorrectionTime`.
    void onRefusals(const server_start &server, const std::vector<std::uint64_t> &sizes);
    /// Records that a server stored all results of a call.
    void onAllStored();
    /// Returns when storage may become free without a free: at the end of a correction, or when a
    /// result expires.
    [[nodiscard]] std::optional<steady_time> nextChangeAt() const;
    /// Sets the hold time that is assumed before the first result was freed.
    void setInitialHold(std::chrono::microseconds hold) { m_initialHold = hold; }
    /// Returns how long results are held from the start of their call, as a moving average over
    /// results of the same size class: small, or not.
    [[nodiscard]] std::chrono::microseconds holdTime(std::uint64_t bytes) const;
    /// Returns the moving average of each phase of the results that were freed.
    [[nodiscard]] hold_times holdTimes(std::uint64_t bytes) const;
    /// Returns whether a result is too small to be limited by the storage of servers.
    [[nodiscard]] bool isSmall(std::uint64_t bytes) const;
    /// Returns the bytes of results at all servers, including reservations.
    [[nodiscard]] std::uint64_t totalHeldBytes() const;
    /// Returns when `servers` servers will have storage for further results of `bytes` bytes.
    [[nodiscard]] room_forecast forecast(double servers, std::uint64_t bytes) const;
    /// Returns the learnt ratio of actual sizes to published ones, 1 if nothing was learnt.
    [[nodiscard]] double sizeRatio() const { return m_sizeRatio; }

    /// Returns the bytes of results at a server, including reservations.
    [[nodiscard]] std::uint64_t heldBytesAt(const server_start &server) const;
    /// Returns the free storage of a server; the maximum of the type if it is unlimited.
    [[nodiscard]] std::uint64_t freeBytesAt(const server_start &server) const;
    /// As `freeBytesAt`, for small results.
    [[nodiscard]] std::uint64_t freeBytesForSmallAt(const server_start &server) const;

private:
    struct held_result
    {
        server_start server;
        std::uint64_t bytes = 0;
        steady_time expiresAt;
        steady_time callStartedAt;
        steady_time recordedAt;
        std::optional<steady_time> freeRequestedAt;
    };
    /// Moving averages of a size class, in microseconds.
    struct hold_average
    {
        bool measured = false;
        double call = 0;
        double needed = 0;
        double freeing = 0;

        void add(const hold_times &times);
    };
    struct correction
    {
        std::uint64_t bytes = 0; ///< counted as held
        steady_time until;
    };

    /// Results of a call in progress. A server has one call at a time.
    struct reservation
    {
        std::uint64_t bytes = 0;
        steady_time callStartedAt;
    };

    /// Releases results that are no longer held.
    void releaseHeld(const server_start &server, std::uint64_t bytes);
    /// Ends a reservation, with or without a result. Returns the start of its call.
    steady_time endReservation(const server_start &server, std::uint64_t bytes);
    /// Returns how much longer a result is expected to be held.
    [[nodiscard]] std::chrono::microseconds expectedRest(const held_result &result,
                                                         std::chrono::microseconds hold) const;
    /// Returns the storage of a server in published sizes.
    [[nodiscard]] std::uint64_t usableBytes() const;
    [[nodiscard]] std::uint64_t countedBytesAt(const server_start &server) const;
    void forgetFreed();
    void learnSizes(const server_start &server, std::uint64_t refusedBytes);
    [[nodiscard]] static hold_times timesOf(const held_result &result, steady_time end);

    const clock_source &m_clock;
    std::uint64_t m_bytesPerServer = 0;
    milliseconds m_lifetime{0};
    std::map<server_start, std::uint64_t> m_heldBytes;
    std::map<server_start, correction> m_corrections;
    std::map<server_start, reservation> m_reservations;
    std::chrono::microseconds m_initialHold{0};
    hold_average m_largeHold;
    hold_average m_smallHold;
    std::unordered_map<std::string, held_result> m_results; ///< by handle
    std::deque<std::pair<steady_time, std::string>>
        m_expiries; ///< in order; may include freed ones
    bool m_learnsSizes = true;
    double m_sizeRatio = 1.0;
    std::uint64_t m_unnamedResults = 0; ///< count of results of calls whose answer was lost
};

} // namespace orchidlead::gateway
