#pragma once

#include "cut_link.h"
#include "engine_process.h"
#include "platform_world.h"

#include <cstddef>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Gateway programs in processes of their own, for tests whose store and clients are in the test.
namespace orchidlead::platform_world {

/// A directory that is removed with this object.
class temporary_directory
{
public:
    temporary_directory();
    ~temporary_directory();
    temporary_directory(const temporary_directory &) = delete;
    temporary_directory &operator=(const temporary_directory &) = delete;

    [[nodiscard]] const std::filesystem::path &path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

/// Makes the settings of gateways available that run in processes of their own.
class process_world : public world
{
public:
    using world::makeSettings;
};

/// Returns the text of a settings file. Budgets and times that a test relies on are those of
/// `settings.bounds`.
[[nodiscard]] std::string settingsText(const gateway::gateway_settings &settings);

/// Starts the gateway program with these settings; appends its output to `log`.
[[nodiscard]] std::unique_ptr<child_process>
startGatewayProcess(const gateway::gateway_settings &settings, const std::filesystem::path &file,
                    const std::filesystem::path &log);

/// Asks a gateway for its readiness until it is ready, as a load balancer does. Stops asking when
/// `running` returns false.
void askUntilReady(world &w, const socket_address &address, std::function<bool()> running,
                   std::function<void()> onReady);

/// Gateways that keep their names and addresses when they are killed and started again. At first
/// none runs.
class gateway_processes
{
public:
    /// `dataCenters` has the data centre of each gateway.
    gateway_processes(process_world &w, const std::vector<std::string> &dataCenters);

    [[nodiscard]] std::size_t count() const { return m_nodes.size(); }
    void start(std::size_t index);
    void kill(std::size_t index);
    /// Sends SIGTERM.
    void terminate(std::size_t index);
    /// Stops a process without its knowledge, and lets it go on: what arrives meanwhile waits in
    /// its sockets.
    void pause(std::size_t index);
    void resume(std::size_t index);
    /// Cuts a gateway off from the store, silently, or ends the cut: what was held up then arrives.
    void cutFromStore(std::size_t index);
    void healStore(std::size_t index);
    [[nodiscard]] bool isRunning(std::size_t index) const;
    /// Whether the gateway has reported since its start that it is ready.
    [[nodiscard]] bool isReady(std::size_t index) const;
    [[nodiscard]] const socket_address &clientAddress(std::size_t index) const;
    /// Returns how many log lines of all gateways, ended ones included, contain a text.
    [[nodiscard]] int countLines(std::string_view text) const;

private:
    struct node
    {
        explicit node(http::io_loop &loop)
            : storeLink(loop)
        { }

        gateway::gateway_settings settings;
        cut_link storeLink;
        std::unique_ptr<child_process> process;
        int starts = 0;
        bool ready = false;
    };

    [[nodiscard]] std::filesystem::path logOf(const node &each) const;

    process_world &m_world;
    temporary_directory m_directory;
    std::vector<std::unique_ptr<node>> m_nodes;
};

} // namespace orchidlead::platform_world
