#include "gateway/peers/connection_trial.h"

#include <utility>

namespace orchidlead::gateway {

connection_trial::connection_trial(http::io_loop &loop, const socket_address &to,
                                   const http::connect_function &connect,
                                   std::function<void(connect_result)> onResult)
    : m_loop(loop)
    , m_onResult(std::move(onResult))
    , m_socket(connect(loop, to, *this))
    , m_timer(loop.callAfter(Timeout, [this] {
        m_timer = 0;
        end(connect_result::Unclear);
    }))
{ }

connection_trial::~connection_trial()
{
    m_loop.cancelTimer(m_timer);
    m_socket->close();
}

// Other errors than a refusal are for example those of a router without a route to the host.
void connection_trial::onEnd(bool /*orderly*/)
{
    end(m_socket->wasRefused() ? connect_result::Refused : connect_result::Unclear);
}

// The handler may destroy this object, so its call comes last.
void connection_trial::end(connect_result result)
{
    m_loop.cancelTimer(std::exchange(m_timer, 0));
    m_socket->close();
    if (const auto onResult = std::exchange(m_onResult, nullptr))
        onResult(result);
}

} // namespace orchidlead::gateway
