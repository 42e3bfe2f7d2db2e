#include "core/settings/settings.h"
#include "daemon/daemon.h"
#include "daemon/stop_signals.h"
#include "net/event_loop.h"
#include "wire/log.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <random>
#include <string>

ABSL_FLAG(std::string, settings, "", "path of the YAML file with the settings of this process");
ABSL_FLAG(bool, check, false, "checks the settings file and ends");

namespace {

using namespace orchidlead;

std::optional<process_settings> readSettings(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        std::cerr << "orchidleadd: can't read the settings file \"" << path << "\"\n";
        return std::nullopt;
    }
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    auto parsed = parseSettings(text, path);
    if (parsed)
        return std::move(parsed).value();
    for (const auto &error : parsed.error())
        std::cerr << error.message() << '\n';
    return std::nullopt;
}

/// Draws what tells this start from all others of the VM: later starts are higher, and the low bits
/// differ where the time of day doesn't.
incarnation drawIncarnation()
{
    constexpr unsigned RandomBits = 12;
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
    std::random_device random;
    const std::uint64_t low = random() & ((1U << RandomBits) - 1);
    return (static_cast<std::uint64_t>(micros) << RandomBits) | low;
}

/// Gives the stream that the log goes to; null where its file can't be opened.
std::ostream *openLog(const log_settings &settings, std::ofstream &file)
{
    if (settings.file.empty())
        return &std::cout;
    file.open(settings.file, std::ios::app);
    return file ? &file : nullptr;
}

wire::log_options logOptions(const process_settings &settings)
{
    wire::log_options options;
    options.vm = settings.vm;
    options.format = settings.log.format;
    options.level = settings.log.level;
    options.queue = settings.log.queue;
    return options;
}

int runDaemon(const process_settings &settings)
{
    auto loop = net::event_loop::create();
    if (!loop) {
        std::cerr << "orchidleadd: " << loop.error().what << '\n';
        return EXIT_FAILURE;
    }
    std::ofstream logFile;
    std::ostream *out = openLog(settings.log, logFile);
    if (out == nullptr) {
        std::cerr << "orchidleadd: can't open the log \"" << settings.log.file << "\"\n";
        return EXIT_FAILURE;
    }
    const system_clock_source clock;
    wire::log log(logOptions(settings), *out, clock);
    daemon::orchidlead_daemon daemon(*loop.value(), clock, settings, drawIncarnation(), log,
                                     [&] { loop.value()->stop(); });
    if (const auto started = daemon.start(); !started) {
        std::cerr << "orchidleadd: " << started.error().what << '\n';
        return EXIT_FAILURE;
    }
    std::cout << "orchidleadd " << settings.vm.value << " listens: " << daemon.addresses()
              << std::endl;
    const daemon::stop_signals signals(
        [&] { loop.value()->post([&daemon] { daemon.beginStop(); }); });
    loop.value()->run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    // Before any thread is started, so that all of them leave the signals to the waiting one.
    daemon::blockStopSignals();
    std::signal(SIGPIPE, SIG_IGN);
    absl::SetProgramUsageMessage("Runs one node of orchidlead. Usage: orchidleadd --settings FILE");
    absl::ParseCommandLine(argc, argv);
    const auto settings = readSettings(absl::GetFlag(FLAGS_settings));
    if (!settings)
        return EXIT_FAILURE;
    return absl::GetFlag(FLAGS_check) ? EXIT_SUCCESS : runDaemon(*settings);
}
