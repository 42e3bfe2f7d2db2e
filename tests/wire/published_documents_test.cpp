#include "core/settings/socket_address_text.h"
#include "wire/configuration_service_client.h"
#include "wire/vm_list_client.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace orchidlead::wire {
namespace {

std::string vmEntry(const std::string &name, const std::string &address = "127.0.0.1:7101",
                    const std::string &state = "live")
{
    return R"({"vm":")" + name + R"(","data_center":"dc","region":"r","peer_address":")" + address
        + R"(","state":")" + state + "\"}";
}

std::string vmList(const std::string &entries)
{
    return R"({"version":7,"vms":[)" + entries + "]}";
}

TEST_CASE("A list of VMs is read whole")
{
    const auto list =
        vm_list_document::parse(vmList(vmEntry("a") + "," + vmEntry("b", "[::1]:7102", "leaving")));
    REQUIRE(list.has_value());
    CHECK(list.value().version == 7);
    REQUIRE(list.value().vms.size() == 2);
    CHECK(list.value().vms[1].peerAddress == socket_address{"::1", 7102});
    CHECK(list.value().vms[1].leaving);
}

TEST_CASE("A list of VMs with one bad entry is refused whole")
{
    const std::vector<std::string> bad{
        vmEntry("b", "localhost:7101"),
        vmEntry("b", "127.0.0.1"),
        vmEntry("b", "127.0.0.1:0"),
        vmEntry("b", "1.2.3.4:65536"),
        vmEntry("b", "1.2.3.4:1", "up"),
        vmEntry(""),
        vmEntry("a"),
        vmEntry(std::string(200, 'x')),
        "7",
    };
    for (const auto &entry : bad) {
        CAPTURE(entry);
        const auto list = vm_list_document::parse(vmList(vmEntry("a") + "," + entry));
        REQUIRE(list.has_error());
        CHECK(list.error().failure == read_failure::Malformed);
    }
}

TEST_CASE("A configuration needs a version from 1 and a content within the bound")
{
    CHECK(configuration_document::parse(R"({"version":12,"content":"a: 1\n"})").value().content
          == "a: 1\n");
    for (const char *bad : {"", "[]", R"({"version":0,"content":""})", R"({"version":1})",
                            R"({"version":-1,"content":""})", R"({"version":"1","content":""})",
                            R"({"version":1,"content":{}})", R"({"version":1,"content":""}x)"}) {
        CAPTURE(bad);
        CHECK(configuration_document::parse(bad).has_error());
    }
    const std::string huge(MaxConfigurationBytes + 1, 'x');
    const auto refused =
        configuration_document::parse(R"({"version":1,"content":")" + huge + "\"}");
    REQUIRE(refused.has_error());
    CHECK(refused.error().failure == read_failure::TooLarge);
}

TEST_CASE("The backoff doubles up to its bound and never leaves the upper half")
{
    published_watch_options options;
    options.minInterval = milliseconds{100};
    options.maxBackoff = milliseconds{1000};
    std::mt19937_64 random(20261202);
    for (std::uint32_t failures = 1; failures < 80; ++failures) {
        const auto delay = backoffDelay(options, failures, random);
        const auto bound = failures < 4 ? milliseconds{100U << failures} : options.maxBackoff;
        CAPTURE(failures, delay.count());
        CHECK(delay >= bound / 2);
        CHECK(delay <= bound);
    }
}

} // namespace
} // namespace orchidlead::wire
