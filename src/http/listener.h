#pragma once

#include "http/inbound_connection.h"

#include <orchidlead/result.h>

#include <memory>
#include <string>
#include <vector>

namespace orchidlead::http {

/// Says what the operating system refused.
struct listen_error
{
    std::string what;
};

/// Accepts client connections on one address.
class listener
{
public:
    /// `shared` holds the limits and the handler; it may be changed while the listener runs.
    [[nodiscard]] static result<std::unique_ptr<listener>, listen_error>
    create(io_loop &loop, const socket_address &at, std::shared_ptr<inbound_shared> shared);
    ~listener();

    [[nodiscard]] std::uint16_t port() const;
    /// Closes the connections that have no request.
    void closeIdle();
    /// Accepts no more; open connections go on.
    void stop();

private:
    class implementation;
    explicit listener(std::shared_ptr<implementation> made);
    std::shared_ptr<implementation> m_implementation;
};

} // namespace orchidlead::http
