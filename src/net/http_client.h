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
    Complete, ///< whole response of consistent length
    NotSent, ///< no byte was sent
    Broken, ///< bytes were sent; response incomplete
    TimedOut, ///< as `Broken`, caused by a timeout
    TooLarge, ///< the response exceeded its limit
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
    /// Whether the library may reuse a connection for the call. This is only a permission:
    /// currently every call opens a new connection. A reused connection may fail after bytes of the
    /// call were sent, so calls that must not be repeated never allow it.
    bool reuseConnection = true;
    /// Response header fields (lower case) to report in addition to the registered ones.
    std::vector<std::string> customHeaders{"x-request-id"};
    /// Called immediately before the first byte is sent; if false, the call ends with `NotSent`.
    std::function<bool()> mayStillSend;
};

/// Events of a call. Each function may be empty.
struct call_events
{
    std::function<void(int status, const header_list &headers)> onHead;
    std::function<void(std::string_view bytes)> onBody; ///< parts, as received
    /// Called exactly once, as the last event; not called after `cancel`.
    std::function<void(call_end end)> onEnd;
};

/// Makes HTTP/1.1 calls without blocking, each on a connection of its own. A call is never sent
/// twice.
///
/// Its destructor cancels its calls. Like all objects created with a loop, it must be destroyed
/// before the loop.
class http_client
{
public:
    [[nodiscard]] static std::unique_ptr<http_client> create(event_loop &loop);
    virtual ~http_client() = default;

    virtual call_id start(http_call call, call_events events) = 0;
    /// Closes the call's connection; no event of the call is reported from now on.
    virtual void cancel(call_id call) = 0;
    /// Pauses or resumes reading the response, for backpressure.
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
