#pragma once

#include "core/settings/configuration_error.h"

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>
#include <orchidlead/result.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead {

/// Addresses that the process listens on.
struct listen_settings
{
    socket_address caller;
    socket_address operators; ///< key `operator`
    socket_address peer; ///< UDP and TCP; as the VM list gives it
};

/// Certificate of the caller address; both paths are empty where TLS is off.
struct tls_settings
{
    std::string certificateFile; ///< PEM
    std::string keyFile; ///< PEM
};

/// Where the platform publishes, and how often it may be asked.
struct platform_settings
{
    socket_address configurationService;
    socket_address vmList;
    milliseconds readWait{30'000}; ///< of one long poll
    milliseconds minReadInterval{500}; ///< between the starts of two reads
    milliseconds maxBackoff{5'000}; ///< after failed reads
    std::uint32_t readersPerDataCenter = 3;
};

/// Bounds on what arrives.
struct limit_settings
{
    std::size_t maxBodyBytes = 16U << 20U; ///< of one request
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxConnections = 4096;
    milliseconds requestTimeout{15'000}; ///< until a request must be here whole
    milliseconds idleTimeout{60'000}; ///< of kept connections
    std::size_t maxInputBytes = 64U << 20U; ///< inputs and stages' outputs of open requests
    std::size_t maxAnswerBytes = 16U << 20U; ///< of one backend server's answer
    std::size_t maxStreamBytes = 256U << 10U; ///< that wait for one slow reader of a stream
    std::uint32_t maxOpenRequests = 20'000;
    std::uint32_t maxQueuedPerService = 2'000;
    std::uint32_t recentRequests = 1'000; ///< traces that are kept
};

/// How requests are taken through their stages.
struct stage_settings
{
    std::uint32_t maxAttemptsPerStage = 4;
    milliseconds hopMargin{10}; ///< kept back at each send for the way back
    milliseconds remoteLatency{2}; ///< counted against servers in other data centres
    milliseconds connectTimeout{500};
};

/// How peers watch each other.
struct membership_settings
{
    milliseconds probeInterval{1'000}; ///< of VMs in the own data centre
    milliseconds remoteProbeInterval{2'000}; ///< of VMs elsewhere
    milliseconds probeTimeout{300};
    milliseconds suspicionMin{3'000}; ///< from suspect to dead, with others confirming
    milliseconds suspicionMax{6'000}; ///< and alone
};

/// The planned stop.
struct stop_settings
{
    milliseconds notice{5'000}; ///< not ready, but still serving, so that the balancer notices
    milliseconds drain{30'000}; ///< longest wait for what is in flight
};

enum class log_format { Json, KeyValue };

template <>
inline constexpr std::array enumNames<log_format>{
    enum_name<log_format>{log_format::Json, "json"},
    enum_name<log_format>{log_format::KeyValue, "key_value"},
};

enum class log_level { Debug, Info, Warning, Error };

template <>
inline constexpr std::array enumNames<log_level>{
    enum_name<log_level>{log_level::Debug, "debug"},
    enum_name<log_level>{log_level::Info, "info"},
    enum_name<log_level>{log_level::Warning, "warning"},
    enum_name<log_level>{log_level::Error, "error"},
};

struct log_settings
{
    log_format format = log_format::KeyValue;
    log_level level = log_level::Info;
    std::string file; ///< empty: standard output
    std::uint32_t queue = 10'000; ///< lines that wait to be written; beyond, they are dropped
};

/// Everything that one process reads from its own file at start.
struct process_settings
{
    vm_id vm;
    data_center_id dataCenter;
    region_id region;
    listen_settings listen;
    tls_settings tls;
    platform_settings platform;
    limit_settings limits;
    stage_settings routing;
    membership_settings membership;
    stop_settings stop;
    log_settings log;
};

/// Reads and checks a settings file; gives every error found, up to a bound.
[[nodiscard]] result<process_settings, std::vector<configuration_error>>
parseSettings(std::string_view yaml, std::string_view fileName);

} // namespace orchidlead
