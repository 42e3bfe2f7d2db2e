#pragma once

#include "net/http_client.h"

#include <json/json.h>

#include <functional>
#include <optional>
#include <string>

namespace orchidlead::standins {

/// Lets a program that starts and watches processes be written as a sequence of steps: each
/// function serves the event loop until what it waits for is there, and everything else that uses
/// the loop goes on meanwhile.
class loop_driver
{
public:
    loop_driver(net::event_loop &loop, net::http_client &client)
        : m_loop(loop)
        , m_client(client)
    { }

    /// Serves the loop for a time.
    void runFor(std::chrono::milliseconds time);

    /// Serves the loop until the condition holds; false where it did not within the time.
    [[nodiscard]] bool runUntil(const std::function<bool()> &condition,
                                std::chrono::milliseconds patience);

    /// Makes a call and gives its JSON answer; nothing where it failed or was refused.
    std::optional<Json::Value> call(const socket_address &address, const std::string &method,
                                    const std::string &path, const std::string &body = "",
                                    std::chrono::milliseconds timeout = DefaultTimeout);

private:
    static constexpr std::chrono::milliseconds DefaultTimeout{3000};

    net::event_loop &m_loop;
    net::http_client &m_client;
};

} // namespace orchidlead::standins
