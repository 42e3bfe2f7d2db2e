#pragma once

#include "core/node/node.h"
#include "core/node/node_control.h"
#include "net/http_server.h"

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>

#include <array>
#include <cstddef>
#include <functional>
#include <string>

namespace orchidlead::daemon {

/// Where a node is between its start and its exit.
enum class node_phase {
    Starting, ///< has no configuration that it may serve with
    Serving,
    Confirming, ///< asks whether its configuration still holds: after the start or a pause
    Stopping,
};

/// What the operators see of the process itself.
struct process_status
{
    node_phase phase = node_phase::Starting;
    std::string reason; ///< empty: ready
    milliseconds uptime{0};
    std::size_t connections = 0; ///< of callers
};

/// What the operator API asks of the daemon.
struct operator_hooks
{
    std::function<process_status()> status;
    std::function<std::string()> metrics; ///< Prometheus text
    std::function<void()> drain;
};

/// Serves docs/API.md's operator API.
class operator_api
{
public:
    operator_api(const node &state, const node_control &control, const clock_source &clock,
                 operator_hooks hooks);

    void handle(net::http_request &&request, const net::response_ptr &response) const;

private:
    void handleDrain(const net::response_ptr &response) const;
    void handleGet(const net::http_request &request, const net::response_ptr &response) const;
    [[nodiscard]] bool replyList(const net::http_request &request,
                                 const net::response_ptr &response) const;

    const node &m_node;
    const node_control &m_control;
    const clock_source &m_clock;
    operator_hooks m_hooks;
};

} // namespace orchidlead::daemon

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::daemon::node_phase>{
    orchidlead::enum_name<orchidlead::daemon::node_phase>{orchidlead::daemon::node_phase::Starting,
                                                          "starting"},
    orchidlead::enum_name<orchidlead::daemon::node_phase>{orchidlead::daemon::node_phase::Serving,
                                                          "serving"},
    orchidlead::enum_name<orchidlead::daemon::node_phase>{
        orchidlead::daemon::node_phase::Confirming, "confirming"},
    orchidlead::enum_name<orchidlead::daemon::node_phase>{orchidlead::daemon::node_phase::Stopping,
                                                          "stopping"},
};
