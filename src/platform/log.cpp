#include "platform/log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>

#include <atomic>
#include <ostream>
#include <utility>

namespace orchidlead::platform {

namespace {

/// Drops what doesn't fit and counts it. The library's own strategy doesn't count, and makes the
/// strategy itself, so that the counter has no other place than the process.
class counting_drop
{
public:
    template <class Lock>
    static bool on_overflow(const boost::log::record_view & /*record*/, Lock & /*lock*/)
    {
        s_dropped.fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    static void on_queue_space_available() { }
    static void interrupt() { }

    [[nodiscard]] static std::uint64_t dropped()
    {
        return s_dropped.load(std::memory_order_relaxed);
    }

private:
    static inline std::atomic<std::uint64_t> s_dropped{0};
};

using line_backend = boost::log::sinks::text_ostream_backend;
using line_queue = boost::log::sinks::bounded_fifo_queue<MaxQueuedLogLines, counting_drop>;
using line_frontend = boost::log::sinks::asynchronous_sink<line_backend, line_queue>;

} // namespace

/// The library's side of the log: a frontend with its queue and thread.
class log::sink
{
public:
    explicit sink(std::ostream &out)
    {
        const auto backend = boost::make_shared<line_backend>();
        backend->add_stream(boost::shared_ptr<std::ostream>(&out, boost::null_deleter{}));
        backend->auto_flush(true);
        m_frontend = boost::make_shared<line_frontend>(backend);
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

    void write(const std::string &text) { BOOST_LOG(m_logger) << text; }
    void flush() { m_frontend->flush(); }

private:
    boost::shared_ptr<line_frontend> m_frontend;
    boost::log::sources::logger m_logger;
};

log::log(log_options options, std::ostream &out, const clock_source &clock)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_sink(std::make_unique<sink>(out))
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
    return counting_drop::dropped();
}

} // namespace orchidlead::platform
