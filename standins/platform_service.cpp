#include "standins/platform_service.h"

#include "standins/json_http.h"

#include <utility>

namespace orchidlead::standins {

namespace {

void respondVersion(net::response_writer &response, std::uint64_t version)
{
    Json::Value body;
    body["version"] = Json::UInt64{version};
    respondJson(response, 200, body);
}

} // namespace

result<std::unique_ptr<platform_service>, net::net_error>
platform_service::create(net::event_loop &loop, const clock_source &clock,
                         const platform_options &options)
{
    std::unique_ptr<platform_service> service(new platform_service);
    auto configuration =
        versioned_document::create(loop, clock, options.configurationAddress, "/v1/configuration");
    if (!configuration)
        return configuration.error();
    service->m_configuration = std::move(configuration.value());
    auto vms = versioned_document::create(loop, clock, options.vmsAddress, "/v1/vms");
    if (!vms)
        return vms.error();
    service->m_vms = std::move(vms.value());
    net::http_server_options controlOptions;
    controlOptions.listen = options.controlAddress;
    auto control = net::http_server::create(
        loop, controlOptions,
        [self = service.get()](net::http_request &&request, const net::response_ptr &response) {
            self->handleControl(request, *response);
        });
    if (!control)
        return control.error();
    service->m_controlServer = std::move(control.value());
    service->m_control = {options.controlAddress.ip, service->m_controlServer->port()};
    if (!options.configuration.empty())
        service->publishConfiguration(options.version, options.configuration);
    if (options.vms.isArray())
        service->publishVms(1, options.vms);
    return service;
}

Json::Value platform_service::addresses() const
{
    Json::Value json;
    json["configuration"] = toText(m_configuration->address());
    json["vms"] = toText(m_vms->address());
    json["control"] = toText(m_control);
    return json;
}

void platform_service::publishConfiguration(std::uint64_t version, const std::string &content)
{
    Json::Value body;
    body["version"] = Json::UInt64{version};
    body["content"] = content;
    m_configuration->publish(version, std::move(body));
}

void platform_service::publishVms(std::uint64_t version, const Json::Value &vms)
{
    Json::Value body;
    body["version"] = Json::UInt64{version};
    body["vms"] = vms;
    m_vms->publish(version, std::move(body));
}

void platform_service::handleControl(const net::http_request &request,
                                     net::response_writer &response)
{
    const bool put = request.method == "PUT";
    if (put && request.path == "/control/configuration")
        putConfiguration(request, response);
    else if (put && request.path == "/control/vms")
        putVms(request, response);
    else if (put && request.path == "/control/faults")
        putFaults(request, response);
    else if (request.method == "GET" && request.path == "/control/history") {
        Json::Value json;
        json["configuration"] = m_configuration->historyJson();
        json["vms"] = m_vms->historyJson();
        respondJson(response, 200, json);
    } else {
        respondError(response, 404, "unknown path or method");
    }
}

void platform_service::putConfiguration(const net::http_request &request,
                                        net::response_writer &response)
{
    const std::uint64_t next = m_configuration->newestVersion() + 1;
    const std::uint64_t version = queryNumber(request.query, "version").value_or(next);
    publishConfiguration(version, request.body);
    respondVersion(response, version);
}

void platform_service::putVms(const net::http_request &request, net::response_writer &response)
{
    const auto body = parseJson(request.body);
    if (!body || !body->isArray()) {
        respondError(response, 400, "expected a list of VMs");
        return;
    }
    const std::uint64_t version = m_vms->newestVersion() + 1;
    publishVms(version, *body);
    respondVersion(response, version);
}

void platform_service::putFaults(const net::http_request &request, net::response_writer &response)
{
    const auto body = parseJson(request.body);
    if (!body || !body->isObject()) {
        respondError(response, 400, "malformed JSON");
        return;
    }
    const auto faults = parseFaults(*body);
    const std::string part = (*body)["part"].isString() ? (*body)["part"].asString() : "";
    if (!faults || (part != "configuration" && part != "vms" && !part.empty())) {
        respondError(response, 400, "unknown part, unknown fault or malformed list");
        return;
    }
    const bool both = part.empty();
    const bool first = part == "vms" || m_configuration->setFaults(faults.value()).has_value();
    const bool second = (!both && part != "vms") || m_vms->setFaults(faults.value()).has_value();
    if (first && second)
        respondJson(response, 200, addresses());
    else
        respondError(response, 500, "the port can't be opened again");
}

} // namespace orchidlead::standins
