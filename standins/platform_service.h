#pragma once

#include "standins/versioned_document.h"

#include <memory>
#include <string>

namespace orchidlead::standins {

/// Addresses and first content of the platform's stand-in.
struct platform_options
{
    socket_address configurationAddress{"127.0.0.1", 0};
    socket_address vmsAddress{"127.0.0.1", 0};
    socket_address controlAddress{"127.0.0.1", 0};
    std::uint64_t version = 1; ///< of the first configuration
    std::string configuration; ///< YAML; empty: nothing is published yet
    Json::Value vms; ///< list as in docs/PROTOCOLS.md; null: nothing is published yet
};

/// Takes the place of the platform's configuration service and VM list.
class platform_service
{
public:
    [[nodiscard]] static result<std::unique_ptr<platform_service>, net::net_error>
    create(net::event_loop &loop, const clock_source &clock, const platform_options &options);

    /// `{"configuration": address, "vms": address, "control": address}`
    [[nodiscard]] Json::Value addresses() const;

private:
    platform_service() = default;

    void publishConfiguration(std::uint64_t version, const std::string &content);
    void publishVms(std::uint64_t version, const Json::Value &vms);
    void handleControl(const net::http_request &request, net::response_writer &response);
    void putConfiguration(const net::http_request &request, net::response_writer &response);
    void putVms(const net::http_request &request, net::response_writer &response);
    void putFaults(const net::http_request &request, net::response_writer &response);

    socket_address m_control;
    std::unique_ptr<versioned_document> m_configuration;
    std::unique_ptr<versioned_document> m_vms;
    std::unique_ptr<net::http_server> m_controlServer;
};

} // namespace orchidlead::standins
