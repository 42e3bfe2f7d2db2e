#include "gateway_process.h"

#include "core/settings/socket_address_text.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <sstream>
#include <system_error>
#include <utility>

namespace orchidlead::platform_world {

temporary_directory::temporary_directory()
{
    std::string name = std::filesystem::temp_directory_path() / "gateway-process-XXXXXX";
    REQUIRE(::mkdtemp(name.data()));
    m_path = name;
}

temporary_directory::~temporary_directory()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::string settingsText(const gateway::gateway_settings &settings)
{
    auto regions = settings.regions;
    regions.emplace(settings.dataCenter, settings.region);
    std::ostringstream text;
    text << "vm: \"" << settings.vm.value << "\"\ndata_center: \"" << settings.dataCenter.value
         << "\"\nregion: \"" << settings.region.value << "\"\nregions: {";
    for (const auto *separator = ""; const auto &[dataCenter, region] : regions) {
        text << separator << '"' << dataCenter.value << "\": \"" << region.value << '"';
        separator = ", ";
    }
    text << "}\nlisten:\n  clients: \"" << toText(settings.listen.clients) << "\"\n  readiness: \""
         << toText(settings.listen.readiness) << "\"\n  peers: \"" << toText(settings.listen.peers)
         << "\"\n  relay: \"" << toText(*settings.listen.relay) << "\"\nstore: \""
         << toText(settings.store) << "\"\nfirst_contacts: [";
    for (const auto &each : settings.firstContacts)
        text << '"' << toText(each) << "\", ";
    const auto &bounds = settings.bounds;
    text << "]\nbounds:\n  stop_grace: " << bounds.stopGrace.count()
         << "ms\n  publication_apply: " << bounds.publicationApply.count()
         << "ms\n  retry_share: " << bounds.retryShare
         << "\n  retry_reserve: " << bounds.retryReserve
         << "\n  retry_window: " << bounds.retryWindow.count() << "ms\n";
    return text.str();
}

std::unique_ptr<child_process> startGatewayProcess(const gateway::gateway_settings &settings,
                                                   const std::filesystem::path &file,
                                                   const std::filesystem::path &log)
{
    std::ofstream(file) << settingsText(settings);
    const char *build = std::getenv("ORCHIDLEAD_BUILD");
    REQUIRE(build);
    const auto program = std::string(build) + "/orchidlead-gateway";
    return std::make_unique<child_process>([&] {
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, STDOUT_FILENO);
        ::setenv("ORCHIDLEAD_NODE_FILE", file.c_str(), 1);
        ::execl(program.c_str(), program.c_str(), nullptr);
    });
}

void askUntilReady(world &w, const socket_address &address, std::function<bool()> running,
                   std::function<void()> onReady)
{
    static constexpr milliseconds Interval{100};
    const auto status = std::make_shared<int>(0);
    http::outbound_call call;
    call.writeHead = [] {
        return std::optional(http::formatHead(makeRequest("GET", "/readyz", "probe")));
    };
    call.onHead = [status](const http::response_head &got) { *status = got.status; };
    call.onBody = [](std::string_view) {};
    call.onEnd = [&w, address, status, running = std::move(running),
                  onReady = std::move(onReady)](http::call_end) {
        if (!running())
            return;
        if (*status == 200) {
            onReady();
            return;
        }
        w.loop.callAfter(Interval, [&w, address, running, onReady] {
            if (running())
                askUntilReady(w, address, running, onReady);
        });
    };
    w.pool.start(address, std::move(call));
}

gateway_processes::gateway_processes(process_world &w, const std::vector<std::string> &dataCenters)
    : m_world(w)
{
    for (std::size_t i = 0; i < dataCenters.size(); ++i) {
        m_nodes.push_back(std::make_unique<node>(w.loop));
        auto &settings = m_nodes[i]->settings;
        settings = w.makeSettings("g" + std::to_string(i + 1), dataCenters[i]);
        settings.store = m_nodes[i]->storeLink.addressFor(settings.store);
    }
    for (const auto &each : m_nodes) {
        for (const auto &other : m_nodes) {
            if (other != each)
                each->settings.firstContacts.push_back(other->settings.listen.peers);
        }
    }
}

void gateway_processes::start(std::size_t index)
{
    auto &started = *m_nodes.at(index);
    const auto file = m_directory.path() / (started.settings.vm.value + ".yaml");
    started.process = startGatewayProcess(started.settings, file, logOf(started));
    started.ready = false;
    const auto start = ++started.starts;
    askUntilReady(
        m_world, started.settings.listen.readiness,
        [&started, start] { return started.process && started.starts == start; },
        [&started] { started.ready = true; });
}

void gateway_processes::kill(std::size_t index)
{
    m_nodes.at(index)->process = nullptr;
    m_nodes.at(index)->ready = false;
}

void gateway_processes::terminate(std::size_t index)
{
    m_nodes.at(index)->process->signal(SIGTERM);
}

void gateway_processes::pause(std::size_t index)
{
    m_nodes.at(index)->process->signal(SIGSTOP);
}

void gateway_processes::resume(std::size_t index)
{
    m_nodes.at(index)->process->signal(SIGCONT);
}

void gateway_processes::cutFromStore(std::size_t index)
{
    m_nodes.at(index)->storeLink.cut(cut_kind::Hang);
}

void gateway_processes::healStore(std::size_t index)
{
    m_nodes.at(index)->storeLink.heal();
}

bool gateway_processes::isRunning(std::size_t index) const
{
    const auto &each = *m_nodes.at(index);
    return each.process && each.process->running();
}

bool gateway_processes::isReady(std::size_t index) const
{
    return isRunning(index) && m_nodes[index]->ready;
}

const socket_address &gateway_processes::clientAddress(std::size_t index) const
{
    return m_nodes.at(index)->settings.listen.clients;
}

int gateway_processes::countLines(std::string_view text) const
{
    int count = 0;
    for (const auto &each : m_nodes) {
        std::ifstream log(logOf(*each));
        for (std::string line; std::getline(log, line);)
            count += line.find(text) != std::string::npos ? 1 : 0;
    }
    return count;
}

std::filesystem::path gateway_processes::logOf(const node &each) const
{
    return m_directory.path() / (each.settings.vm.value + ".log");
}

} // namespace orchidlead::platform_world
