#include "standins/fleet_runner.h"

#include "standins/json_http.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace orchidlead::standins {

namespace {

constexpr std::chrono::milliseconds StartPatience{5000};
constexpr std::size_t HistoryPage = 5000;
constexpr const char *Loopback = "127.0.0.1";

std::optional<Json::Value> readJsonFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    return parseJson(std::string(std::istreambuf_iterator<char>(file), {}));
}

socket_address addressIn(const Json::Value &announced, const char *key)
{
    return parseAddress(announced[key].asString()).value_or(socket_address{});
}

} // namespace

fleet_runner::fleet_runner(loop_driver &driver, fleet_layout layout, fleet_options options)
    : m_driver(driver)
    , m_layout(std::move(layout))
    , m_options(std::move(options))
    , m_processes(m_options.work)
{ }

std::string fleet_runner::writeFile(const std::string &name, const std::string &text) const
{
    std::string path = m_options.work + "/" + name;
    std::ofstream(path) << text;
    return path;
}

result<Json::Value, fleet_error> fleet_runner::startStandIn(const std::string &name,
                                                            const std::vector<std::string> &options)
{
    const std::string addresses = m_options.work + "/" + name + ".json";
    std::vector<std::string> command{m_options.build + "/standins/" + name,
                                     "--addresses=" + addresses};
    command.insert(command.end(), options.begin(), options.end());
    const auto started = m_processes.start(name, command);
    if (!started)
        return fleet_error{started.error().what};
    std::optional<Json::Value> announced;
    const auto isAnnounced = [&] {
        announced = readJsonFile(addresses);
        return announced.has_value() || !m_processes.running(name);
    };
    if (!m_driver.runUntil(isAnnounced, StartPatience) || !announced)
        return fleet_error{name + " did not start, see " + m_processes.logFile(name)};
    return *announced;
}

result<void, fleet_error> fleet_runner::startStandIns(std::uint64_t seed)
{
    const std::string servers = writeFile("servers.yaml", backendProcessYaml(m_layout, seed));
    const auto backend = startStandIn("standin-stage", {"--servers=" + servers});
    if (!backend)
        return backend.error();
    m_backendControl = addressIn(backend.value(), "control");
    const auto ports = findFreePorts(2);
    const auto platform =
        startStandIn("standin-platform",
                     {"--listen_configuration=" + toText(socket_address{Loopback, ports[0]}),
                      "--listen_vms=" + toText(socket_address{Loopback, ports[1]})});
    if (!platform)
        return platform.error();
    m_platform = {addressIn(platform.value(), "configuration"), addressIn(platform.value(), "vms")};
    m_platformControl = addressIn(platform.value(), "control");
    return success();
}

result<pid_t, fleet_error> fleet_runner::startVm(const std::string &name)
{
    const fleet_vm *vm = findVm(name);
    if (vm == nullptr)
        return fleet_error{"no VM " + name};
    const std::string settings =
        writeFile(name + ".yaml", settingsYaml(*vm, m_platform, m_options.moreSettings));
    const auto started = m_processes.start(name, {m_options.daemon, "--settings=" + settings});
    if (!started)
        return fleet_error{started.error().what};
    return started.value();
}

result<void, fleet_error> fleet_runner::awaitReady(const std::vector<std::string> &names,
                                                   std::chrono::milliseconds patience)
{
    for (const std::string &name : names) {
        const fleet_vm *vm = findVm(name);
        const auto isReady = [&] {
            return vm != nullptr && m_driver.call(vm->caller, "GET", "/readyz").has_value();
        };
        if (!m_driver.runUntil(isReady, patience))
            return fleet_error{name + " is not ready, see " + m_processes.logFile(name)};
    }
    return success();
}

std::optional<std::uint64_t> fleet_runner::publishConfiguration()
{
    const auto answer = m_driver.call(m_platformControl, "PUT", "/control/configuration",
                                      configurationYaml(m_layout, m_options.templatesAndCustomers));
    if (!answer)
        return std::nullopt;
    return (*answer)["version"].asUInt64();
}

bool fleet_runner::publishText(const std::string &text)
{
    return m_driver.call(m_platformControl, "PUT", "/control/configuration", text).has_value();
}

bool fleet_runner::publishVms()
{
    return m_driver
        .call(m_platformControl, "PUT", "/control/vms", toCompactJson(vmListJson(m_layout)))
        .has_value();
}

bool fleet_runner::setServerFaults(const std::string &server, const std::string &faults)
{
    const std::string body = R"({"server":")" + server + R"(","faults":[)" + faults + "]}";
    return m_driver.call(m_backendControl, "PUT", "/control/faults", body).has_value();
}

bool fleet_runner::setPlatformFaults(const std::string &part, const std::string &faults)
{
    const std::string body = R"({"part":")" + part + R"(","faults":[)" + faults + "]}";
    return m_driver.call(m_platformControl, "PUT", "/control/faults", body).has_value();
}

std::optional<std::vector<run_record>> fleet_runner::readRuns()
{
    std::vector<run_record> runs;
    for (std::uint64_t after = 0;;) {
        const std::string path = "/control/history?after=" + std::to_string(after)
            + "&limit=" + std::to_string(HistoryPage);
        const auto page = m_driver.call(m_backendControl, "GET", path);
        if (!page || (*page)["dropped"].asUInt64() > 0)
            return std::nullopt;
        for (const Json::Value &row : (*page)["runs"]) {
            const auto run = parseRunRecord(row);
            if (!run)
                return std::nullopt;
            runs.push_back(*run);
            after = run->sequence;
        }
        if ((*page)["runs"].empty())
            return runs;
    }
}

std::optional<Json::Value> fleet_runner::readPlatformHistory()
{
    return m_driver.call(m_platformControl, "GET", "/control/history");
}

const fleet_vm *fleet_runner::findVm(const std::string &name) const
{
    const auto found = std::find_if(m_layout.vms.begin(), m_layout.vms.end(),
                                    [&name](const fleet_vm &vm) { return vm.name == name; });
    return found == m_layout.vms.end() ? nullptr : &*found;
}

std::vector<socket_address> fleet_runner::entries() const
{
    std::vector<socket_address> addresses;
    for (const fleet_vm &vm : m_layout.vms)
        addresses.push_back(vm.caller);
    return addresses;
}

// Stand-ins get ports too: one that is down must find its port free when it comes back.
void assignPorts(fleet_layout &layout)
{
    constexpr std::size_t PortsOfVm = 3;
    std::size_t servers = 0;
    for (const fleet_service &service : layout.services)
        servers += service.servers.size();
    const auto ports = findFreePorts(layout.vms.size() * PortsOfVm + servers);
    std::size_t next = 0;
    for (fleet_vm &vm : layout.vms) {
        vm.caller = {Loopback, ports[next++]};
        vm.operators = {Loopback, ports[next++]};
        vm.peer = {Loopback, ports[next++]};
        vm.peerListen = vm.peer;
    }
    for (fleet_service &service : layout.services) {
        for (fleet_server &server : service.servers)
            server.address = {Loopback, ports[next++]};
    }
}

std::string makeWorkDirectory(const std::string &prefix)
{
    std::string path = (std::filesystem::temp_directory_path() / (prefix + "-XXXXXX")).string();
    if (::mkdtemp(path.data()) == nullptr)
        throw std::filesystem::filesystem_error("mkdtemp", path, std::error_code{});
    return path;
}

} // namespace orchidlead::standins
