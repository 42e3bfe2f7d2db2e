#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace orchidlead::gateway {

/// Most events of a stream that repeat earlier ones of the same stream. A server that continues a
/// stream repeats events of the stream before, each once.
inline constexpr std::size_t MaxRepeatedEvents = 16;

/// Splits a byte stream into complete events and leaves their bytes unchanged.
///
/// Never returns a partial event at the end of a broken stream, so that the stream of another
/// server can continue it.
class event_splitter
{
public:
    explicit event_splitter(std::size_t maxEventBytes)
        : m_maxEventBytes(maxEventBytes)
    { }

    /// Adds bytes and returns the events that are complete now. Leaves out events whose number is
    /// not above that of the last returned event, since the stream of another server may repeat
    /// them. The text is valid until the next call.
    [[nodiscard]] std::string_view feed(std::string_view bytes);

    /// Prepares for the stream of another server: drops a partial event. Events up to the last one
    /// returned are skipped in the new stream.
    void restart();

    /// Returns the number of the last event returned.
    [[nodiscard]] std::optional<std::uint64_t> lastEvent() const { return m_lastEvent; }
    [[nodiscard]] std::uint64_t events() const { return m_eventCount; }
    /// Returns the number of complete events so far, including those left out, that have no number
    /// or a higher one than the events before them in their stream.
    [[nodiscard]] std::uint64_t eventsInOrder() const { return m_eventsInOrder; }
    /// Returns whether the bytes so far end in a partial event.
    [[nodiscard]] bool hasPartialEvent() const { return !m_partial.empty(); }
    /// Returns whether an event exceeded the size limit, event numbers had a gap, events were
    /// repeated too often, or another answer follows, so that the stream can't be used any further.
    [[nodiscard]] bool isUnusable() const { return m_unusable; }

private:
    void processEvent(std::string_view event);

    std::size_t m_maxEventBytes;
    std::string m_partial;
    std::string m_completed;
    std::optional<std::uint64_t> m_lastEvent;
    std::optional<std::uint64_t> m_lastOfStream; ///< number of the last event of this stream
    std::size_t m_repeatedEvents = 0; ///< in this stream, or out of order
    std::uint64_t m_eventsInOrder = 0;
    std::uint64_t m_eventCount = 0;
    bool m_unusable = false;
};

} // namespace orchidlead::gateway
