#include "core/settings/settings.h"

#include <catch2/catch.hpp>

#include <string>

namespace orchidlead {
namespace {

using Catch::Matchers::Contains;

// Each invalid input below replaces one line of this file, so that the line of its error is known.
const std::vector<std::string> ValidLines{
    /* 1 */ "vm: vm-1",
    /* 2 */ "data_center: north-1",
    /* 3 */ "region: north",
    /* 4 */
    "listen: {caller: '127.0.0.1:7001', operator: '127.0.0.1:7201', peer: '127.0.0.1:7101'}",
    /* 5 */ "platform: {configuration_service: '127.0.0.1:7301', vm_list: '127.0.0.1:7302'}",
    /* 6 */ "limits: {max_body_bytes: 1MiB, max_queued_per_service: 10}",
    /* 7 */ "membership: {probe_timeout: 0.5s}",
    /* 8 */ "log: {format: json, level: warning, queue: 100}",
};

std::string withLine(std::size_t number, const std::string &line)
{
    std::string text;
    for (std::size_t i = 0; i < ValidLines.size(); ++i)
        text += (i + 1 == number ? line : ValidLines[i]) + "\n";
    return text;
}

std::string validSettings()
{
    return withLine(0, "");
}

struct invalid_settings
{
    std::size_t replacedLine; ///< number of the line that `text` replaces
    std::string text;
    int line;
    int column;
    std::string key;
    std::string expected; ///< substring
};

} // namespace

TEST_CASE("valid settings are parsed and omitted keys have their defaults")
{
    const auto read = parseSettings(validSettings(), "settings.yaml");
    REQUIRE(read);
    const process_settings &settings = read.value();
    CHECK(settings.vm == vm_id("vm-1"));
    CHECK(settings.listen.operators == socket_address{"127.0.0.1", 7201});
    CHECK(settings.limits.maxBodyBytes == 1U << 20U);
    CHECK(settings.limits.maxQueuedPerService == 10);
    CHECK(settings.limits.maxOpenRequests == limit_settings{}.maxOpenRequests);
    CHECK(settings.membership.probeTimeout == milliseconds(500));
    CHECK(settings.log.format == log_format::Json);
    CHECK(settings.log.level == log_level::Warning);
    CHECK(settings.tls.certificateFile.empty());
}

TEST_CASE("errors in a settings file are reported with their positions")
{
    const std::vector<invalid_settings> cases{
        {1, "vm: [a]", 1, 5, "vm", "a name"},
        {1, "vm: 'a b'", 1, 5, "vm", "a name"},
        {2, "", 1, 1, "data_center", "this key"},
        {2, "data_center: a\ndata_center: b", 3, 1, "data_center", "each key once"},
        {3, "region: north\nzone: 1", 4, 1, "zone", "a known key: vm, data_center"},
        {4, "listen: {caller: 'a:1', operator: '127.0.0.1:2', peer: '127.0.0.1:3'}", 4, 18,
         "listen.caller", "an IP address"},
        {4, "listen: {caller: '127.0.0.1:1', operator: '127.0.0.1:2', peer: '127.0.0.1:2'}", 4, 9,
         "listen", "three different addresses"},
        {4, "listen: {caller: '127.0.0.1:70000', operator: '127.0.0.1:2', peer: '127.0.0.1:3'}", 4,
         18, "listen.caller", "an IP address"},
        {6, "limits: {max_body_bytes: 1MB}", 6, 26, "limits.max_body_bytes",
         "bytes such as 65536, 64KiB or 16MiB from 1KiB to 1GiB"},
        {6, "limits: {max_body_bytes: 1GiB}", 6, 9, "limits.max_input_bytes",
         "at least `max_body_bytes`"},
        {6, "limits: {max_open_requests: 1.5}", 6, 29, "limits.max_open_requests",
         "a whole number"},
        {6, "limits: {max_open_requests: '5'}", 6, 29, "limits.max_open_requests",
         "a whole number"},
        {6, "limits: {max_open_requests: -1}", 6, 29, "limits.max_open_requests", "from 1 to"},
        {6, "limits:", 6, 1, "limits", "a mapping"},
        {7, "membership: {probe_interval: 10}", 7, 30, "membership.probe_interval", "a duration"},
        {7, "membership: {probe_interval: 1.0005s}", 7, 30, "membership.probe_interval",
         "a duration"},
        {7, "membership: {probe_interval: 2h}", 7, 30, "membership.probe_interval", "10ms to 1m"},
        {7, "membership: {suspicion_min: 7s}", 7, 13, "membership.suspicion_min",
         "at most `suspicion_max`, which is 6s"},
        {8, "log: {format: xml}", 8, 15, "log.format", "one of json, key_value"},
        {8, "tls: {certificate: a.pem}", 8, 6, "tls.key", "this key"},
    };
    for (const auto &each : cases) {
        const auto read = parseSettings(withLine(each.replacedLine, each.text), "settings.yaml");
        CAPTURE(each.text, each.key);
        REQUIRE_FALSE(read);
        std::string messages;
        for (const auto &error : read.error())
            messages += error.message() + "\n";
        INFO(messages);
        REQUIRE(read.error().size() == 1);
        const configuration_error &error = read.error().front();
        CHECK(error.line == each.line);
        CHECK(error.column == each.column);
        CHECK(error.key == each.key);
        CHECK_THAT(error.expected, Contains(each.expected));
    }
}

TEST_CASE("all errors in a settings file are reported at once in document order")
{
    const auto read = parseSettings("vm: ''\nregion: '-'\nlisten: {peer: x}\n", "settings.yaml");
    REQUIRE_FALSE(read);
    std::vector<std::string> keys;
    for (const auto &error : read.error())
        keys.push_back(error.key);
    CHECK(keys
          == std::vector<std::string>{"data_center", "platform", "vm", "region", "listen.caller",
                                      "listen.operator", "listen.peer"});
}

} // namespace orchidlead
