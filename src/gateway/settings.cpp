#include "gateway/settings.h"

#include "core/settings/yaml_document.h"
#include "core/settings/yaml_reader.h"

#include <charconv>

/// The keys are described in docs/CONFIGURATION.md.
namespace orchidlead::gateway {

namespace {

constexpr duration_range WindowRange{milliseconds{100}, std::chrono::minutes{10}};
constexpr duration_range ApplyRange{std::chrono::seconds{1}, std::chrono::minutes{10}};
constexpr duration_range HistoryRange{milliseconds{0}, std::chrono::hours{1}};
constexpr duration_range GraceRange{milliseconds{0}, std::chrono::hours{1}};
constexpr integer_range QueueRange{1, 1'000'000};
constexpr integer_range RequestLinesRange{0, 1'000'000};
constexpr std::size_t MaxFirstContacts = 64;

std::optional<double> readNumber(const value_reader &reader)
{
    const auto &text = reader.value().scalar;
    double parsed = 0;
    const auto end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, parsed);
    if (reader.value().kind == yaml_kind::Scalar && error == std::errc{} && stop == end
        && parsed >= 0)
        return parsed;
    reader.fail("a number, at least 0");
    return std::nullopt;
}

std::optional<double> readCores(const value_reader &reader)
{
    constexpr double MaxCores = 100'000;
    const auto parsed = readNumber(reader);
    if (!parsed || *parsed <= MaxCores)
        return parsed;
    reader.fail("a number of cores, at most 100000");
    return std::nullopt;
}

void parseListen(const value_reader &reader, gateway_listen &listen)
{
    mapping_reader section(reader);
    section.read("clients", presence::Required, listen.clients, &value_reader::address);
    section.read("readiness", presence::Required, listen.readiness, &value_reader::address);
    section.read("peers", presence::Required, listen.peers, &value_reader::address);
    if (const auto relay = section.find("relay"))
        listen.relay = relay->address();
}

void parseBounds(const value_reader &reader, platform_bounds &bounds)
{
    mapping_reader section(reader);
    section.readDuration("stop_grace", bounds.stopGrace, GraceRange);
    section.readDuration("publication_apply", bounds.publicationApply, ApplyRange);
    section.readDuration("history_kept", bounds.historyKept, HistoryRange);
    section.read("retry_share", presence::Optional, bounds.retryShare, readNumber);
    section.read("retry_reserve", presence::Optional, bounds.retryReserve, readNumber);
    section.readDuration("retry_window", bounds.retryWindow, WindowRange);
}

// The keys are names of data centres, which are not known in advance. The items of a mapping are
// alternating keys and values.
void parseRegions(const value_reader &reader, std::map<data_center_id, region_id> &regions)
{
    mapping_reader section(reader);
    const auto &items = reader.value().items;
    for (std::size_t i = 0; i + 1 < items.size(); i += 2) {
        const auto found = section.find(items[i].scalar);
        const auto region = found ? found->name() : std::nullopt;
        if (region)
            regions.emplace(data_center_id(items[i].scalar), region_id(*region));
    }
}

void parseLog(const value_reader &reader, gateway_settings &settings)
{
    auto &log = settings.log;
    mapping_reader section(reader);
    section.read("format", presence::Optional, log.format, &value_reader::enumerator<log_format>);
    section.read("level", presence::Optional, log.level, &value_reader::enumerator<log_level>);
    section.readInteger("queue", log.queue, QueueRange);
    section.readInteger("request_lines", settings.requestLines, RequestLinesRange);
}

gateway_settings parseRoot(const value_reader &root)
{
    gateway_settings settings;
    mapping_reader mapping(root);
    mapping.read("vm", presence::Required, settings.vm, &value_reader::name);
    mapping.read("data_center", presence::Required, settings.dataCenter, &value_reader::name);
    mapping.read("region", presence::Required, settings.region, &value_reader::name);
    mapping.read("store", presence::Required, settings.store, &value_reader::address);
    mapping.read("capacity", presence::Optional, settings.capacity, readCores);
    if (const auto found = mapping.find("regions"))
        parseRegions(*found, settings.regions);
    if (const auto found = mapping.find("listen", presence::Required))
        parseListen(*found, settings.listen);
    if (const auto found = mapping.find("first_contacts")) {
        found->forEach(0, MaxFirstContacts, [&](const value_reader &each) {
            if (const auto address = each.address())
                settings.firstContacts.push_back(*address);
        });
    }
    mapping.read("first_start", presence::Optional, settings.firstStart, &value_reader::boolean);
    if (const auto found = mapping.find("bounds"))
        parseBounds(*found, settings.bounds);
    if (const auto found = mapping.find("log"))
        parseLog(*found, settings);
    if (const auto found = mapping.find("without")) {
        found->forEach(0, enumNames<policy>.size(), [&](const value_reader &each) {
            if (const auto disabled = each.enumerator<policy>())
                settings.disabledPolicies.insert(*disabled);
        });
    }
    mapping.read("stage_calls", presence::Optional, settings.stageCallSharing,
                 &value_reader::enumerator<stage_sharing>);
    return settings;
}

} // namespace

result<gateway_settings, std::vector<configuration_error>>
parseGatewaySettings(std::string_view yaml, std::string_view fileName)
{
    const auto root = parseYaml(yaml, fileName, end_marker::Optional);
    if (!root)
        return std::vector{root.error()};
    error_list errors{std::string(fileName)};
    gateway_settings settings = parseRoot(value_reader(root.value(), errors));
    if (!errors.empty())
        return errors.takeSorted();
    return settings;
}

} // namespace orchidlead::gateway
