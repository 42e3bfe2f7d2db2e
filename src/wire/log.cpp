#include "wire/log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unbounded_fifo_queue.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

#include <atomic>
#include <ostream>
#include <utility>

namespace orchidlead::wire {

namespace {

namespace sinks = boost::log::sinks;

/// Writes lines and counts down those that wait.
class line_backend : public sinks::basic_formatted_sink_backend<char, sinks::synchronized_feeding>
{
public:
    line_backend(std::ostream &out, std::atomic<std::uint32_t> &waiting)
        : m_out(out)
        , m_waiting(waiting)
    { }

    void consume(const boost::log::record_view & /*record*/, const std::string &text)
    {
        m_out << text << '\n' << std::flush;
        m_waiting.fetch_sub(1, std::memory_order_relaxed);
    }

private:
    std::ostream &m_out;
    std::atomic<std::uint32_t> &m_waiting;
};

using line_frontend = sinks::asynchronous_sink<line_backend, sinks::unbounded_fifo_queue>;

} // namespace

// The library's bounded queue takes its bound at compile time, and its strategies for a full queue
// don't count what they drop. So its unbounded one is used, and no line enters it beyond the bound.
class log::sink
{
public:
    sink(std::ostream &out, std::uint32_t bound)
        : m_bound(bound)
        , m_frontend(
              boost::make_shared<line_frontend>(boost::make_shared<line_backend>(out, m_waiting)))
    {
        m_frontend->set_formatter(boost::log::expressions::stream
                                  << boost::log::expressions::smessage);
        boost::log::core::get()->add_sink(m_frontend);
    }

    ~sink()
    {
        boost::log::core::get()->remove_sink(m_frontend);
        m_frontend->stop();
        m_frontend->flush();
    }

    sink(const sink &) = delete;
    sink &operator=(const sink &) = delete;

    void write(const std::string &text)
    {
        if (m_waiting.load(std::memory_order_relaxed) >= m_bound) {
            ++m_dropped;
            return;
        }
        m_waiting.fetch_add(1, std::memory_order_relaxed);
        BOOST_LOG(m_logger) << text;
    }
    void flush() { m_frontend->flush(); }
    [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }

private:
    std::uint32_t m_bound;
    std::atomic<std::uint32_t> m_waiting{0};
    std::uint64_t m_dropped = 0; ///< of the one thread that writes lines
    boost::shared_ptr<line_frontend> m_frontend;
    boost::log::sources::logger m_logger;
};

log::log(log_options options, std::ostream &out, const clock_source &clock)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_sink(std::make_unique<sink>(out, m_options.queue))
{ }

log::~log() = default;

log_line log::line(log_level level, std::string_view event) const
{
    log_line started(m_options.format, m_clock.wallNow(), level, event);
    started.add("vm", m_options.vm.value);
    return started;
}

void log::write(const log_decision &decision)
{
    if (m_options.level > log_level::Info)
        return;
    auto entry = line(log_level::Info, toName(decision.kind));
    entry.add("request", decision.key.request.value);
    entry.add("customer", decision.customer.value);
    entry.add("stage", decision.stage.value);
    entry.add("stage_index", decision.key.stage);
    entry.add("attempt", decision.key.attempt);
    entry.addList("candidates", decision.candidates,
                  [](const backend_server_id &server) -> std::string_view { return server.value; });
    entry.add("chosen", decision.chosen.value);
    entry.add("reason", decision.reason);
    entry.add("remaining_ms", decision.remaining.count());
    write(log_level::Info, std::move(entry));
}

void log::write(log_level level, node_event event, std::string_view detail)
{
    if (level < m_options.level)
        return;
    auto entry = line(level, toName(event));
    entry.add("detail", detail);
    write(level, std::move(entry));
}

void log::write(log_level level, log_line line)
{
    if (level >= m_options.level)
        m_sink->write(line.finish());
}

void log::flush()
{
    m_sink->flush();
}

std::uint64_t log::dropped() const
{
    return m_sink->dropped();
}

} // namespace orchidlead::wire
