#pragma once

#include "gateway/exchange/stream_defect.h"

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
    /// not above that of the last event that the client has, since the stream of another server
    /// may repeat them. The text is valid until the next call.
    [[nodiscard]] std::string_view feed(std::string_view bytes);

    /// Makes the stream go on behind an event that the client has: events up to this number are
    /// left out, and one with a later number than the next is a gap. Call before `feed`.
    void continueAfter(std::uint64_t lastEvent) { m_lastEvent = lastEvent; }

    /// Prepares for the stream of another server: drops a partial event. Events up to the last one
    /// returned are skipped in the new stream.
    void restart();

    /// Returns the number of the last event that the client has or was sent.
    [[nodiscard]] std::optional<std::uint64_t> lastEvent() const { return m_lastEvent; }
    /// Returns whether the stream of another server can go on exactly behind the events returned:
    /// none with content and without a number follows the last numbered one.
    [[nodiscard]] bool isContinuable() const { return m_continuable; }
    [[nodiscard]] std::uint64_t events() const { return m_eventCount; }
    /// Returns the number of complete events so far, including those left out, that have no number
    /// or a higher one than the events before them in their stream.
    [[nodiscard]] std::uint64_t eventsInOrder() const { return m_eventsInOrder; }
    /// Returns whether the bytes so far end in a partial event.
    [[nodiscard]] bool hasPartialEvent() const { return !m_partial.empty(); }
    /// Returns the number of the first event of this stream that has one, returned or left out.
    [[nodiscard]] std::optional<std::uint64_t> firstOfStream() const { return m_firstOfStream; }
    /// Returns the number of events of this stream that were left out.
    [[nodiscard]] std::uint64_t leftOut() const { return m_leftOut; }
    /// Returns why the stream can't be used any further; empty: it can.
    [[nodiscard]] std::optional<stream_defect> defect() const { return m_defect; }
    [[nodiscard]] bool isUnusable() const { return m_defect.has_value(); }

private:
    void processEvent(std::string_view event);
    /// Records a defect, unless there was one before.
    void setDefect(stream_defect found);

    std::size_t m_maxEventBytes;
    std::string m_partial;
    std::string m_completed;
    std::optional<std::uint64_t> m_lastEvent;
    std::optional<std::uint64_t> m_firstOfStream;
    std::optional<std::uint64_t> m_lastOfStream; ///< number of the last event of this stream
    std::size_t m_repeatedEvents = 0; ///< in this stream, or out of order
    std::uint64_t m_eventsInOrder = 0;
    std::uint64_t m_eventCount = 0;
    std::uint64_t m_leftOut = 0; ///< in this stream
    std::optional<stream_defect> m_defect;
    bool m_continuable = true;
};

} // namespace orchidlead::gateway
