#pragma once

#include "net/http_client.h"
#include "wire/json_rpc.h"
#include "wire/peer_messages.h"

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>
#include <orchidlead/result.h>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace orchidlead::wire {

/// How a call to a peer failed.
enum class peer_failure {
    NotSent, ///< no byte left: the peer knows nothing of the call
    Broken, ///< bytes left, and no whole answer came: the peer may have carried it out
    TimedOut, ///< as `Broken`
    BadAnswer, ///< a whole answer that isn't one to this call
    Refused, ///< the peer answered that it won't
};

/// Says what went wrong with a call to a peer.
struct peer_error
{
    peer_failure failure = peer_failure::Broken;
    std::string detail; ///< for people
};

/// Called once with the end of a call, never from within the function that started it.
template <class Answer>
using peer_handler = std::function<void(result<Answer, peer_error>)>;

/// Calls other nodes. No call is sent twice.
class peer_client
{
public:
    peer_client(net::event_loop &loop, net::http_client &client, const clock_source &clock);
    ~peer_client();
    peer_client(const peer_client &) = delete;
    peer_client &operator=(const peer_client &) = delete;

    void fetchConfiguration(const socket_address &peer, const configuration_fetch &message,
                            milliseconds timeout, peer_handler<configuration_content> onEnd);

    void sendGateMessage(const socket_address &peer, const gate_message &message,
                         milliseconds timeout, peer_handler<gate_message_taken> onEnd);

    /// Hands a request on, within its remaining time. The call goes over a connection of its own
    /// and is given up with `NotSent` if the time has run out before the first byte.
    net::call_id forward(const socket_address &peer, forward_request request,
                         peer_handler<forward_answer> onEnd);

    /// Closes the connection of a call; its handler isn't called any more.
    void cancel(net::call_id call);

    [[nodiscard]] std::uint64_t calls() const { return m_calls; }
    [[nodiscard]] std::uint64_t bytesOut() const { return m_bytesOut; }
    [[nodiscard]] std::uint64_t bytesIn() const { return m_bytesIn; }

private:
    /// An HTTP answer, whole.
    struct raw_answer
    {
        int status = 0;
        std::string contentType;
        std::string body;
    };

    struct call_record;

    void report(call_record &record, net::call_end end, peer_handler<raw_answer> onEnd);
    net::call_id start(net::http_call call, peer_handler<raw_answer> onEnd);
    template <class Answer>
    void call(const socket_address &peer, std::string_view method, const Json::Value &parameters,
              milliseconds timeout, peer_handler<Answer> onEnd,
              result<Answer, peer_error> (*read)(const Json::Value &));
    [[nodiscard]] static result<forward_answer, peer_error>
    readForwardAnswer(result<raw_answer, peer_error> raw);

    net::event_loop &m_loop;
    net::http_client &m_client;
    const clock_source &m_clock;
    std::set<net::call_id> m_open;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
    rpc_id m_lastId = 0;
    std::uint64_t m_calls = 0;
    std::uint64_t m_bytesOut = 0;
    std::uint64_t m_bytesIn = 0;
};

} // namespace orchidlead::wire

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::wire::peer_failure>{
    orchidlead::enum_name<orchidlead::wire::peer_failure>{orchidlead::wire::peer_failure::NotSent,
                                                          "not_sent"},
    orchidlead::enum_name<orchidlead::wire::peer_failure>{orchidlead::wire::peer_failure::Broken,
                                                          "broken"},
    orchidlead::enum_name<orchidlead::wire::peer_failure>{orchidlead::wire::peer_failure::TimedOut,
                                                          "timed_out"},
    orchidlead::enum_name<orchidlead::wire::peer_failure>{orchidlead::wire::peer_failure::BadAnswer,
                                                          "bad_answer"},
    orchidlead::enum_name<orchidlead::wire::peer_failure>{orchidlead::wire::peer_failure::Refused,
                                                          "refused"},
};
