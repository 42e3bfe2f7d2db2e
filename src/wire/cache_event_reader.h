#pragma once

#include "wire/server_poller.h"

#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::wire {

/// What an engine's cache did with a prompt's prefix.
enum class cache_change { Stored, Evicted };

/// One change in an engine's cache.
struct cache_event
{
    std::uint64_t prefix = 0; ///< xxh64 of the first 256 bytes of the prompt
    cache_change change = cache_change::Stored;
};

/// What an engine told of its cache since it was last asked. Hints only: they come late.
struct cache_report
{
    backend_server_id server;
    std::vector<cache_event> events; ///< in order
    /// Events are missing before these, or the engine began anew: what was known of its cache is
    /// worth nothing.
    bool forgetEarlier = false;
};

/// An engine's cache events as a polled document.
struct cache_document
{
    using report = cache_report;
    struct state
    {
        std::uint64_t last = 0; ///< sequence number of the last event taken
    };
    static constexpr std::size_t MaxAnswerBytes = 256U << 10U;
    static constexpr std::size_t MaxEvents = 2000;

    [[nodiscard]] static std::string path(const state &state);
    [[nodiscard]] static std::optional<cache_report> parse(const backend_server_id &server,
                                                           state &state, std::string_view body);
};

/// Reads the cache events of a few engines.
using cache_event_reader = server_poller<cache_document>;

extern template class server_poller<cache_document>;

} // namespace orchidlead::wire

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::wire::cache_change>{
    orchidlead::enum_name<orchidlead::wire::cache_change>{orchidlead::wire::cache_change::Stored,
                                                          "stored"},
    orchidlead::enum_name<orchidlead::wire::cache_change>{orchidlead::wire::cache_change::Evicted,
                                                          "evicted"},
};
