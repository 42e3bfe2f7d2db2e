#include "gateway/settings.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

const std::string CompleteSettings = R"(vm: "edge-1"
data_center: "dc"
region: "r"
listen:
  clients: "10.0.0.1:1"
  readiness: "10.0.0.1:2"
  peers: "10.0.0.1:3"
store: "10.0.0.9:4"
first_contacts: ["10.0.0.1:3", "10.0.0.2:3"]
bounds:
  stop_grace: 8s
  publication_apply: 3s
  retry_share: 0.25
  retry_reserve: 52
  retry_window: 10s
)";

} // namespace

TEST_CASE("gateway settings are parsed")
{
    const auto settings = parseGatewaySettings(CompleteSettings, "f");
    REQUIRE(settings);
    CHECK(settings.value().vm.value == "edge-1");
    CHECK(settings.value().listen.peers.port == 3);
    CHECK(settings.value().firstContacts.size() == 2);
    CHECK(settings.value().bounds.retryShare == 0.25);
    CHECK(settings.value().bounds.stopGrace == milliseconds{8000});
    CHECK(settings.value().bounds.publicationApply == milliseconds{3000});
}

TEST_CASE("the relay address is optional, and must be an address where it is set")
{
    CHECK_FALSE(parseGatewaySettings(CompleteSettings, "f").value().listen.relay);
    auto text = CompleteSettings;
    const std::string after = "  peers: \"10.0.0.1:3\"\n";
    text.insert(text.find(after) + after.size(), "  relay: \"10.0.0.1:7740\"\n");
    const auto settings = parseGatewaySettings(text, "f");
    REQUIRE(settings);
    REQUIRE(settings.value().listen.relay);
    CHECK(settings.value().listen.relay->port == 7740);
    text.replace(text.find("10.0.0.1:7740"), 13, "somewhere");
    CHECK_FALSE(parseGatewaySettings(text, "f"));
}

TEST_CASE("the capacity of a node is parsed in cores and is 0 where it is not set")
{
    CHECK(parseGatewaySettings(CompleteSettings, "f").value().capacity == 0);
    CHECK(parseGatewaySettings(CompleteSettings + "capacity: 0.12\n", "f").value().capacity
          == 0.12);
    for (const std::string wrong : {"-1", "many", "1e300", ""}) {
        INFO(wrong);
        CHECK_FALSE(parseGatewaySettings(CompleteSettings + "capacity: " + wrong + "\n", "f"));
    }
}

TEST_CASE("each invalid setting and each unknown key is reported by name")
{
    auto text = CompleteSettings;
    text.replace(text.find("0.25"), 4, "many");
    text += "colour: blue\n";
    const auto settings = parseGatewaySettings(text, "f");
    REQUIRE_FALSE(settings);
    const auto &errors = settings.error();
    REQUIRE(errors.size() == 2);
    CHECK(errors[0].message().find("retry_share") != std::string::npos);
    CHECK(errors[1].message().find("colour") != std::string::npos);
}

TEST_CASE("policies are disabled by name, and an unknown name is an error")
{
    const auto set = parseGatewaySettings(
        CompleteSettings + "without: [told_waits, split_pools, whole_request_admission]\n", "f");
    REQUIRE(set);
    CHECK(set.value().disabledPolicies
          == disabled_policies{policy::SplitPools, policy::ReportedWaits,
                               policy::WholeRequestAdmission});
    const auto wrong = parseGatewaySettings(CompleteSettings + "without: [luck]\n", "f");
    REQUIRE_FALSE(wrong);
    CHECK(wrong.error().front().message().find("without") != std::string::npos);
}

TEST_CASE("gateway settings without a store are rejected")
{
    auto text = CompleteSettings;
    const auto begin = text.find("store:");
    text.erase(begin, text.find('\n', begin) - begin + 1);
    CHECK_FALSE(parseGatewaySettings(text, "f"));
}

TEST_CASE("the log line limit and the sharing of stage calls are parsed and have defaults")
{
    const auto plain = parseGatewaySettings(CompleteSettings, "f");
    REQUIRE(plain);
    CHECK(plain.value().requestLines == 100);
    CHECK(plain.value().stageCallSharing == stage_sharing::Shared);
    const auto set = parseGatewaySettings(
        CompleteSettings + "log:\n  request_lines: 7\nstage_calls: alone\n", "f");
    REQUIRE(set);
    CHECK(set.value().requestLines == 7);
    CHECK(set.value().stageCallSharing == stage_sharing::Alone);
    const auto wrong = parseGatewaySettings(CompleteSettings + "stage_calls: some\n", "f");
    REQUIRE_FALSE(wrong);
    CHECK(wrong.error().front().message().find("stage_calls") != std::string::npos);
}
