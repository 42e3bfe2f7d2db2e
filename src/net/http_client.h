#pragma once

#include "net/event_loop.h"
#include "net/http_server.h"

#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::net {

using call_id = std::uint64_t;

/// How a call ended.
enum class call_end {
    Complete, ///< a whole answer with a consistent length
    NotSent, ///< no byte left this process
    Broken, ///< bytes left, and the answer isn't whole
    TimedOut, ///< as `Broken`, because of a timeout
    TooLarge, ///< the answer passed its bound
};

/// One call to a server.
struct http_call
{
    socket_address address;
    std::string method = "POST";
    std::string path = "/";
    header_list headers;
    std::string body;
    std::chrono::milliseconds connectTimeout{1000};
    std::chrono::milliseconds timeout{10000}; ///< for the whole call
    std::size_t maxResponseBytes = 64U << 20U;
    /// Whether the library may put it on a connection that was used before. It is a permission: at
    /// present every call has a fresh connection. A kept connection may die under a call after
    /// bytes left, so calls that may not be repeated never allow it.
    bool reuseConnection = true;
    /// Header fields (lower case) of the answer to report beside the registered ones.
    std::vector<std::string> customHeaders{"x-request-id"};
    /// Asked immediately before the first byte is sent; false: the call ends with `NotSent`.
    std::function<bool()> mayStillSend;
};

/// What a call reports. Each may be empty.
struct call_events
{
    std::function<void(int status, const header_list &headers)> onHead;
    std::function<void(std::string_view bytes)> onBody; ///< parts, as they come
    std::function<void(call_end end)> onEnd; ///< exactly once, last; not after `cancel`
};

/// Makes HTTP/1.1 calls without blocking, each on a connection of its own. A call is never sent
/// twice.
///
/// Destroying it cancels its calls. It must go before the loop, as everything that is made with it.
class http_client
{
public:
    [[nodiscard]] static std::unique_ptr<http_client> create(event_loop &loop);
    virtual ~http_client() = default;

    virtual call_id start(http_call call, call_events events) = 0;
    /// Closes the call's connection; none of its events is reported any more.
    virtual void cancel(call_id call) = 0;
    /// Stops or goes on reading the answer, for backpressure.
    virtual void setReading(call_id call, bool reading) = 0;
};

} // namespace orchidlead::net

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::net::call_end>{
    orchidlead::enum_name<orchidlead::net::call_end>{orchidlead::net::call_end::Complete,
                                                     "complete"},
    orchidlead::enum_name<orchidlead::net::call_end>{orchidlead::net::call_end::NotSent,
                                                     "not_sent"},
    orchidlead::enum_name<orchidlead::net::call_end>{orchidlead::net::call_end::Broken, "broken"},
    orchidlead::enum_name<orchidlead::net::call_end>{orchidlead::net::call_end::TimedOut,
                                                     "timed_out"},
    orchidlead::enum_name<orchidlead::net::call_end>{orchidlead::net::call_end::TooLarge,
                                                     "too_large"},
};
