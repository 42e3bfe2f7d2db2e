#include "daemon/configuration_parser.h"

#include <utility>

namespace orchidlead::daemon {

namespace {

parsed_configuration parseNow(std::uint64_t version, std::string_view content)
{
    auto parsed = parsePublishedConfiguration(content, "configuration", version);
    if (parsed)
        return std::move(parsed).value();
    std::vector<std::string> lines;
    for (const auto &error : parsed.error())
        lines.push_back(error.message());
    return failure(std::move(lines));
}

} // namespace

configuration_parser::configuration_parser(net::event_loop &loop)
    : m_loop(loop)
    , m_thread([this] { run(); })
{ }

configuration_parser::~configuration_parser()
{
    {
        const std::lock_guard lock(m_mutex);
        m_ending = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

void configuration_parser::parse(std::uint64_t version, std::string content, handler onParsed)
{
    {
        const std::lock_guard lock(m_mutex);
        m_queue.push_back({version, std::move(content), std::move(onParsed)});
    }
    m_wake.notify_one();
}

void configuration_parser::run()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        m_wake.wait(lock, [this] { return m_ending || !m_queue.empty(); });
        if (m_ending)
            return;
        job next = std::move(m_queue.front());
        m_queue.pop_front();
        lock.unlock();
        auto parsed = parseNow(next.version, next.content);
        finish(std::move(next), std::move(parsed));
        lock.lock();
    }
}

void configuration_parser::finish(job done, parsed_configuration parsed)
{
    const std::weak_ptr<int> alive = m_alive;
    m_loop.post([this, alive, done = std::move(done), parsed = std::move(parsed)]() mutable {
        if (alive.expired())
            return;
        m_lastVersion = done.version;
        m_lastContent = done.content;
        m_last = std::move(parsed);
        done.onParsed(std::move(done.content));
    });
}

parsed_configuration configuration_parser::resultOf(std::uint64_t version, std::string_view content)
{
    if (m_last && version == m_lastVersion && content == m_lastContent)
        return *m_last;
    return parseNow(version, content);
}

} // namespace orchidlead::daemon
