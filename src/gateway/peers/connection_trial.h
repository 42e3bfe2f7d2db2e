#pragma once

#include "gateway/peers/process_end_detector.h"
#include "http/stream_socket.h"

#include <functional>
#include <memory>

namespace orchidlead::gateway {

/// Tries to connect to an address, and closes the connection at once if it opens. Ends without a
/// result when it is destroyed.
class connection_trial final : private http::stream_events
{
public:
    /// A peer in another data centre answers within 40 ms; a lost SYN is retransmitted after 1 s.
    static constexpr milliseconds Timeout{250};

    /// `onResult` is called once, never within this call. It may destroy the trial.
    connection_trial(http::io_loop &loop, const socket_address &to,
                     const http::connect_function &connect,
                     std::function<void(connect_result)> onResult);
    ~connection_trial() override;
    connection_trial(const connection_trial &) = delete;
    connection_trial &operator=(const connection_trial &) = delete;

private:
    void onConnected() override { end(connect_result::Opened); }
    void onBytes(std::string_view /*bytes*/) override { }
    void onEnd(bool orderly) override;
    void end(connect_result result);

    http::io_loop &m_loop;
    std::function<void(connect_result)> m_onResult; ///< empty: called
    std::shared_ptr<http::stream_socket> m_socket;
    http::timer_id m_timer = 0;
};

} // namespace orchidlead::gateway
