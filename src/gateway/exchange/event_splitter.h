#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace orchidlead::gateway {

/// Takes a stream of events apart into whole ones, byte for byte.
///
/// A half event at the end of a broken stream is never given, so another server's stream can
/// follow.
class event_splitter
{
public:
    explicit event_splitter(std::size_t maxEventBytes)
        : m_maxEventBytes(maxEventBytes)
    { }

    /// Adds bytes and returns the whole events that are there now, those at most `skipUpTo` left
    /// out. The text is valid until the next call.
    [[nodiscard]] std::string_view feed(std::string_view bytes);

    /// Drops a half event, and from now on the events up to the last one given.
    void restart();

    /// Number of the last event given.
    [[nodiscard]] std::optional<std::uint64_t> lastEvent() const { return m_last; }
    [[nodiscard]] std::uint64_t events() const { return m_events; }
    /// A half event waits for its rest.
    [[nodiscard]] bool amidEvent() const { return !m_rest.empty(); }
    /// An event passed the bound, or numbers had a gap; the stream can't be trusted.
    [[nodiscard]] bool broken() const { return m_broken; }

private:
    void take(std::string_view event);

    std::size_t m_maxEventBytes;
    std::string m_rest;
    std::string m_out;
    std::optional<std::uint64_t> m_last;
    std::uint64_t m_events = 0;
    bool m_broken = false;
};

} // namespace orchidlead::gateway
