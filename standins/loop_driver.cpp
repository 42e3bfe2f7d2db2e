#include "standins/loop_driver.h"

#include "standins/json_http.h"

namespace orchidlead::standins {

namespace {

constexpr std::chrono::milliseconds PollInterval{20};
constexpr int StatusOk = 200;
constexpr int StatusRedirect = 300;

/// What is known of a call.
struct pending_call
{
    int status = 0;
    std::string body;
    std::optional<net::call_end> end;
};

} // namespace

void loop_driver::runFor(std::chrono::milliseconds time)
{
    m_loop.callAfter(time, [this] { m_loop.stop(); });
    m_loop.run();
}

bool loop_driver::runUntil(const std::function<bool()> &condition,
                           std::chrono::milliseconds patience)
{
    const auto end = std::chrono::steady_clock::now() + patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        runFor(PollInterval);
    }
    return true;
}

std::optional<Json::Value> loop_driver::call(const socket_address &address,
                                             const std::string &method, const std::string &path,
                                             const std::string &body,
                                             std::chrono::milliseconds timeout)
{
    pending_call pending;
    net::http_call call;
    call.address = address;
    call.method = method;
    call.path = path;
    call.body = body;
    call.timeout = timeout;
    call.reuseConnection = false;
    net::call_events events;
    events.onHead = [&pending](int status, const net::header_list &) { pending.status = status; };
    events.onBody = [&pending](std::string_view bytes) { pending.body += bytes; };
    events.onEnd = [this, &pending](net::call_end end) {
        pending.end = end;
        m_loop.stop();
    };
    m_client.start(std::move(call), std::move(events));
    while (!pending.end)
        m_loop.run();
    if (pending.end != net::call_end::Complete || pending.status < StatusOk
        || pending.status >= StatusRedirect)
        return std::nullopt;
    return parseJson(pending.body);
}

} // namespace orchidlead::standins
