#include "core/settings/settings.h"

#include "core/settings/yaml_document.h"
#include "core/settings/yaml_reader.h"

#include <algorithm>
#include <tuple>

/// The keys are described in docs/CONFIGURATION.md.
namespace orchidlead {

namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::int64_t KiB = 1024;
constexpr std::int64_t MiB = 1024 * KiB;
constexpr std::int64_t GiB = 1024 * MiB;
constexpr duration_range LongPollRange{milliseconds{100}, minutes{5}};
constexpr duration_range IntervalRange{milliseconds{10}, minutes{1}};
constexpr duration_range BackoffRange{milliseconds{100}, minutes{5}};
constexpr duration_range ConnectionRange{milliseconds{100}, hours{1}};
constexpr duration_range MarginRange{milliseconds{0}, seconds{10}};
constexpr duration_range ShutdownRange{milliseconds{0}, hours{1}};
constexpr integer_range BodyRange{KiB, GiB};
constexpr integer_range HeaderRange{KiB, MiB};
constexpr integer_range ConnectionCountRange{1, 1'000'000};
constexpr integer_range RequestCountRange{1, 1'000'000};
constexpr integer_range TraceCountRange{0, 100'000};
constexpr integer_range AttemptCountRange{1, 16};
constexpr integer_range ReaderCountRange{1, 16};
constexpr integer_range LogQueueRange{1, 1'000'000};

/// Calls `parse` with the mapping under `key`, if present.
template <class Parse>
void readSection(mapping_reader &mapping, std::string_view key, presence requirement, Parse parse)
{
    const auto found = mapping.find(key, requirement);
    if (!found)
        return;
    mapping_reader section(*found);
    parse(section);
}

void requireOrder(const value_reader &section, std::string_view lowerKey, milliseconds lower,
                  std::string_view upperKey, milliseconds upper)
{
    if (lower <= upper)
        return;
    section.errors().add(
        section.value(), section.path() + '.' + std::string(lowerKey), formatDuration(lower),
        "at most `" + std::string(upperKey) + "`, which is " + formatDuration(upper));
}

void parseListen(mapping_reader &section, listen_settings &listen)
{
    section.read("caller", presence::Required, listen.caller, &value_reader::address);
    section.read("operator", presence::Required, listen.operators, &value_reader::address);
    section.read("peer", presence::Required, listen.peer, &value_reader::address);
    const bool distinct = listen.caller != listen.operators && listen.caller != listen.peer
        && listen.operators != listen.peer;
    if (!distinct && section.reader().errors().empty())
        section.reader().fail("three different addresses");
}

void parseTls(mapping_reader &section, tls_settings &tls)
{
    section.read("certificate", presence::Required, tls.certificateFile, &value_reader::text);
    section.read("key", presence::Required, tls.keyFile, &value_reader::text);
}

void parsePlatform(mapping_reader &section, platform_settings &platform)
{
    section.read("configuration_service", presence::Required, platform.configurationService,
                 &value_reader::address);
    section.read("vm_list", presence::Required, platform.vmList, &value_reader::address);
    section.readDuration("read_wait", platform.readWait, LongPollRange);
    section.readDuration("min_read_interval", platform.minReadInterval, IntervalRange);
    section.readDuration("max_backoff", platform.maxBackoff, BackoffRange);
    section.readInteger("readers_per_data_center", platform.readersPerDataCenter, ReaderCountRange);
    requireOrder(section.reader(), "min_read_interval", platform.minReadInterval, "max_backoff",
                 platform.maxBackoff);
}

void parseLimits(mapping_reader &section, limit_settings &limits)
{
    section.readBytes("max_body_bytes", limits.maxBodyBytes, BodyRange);
    section.readBytes("max_header_bytes", limits.maxHeaderBytes, HeaderRange);
    section.readInteger("max_connections", limits.maxConnections, ConnectionCountRange);
    section.readDuration("request_timeout", limits.requestTimeout, ConnectionRange);
    section.readDuration("idle_timeout", limits.idleTimeout, ConnectionRange);
    section.readBytes("max_input_bytes", limits.maxInputBytes, BodyRange);
    section.readBytes("max_answer_bytes", limits.maxAnswerBytes, BodyRange);
    section.readBytes("max_stream_bytes", limits.maxStreamBytes, BodyRange);
    section.readInteger("max_open_requests", limits.maxOpenRequests, RequestCountRange);
    section.readInteger("max_queued_per_service", limits.maxQueuedPerService, RequestCountRange);
    section.readInteger("recent_requests", limits.recentRequests, TraceCountRange);
    // A body that can never fit would be rejected as overload, which suggests that a retry could
    // succeed.
    if (limits.maxBodyBytes > limits.maxInputBytes) {
        section.reader().errors().add(
            section.reader().value(), section.reader().path() + ".max_input_bytes",
            std::to_string(limits.maxInputBytes),
            "at least `max_body_bytes`, which is " + std::to_string(limits.maxBodyBytes));
    }
}

void parseRouting(mapping_reader &section, stage_settings &routing)
{
    section.readInteger("max_attempts_per_stage", routing.maxAttemptsPerStage, AttemptCountRange);
    section.readDuration("hop_margin", routing.hopMargin, MarginRange);
    section.readDuration("remote_latency", routing.remoteLatency, MarginRange);
    section.readDuration("connect_timeout", routing.connectTimeout, IntervalRange);
}

void parseMembership(mapping_reader &section, membership_settings &membership)
{
    section.readDuration("probe_interval", membership.probeInterval, IntervalRange);
    section.readDuration("remote_probe_interval", membership.remoteProbeInterval, IntervalRange);
    section.readDuration("probe_timeout", membership.probeTimeout, IntervalRange);
    section.readDuration("suspicion_min", membership.suspicionMin, IntervalRange);
    section.readDuration("suspicion_max", membership.suspicionMax, IntervalRange);
    const value_reader &reader = section.reader();
    requireOrder(reader, "probe_timeout", membership.probeTimeout, "probe_interval",
                 membership.probeInterval);
    requireOrder(reader, "suspicion_min", membership.suspicionMin, "suspicion_max",
                 membership.suspicionMax);
}

void parseStop(mapping_reader &section, stop_settings &stop)
{
    section.readDuration("notice", stop.notice, ShutdownRange);
    section.readDuration("drain", stop.drain, ShutdownRange);
}

void parseLog(mapping_reader &section, log_settings &log)
{
    section.read("format", presence::Optional, log.format, &value_reader::enumerator<log_format>);
    section.read("level", presence::Optional, log.level, &value_reader::enumerator<log_level>);
    section.read("file", presence::Optional, log.file, &value_reader::text);
    section.readInteger("queue", log.queue, LogQueueRange);
}

process_settings parseRoot(const value_reader &root)
{
    process_settings settings;
    mapping_reader mapping(root);
    mapping.read("vm", presence::Required, settings.vm, &value_reader::name);
    mapping.read("data_center", presence::Required, settings.dataCenter, &value_reader::name);
    mapping.read("region", presence::Required, settings.region, &value_reader::name);
    const auto section = [&](std::string_view key, presence requirement, auto &target, auto parse) {
        readSection(mapping, key, requirement, [&](mapping_reader &each) { parse(each, target); });
    };
    section("listen", presence::Required, settings.listen, parseListen);
    section("tls", presence::Optional, settings.tls, parseTls);
    section("platform", presence::Required, settings.platform, parsePlatform);
    section("limits", presence::Optional, settings.limits, parseLimits);
    section("routing", presence::Optional, settings.routing, parseRouting);
    section("membership", presence::Optional, settings.membership, parseMembership);
    section("stop", presence::Optional, settings.stop, parseStop);
    section("log", presence::Optional, settings.log, parseLog);
    return settings;
}

} // namespace

result<process_settings, std::vector<configuration_error>> parseSettings(std::string_view yaml,
                                                                         std::string_view fileName)
{
    const auto root = parseYaml(yaml, fileName, end_marker::Optional);
    if (!root)
        return std::vector{root.error()};
    error_list errors{std::string(fileName)};
    process_settings settings = parseRoot(value_reader(root.value(), errors));
    if (!errors.empty())
        return errors.takeSorted();
    return settings;
}

} // namespace orchidlead
