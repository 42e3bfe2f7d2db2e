#pragma once

#include "gateway/streams/stream_origin.h"

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace orchidlead::gateway {

/// Keeps where streams began, until no client can continue them. Does no I/O.
class stream_origin_table
{
public:
    /// Records kept at most; one takes about 250 bytes. The first to expire gives way.
    static constexpr std::size_t MaxRecords = 32'768;

    explicit stream_origin_table(const clock_source &clock);

    /// Adds a record. The origin of a stream never changes, so a known one is kept.
    void add(const stream_origin_record &record);
    /// Returns where a stream began; empty if unknown.
    [[nodiscard]] std::optional<stream_origin> find(const request_digest &stream) const;
    /// Returns the record of a stream with its remaining lifetime; empty if unknown.
    [[nodiscard]] std::optional<stream_origin_record> recordOf(const request_digest &stream) const;
    /// Removes expired records.
    void removeExpired();
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

private:
    struct entry
    {
        stream_origin origin;
        steady_time expiresAt;
    };

    const clock_source &m_clock;
    std::unordered_map<request_digest, entry> m_entries;
    std::set<std::pair<steady_time, request_digest>> m_byExpiry;
};

} // namespace orchidlead::gateway
