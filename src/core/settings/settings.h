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
    socket_address peer; ///< UDP and TCP; as in the VM list
};

/// Certificate of the caller address; both paths are empty if TLS is disabled.
struct tls_settings
{
    std::string certificateFile; ///< PEM
    std::string keyFile; ///< PEM
};

/// Services of the platform that the daemon reads: the configuration service and the VM list.
struct platform_settings
{
    socket_address configurationService;
    socket_address vmList;
    milliseconds readWait{30'000}; ///< of one long poll of a service
    milliseconds minReadInterval{500}; ///< between the starts of two reads of the same service
    milliseconds maxBackoff{5'000}; ///< after failed reads of a service
    std::uint32_t readersPerDataCenter = 3;
};

/// Limits on incoming data and on the state kept for it.
struct limit_settings
{
    std::size_t maxBodyBytes = 16U << 20U; ///< of one request
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxConnections = 4096;
    milliseconds requestTimeout{15'000}; ///< for receiving a whole request
    milliseconds idleTimeout{60'000}; ///< of keep-alive connections
    std::size_t maxInputBytes = 64U << 20U; ///< inputs and stage outputs of open requests
    std::size_t maxAnswerBytes = 16U << 20U; ///< of one answer of a backend server
    std::size_t maxStreamBytes = 256U << 10U; ///< buffered for one slow stream reader
    std::uint32_t maxOpenRequests = 20'000;
    std::uint32_t maxQueuedPerService = 2'000;
    std::uint32_t recentRequests = 1'000; ///< requests whose traces are kept
};

/// Execution of the stages of requests.
struct stage_settings
{
    std::uint32_t maxAttemptsPerStage = 4;
    milliseconds hopMargin{10}; ///< reserved per hop for the answer's return
    milliseconds remoteLatency{2}; ///< round trip to other data centres
    milliseconds connectTimeout{500};
};

/// Failure detection between peers.
struct membership_settings
{
    milliseconds probeInterval{1'000}; ///< for VMs in the same data centre
    milliseconds remoteProbeInterval{2'000}; ///< for VMs in other data centres
    milliseconds probeTimeout{300};
    milliseconds suspicionMin{3'000}; ///< from suspect to dead if other VMs confirm
    milliseconds suspicionMax{6'000}; ///< from suspect to dead without confirmation
};

/// Graceful shutdown.
struct stop_settings
{
    /// Time during which the node reports not ready but still serves, so that the load balancer
    /// removes it.
    milliseconds notice{5'000};
    milliseconds drain{30'000}; ///< maximum wait for requests in flight
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
    std::uint32_t queue = 10'000; ///< buffered lines; further ones are dropped
};

/// Settings of a process, read from its settings file at startup.
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

/// Parses and validates a settings file; returns all errors found, up to a limit.
[[nodiscard]] result<process_settings, std::vector<configuration_error>>
parseSettings(std::string_view yaml, std::string_view fileName);

} // namespace orchidlead
