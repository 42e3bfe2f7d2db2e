#pragma once

#include "standins/backend_server.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::standins {

/// Says what is wrong with the description of a process of stand-ins.
struct spec_error
{
    std::string what;
};

/// Describes a process that takes the place of one or more backend servers.
struct backend_process_spec
{
    std::uint64_t seed = 1;
    socket_address control{"127.0.0.1", 0};
    std::vector<backend_server_spec> servers;
};

/// Reads the YAML of standins/README.md.
[[nodiscard]] result<backend_process_spec, spec_error> parseBackendProcess(std::string_view yaml);

/// Hosts backend servers, and a control address for their faults and their common history.
class backend_process
{
public:
    [[nodiscard]] static result<std::unique_ptr<backend_process>, net::net_error>
    create(net::event_loop &loop, const clock_source &clock, const backend_process_spec &spec);

    /// `{"control": address, "servers": [{"name", "kind", "address"}]}`
    [[nodiscard]] Json::Value addresses() const;

private:
    explicit backend_process(const clock_source &clock)
        : m_clock(clock)
    { }

    void handleControl(const net::http_request &request, net::response_writer &response);
    void putFaults(const net::http_request &request, net::response_writer &response);
    void getHistory(const net::http_request &request, net::response_writer &response) const;
    [[nodiscard]] Json::Value serversJson() const;

    const clock_source &m_clock;
    socket_address m_control;
    run_history m_history;
    std::vector<std::unique_ptr<backend_server>> m_servers;
    std::unique_ptr<net::http_server> m_controlServer;
};

} // namespace orchidlead::standins
