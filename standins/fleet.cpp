#include "standins/fleet.h"

#include "standins/json_http.h"

#include <sstream>

namespace orchidlead::standins {

namespace {

void writeDataCenters(std::ostream &yaml, const fleet_layout &layout)
{
    yaml << "data_centers:\n";
    for (const fleet_data_center &one : layout.dataCenters)
        yaml << "  - {name: " << one.name << ", region: " << one.region << "}\n";
}

void writeModels(std::ostream &yaml, const std::vector<std::string> &models)
{
    yaml << "    models: [";
    for (std::size_t i = 0; i < models.size(); ++i)
        yaml << (i == 0 ? "" : ", ") << models[i];
    yaml << "]\n";
}

void writeService(std::ostream &yaml, const fleet_service &service)
{
    yaml << "  - name: " << service.name << "\n    kind: " << toName(service.kind)
         << "\n    repeatable: " << (service.repeatable ? "true" : "false") << '\n';
    if (service.kind == service_kind::Engine)
        writeModels(yaml, service.models);
    yaml << "    servers:\n";
    for (const fleet_server &server : service.servers)
        yaml << "      - {name: " << server.name << ", address: '" << toText(server.address)
             << "', data_center: " << server.dataCenter << "}\n";
}

void writeStandIn(std::ostream &yaml, const fleet_service &service, const fleet_server &server)
{
    const bool engine = service.kind == service_kind::Engine;
    yaml << "  - {name: " << server.name << ", kind: " << toName(service.kind) << ", listen: '"
         << toText(server.address) << "', capacity: " << service.capacity
         << (engine ? ", step_ms: " : ", base_ms: ") << service.baseMs;
    if (!engine)
        yaml << ", per_kib_ms: " << service.perKibMs;
    yaml << "}\n";
}

} // namespace

std::string configurationYaml(const fleet_layout &layout, const std::string &templatesAndCustomers)
{
    std::ostringstream yaml;
    yaml << "format: 1\n";
    writeDataCenters(yaml, layout);
    yaml << "services:\n";
    for (const fleet_service &service : layout.services)
        writeService(yaml, service);
    yaml << templatesAndCustomers;
    return yaml.str();
}

Json::Value vmListJson(const fleet_layout &layout)
{
    Json::Value list(Json::arrayValue);
    for (const fleet_vm &vm : layout.vms) {
        Json::Value row;
        row["vm"] = vm.name;
        row["data_center"] = vm.dataCenter;
        row["region"] = vm.region;
        row["peer_address"] = toText(vm.peer);
        row["state"] = vm.leaving ? "leaving" : "live";
        list.append(row);
    }
    return list;
}

std::string settingsYaml(const fleet_vm &vm, const fleet_platform &platform,
                         const std::string &more)
{
    std::ostringstream yaml;
    yaml << "vm: " << vm.name << "\ndata_center: " << vm.dataCenter << "\nregion: " << vm.region
         << "\nlisten:\n  caller: " << toText(vm.caller) << "\n  operator: " << toText(vm.operators)
         << "\n  peer: " << toText(vm.peerListen)
         << "\nplatform:\n  configuration_service: " << toText(platform.configuration)
         << "\n  vm_list: " << toText(platform.vms) << '\n'
         << more;
    return yaml.str();
}

std::string backendProcessYaml(const fleet_layout &layout, std::uint64_t seed)
{
    std::ostringstream yaml;
    yaml << "seed: " << seed << "\nservers:\n";
    for (const fleet_service &service : layout.services) {
        for (const fleet_server &server : service.servers)
            writeStandIn(yaml, service, server);
    }
    return yaml.str();
}

void removeServer(const std::string &name, fleet_layout &layout)
{
    for (fleet_service &service : layout.services)
        std::erase_if(service.servers,
                      [&name](const fleet_server &server) { return server.name == name; });
}

} // namespace orchidlead::standins
