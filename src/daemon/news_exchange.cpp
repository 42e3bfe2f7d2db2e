#include "daemon/news_exchange.h"

#include "wire/server_news_json.h"

#include <array>
#include <utility>

namespace orchidlead::daemon {

namespace {

constexpr std::size_t MaxDatagramBytes = 1100;

// Datagrams get lost.
constexpr std::array Repeats{milliseconds{0}, milliseconds{250}, milliseconds{1000}};

} // namespace

news_exchange::news_exchange(net::event_loop &loop, const clock_source &clock, vm_id self,
                             news_exchange_events events)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_events(std::move(events))
    , m_news(clock)
{ }

void news_exchange::onTold(const leaving_update &news)
{
    if (!m_news.apply(news))
        return;
    for (const milliseconds delay : Repeats) {
        m_loop.callAfter(delay, [this, news, alive = std::weak_ptr<int>(m_alive)] {
            if (!alive.expired())
                tellAll(news);
        });
    }
}

void news_exchange::onDatagram(std::string_view bytes)
{
    const auto heard = wire::readServerNews(bytes);
    if (!heard)
        return;
    for (const auto &news : *heard) {
        if (m_news.apply(news))
            m_events.onHeard(news);
    }
}

void news_exchange::tellNewcomer(const member &newcomer)
{
    send(m_news.all(), newcomer);
}

void news_exchange::tellAll(const leaving_update &news)
{
    for (const auto &peer : m_events.members()) {
        if (peer.state != member_state::Dead)
            send({news}, peer);
    }
}

void news_exchange::send(const std::vector<leaving_update> &news, const member &to)
{
    if (to.vm.vm == m_self)
        return;
    for (const auto &bytes : wire::writeServerNews(news, MaxDatagramBytes))
        m_events.send(to.vm.peerAddress, bytes);
}

} // namespace orchidlead::daemon
