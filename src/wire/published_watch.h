#pragma once

#include "net/event_loop.h"
#include "wire/published_reader.h"

#include <orchidlead/clock.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <utility>

namespace orchidlead::wire {

/// How a document is watched.
struct published_watch_options
{
    milliseconds wait{15000}; ///< of one long poll
    milliseconds minInterval{500}; ///< between the starts of two calls
    milliseconds maxBackoff{5000}; ///< after failed calls
    std::uint64_t seed = 0; ///< of the jitter
};

/// Gives the time until the next try after `failures` failures in a row: drawn from the upper half
/// of a bound that doubles, so that watchers don't come back as one.
[[nodiscard]] milliseconds backoffDelay(const published_watch_options &options,
                                        std::uint32_t failures, std::mt19937_64 &random);

/// Watches one published document for as long as it runs: reads at once, then waits for higher
/// versions. Slow, absent and malformed answers are tried again after a backoff.
template <published_document Document>
class published_watch
{
public:
    using value = typename Document::value;

    /// What a watch reports. Each may be empty.
    struct events
    {
        std::function<void(value)> onChanged; ///< a higher version than any before
        /// The platform answered, with news or without: what is known was current at that time.
        std::function<void(steady_time askedAt)> onConfirmed;
        std::function<void(const read_error &)> onFailure;
    };

    published_watch(net::event_loop &loop, net::http_client &client, const clock_source &clock,
                    published_reader_options reader, published_watch_options options,
                    events handlers)
        : m_loop(loop)
        , m_clock(clock)
        , m_options(options)
        , m_events(std::move(handlers))
        , m_reader(client, std::move(reader))
        , m_random(options.seed)
    { }
    ~published_watch() { stop(); }
    published_watch(const published_watch &) = delete;
    published_watch &operator=(const published_watch &) = delete;

    /// Starts watching; does nothing while it runs.
    void start();
    /// Gives the open call up.
    void stop();
    [[nodiscard]] bool running() const { return m_running; }
    /// Forgets what it waited for and reads at once, as after a pause of the process.
    void restart();

    [[nodiscard]] const read_counts &counts() const { return m_reader.counts(); }

private:
    void readNow();
    void onResult(typename published_reader<Document>::outcome_type outcome);
    void readAfter(milliseconds delay);

    net::event_loop &m_loop;
    const clock_source &m_clock;
    published_watch_options m_options;
    events m_events;
    published_reader<Document> m_reader;
    std::mt19937_64 m_random;
    net::timer_id m_timer = 0;
    bool m_running = false;
    bool m_readAtOnce = true; ///< the next call doesn't wait
    std::uint64_t m_version = 0; ///< highest seen
    std::uint32_t m_failures = 0; ///< in a row
    steady_time m_askedAt;
};

template <published_document Document>
void published_watch<Document>::start()
{
    if (std::exchange(m_running, true))
        return;
    m_readAtOnce = true;
    readNow();
}

template <published_document Document>
void published_watch<Document>::stop()
{
    if (!std::exchange(m_running, false))
        return;
    m_loop.cancelTimer(m_timer);
    m_reader.cancel();
}

template <published_document Document>
void published_watch<Document>::restart()
{
    stop();
    m_failures = 0;
    start();
}

template <published_document Document>
void published_watch<Document>::readNow()
{
    m_askedAt = m_clock.now();
    read_request request;
    if (!m_readAtOnce) {
        request.after = m_version;
        request.wait = m_options.wait;
    }
    m_reader.read(request, [this](auto outcome) { onResult(std::move(outcome)); });
}

template <published_document Document>
void published_watch<Document>::onResult(typename published_reader<Document>::outcome_type outcome)
{
    if (!outcome) {
        ++m_failures;
        m_readAtOnce = outcome.error().failure != read_failure::Stale;
        readAfter(backoffDelay(m_options, m_failures, m_random));
        if (m_events.onFailure)
            m_events.onFailure(outcome.error());
        return;
    }
    m_failures = 0;
    m_readAtOnce = false;
    const auto sinceAsked = std::chrono::duration_cast<milliseconds>(m_clock.now() - m_askedAt);
    readAfter(std::max(m_options.minInterval - sinceAsked, milliseconds{0}));
    const steady_time askedAt = m_askedAt;
    std::optional<value> changed = std::move(outcome).value();
    const bool higher = changed && Document::version(*changed) > m_version;
    // An older version is no confirmation: the service itself may be stale.
    const bool older = changed && Document::version(*changed) < m_version;
    if (higher)
        m_version = Document::version(*changed);
    if (higher && m_events.onChanged)
        m_events.onChanged(std::move(*changed));
    if (!older && m_events.onConfirmed)
        m_events.onConfirmed(askedAt);
}

template <published_document Document>
void published_watch<Document>::readAfter(milliseconds delay)
{
    m_timer = m_loop.callAfter(delay, [this] {
        if (m_running)
            readNow();
    });
}

} // namespace orchidlead::wire
