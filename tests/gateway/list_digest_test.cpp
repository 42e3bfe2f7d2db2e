#include "gateway/publication/list_digest.h"
#include "gateway/publication/published_state.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

std::vector<server_ptr> makeServers(int count)
{
    std::vector<server_ptr> servers;
    for (int i = 0; i < count; ++i) {
        auto added = std::make_shared<server>();
        added->record.id = backend_server_id("i-" + std::to_string(i));
        added->record.service = service_id("s");
        added->record.address = {"10.0.0.1", static_cast<std::uint16_t>(80 + i)};
        added->record.dataCenter = data_center_id("dc-1");
        added->record.slots = 4;
        servers.push_back(added);
    }
    return servers;
}

} // namespace

TEST_CASE(
    "the digest of a list of servers does not depend on their order or their outstanding requests")
{
    auto servers = makeServers(300);
    const auto digest = digestOf(servers);
    std::ranges::reverse(servers);
    servers[0]->outstanding = 7;
    CHECK(digestOf(servers) == digest);
    CHECK(differingParts(digest, digestOf(servers)).empty());
}

TEST_CASE("a change of any published field changes the digest of the part of that server only")
{
    const auto before = digestOf(makeServers(300));
    const auto differsAfter = [&](const std::function<void(server_record &)> &change) {
        const auto servers = makeServers(300);
        change(servers[42]->record);
        return differingParts(before, digestOf(servers));
    };
    const std::vector<std::uint32_t> expected{
        static_cast<std::uint32_t>(digestPartOf(backend_server_id("i-42")))};
    CHECK(differsAfter([](server_record &each) { each.leaving = true; }) == expected);
    CHECK(differsAfter([](server_record &each) { each.slots = 5; }) == expected);
    CHECK(differsAfter([](server_record &each) { each.startedAt = 1; }) == expected);
    CHECK(differsAfter([](server_record &each) { each.address.port = 9; }) == expected);
    CHECK(differsAfter([](server_record &each) { each.version = software_version("v2"); })
          == expected);
    CHECK(differsAfter([](server_record &each) { each.service = service_id("t"); }) == expected);
    CHECK(differsAfter([](server_record &each) { each.dataCenter = data_center_id("d"); })
          == expected);
}

// A mass start: a follower that missed five changes among 3,000 servers is sent a twelfth of the
// list.
TEST_CASE("a few changes among thousands of servers change few parts of the digest")
{
    const auto before = digestOf(makeServers(3000));
    const auto servers = makeServers(3000);
    for (int i = 0; i < 5; ++i)
        servers[static_cast<std::size_t>(i) * 571]->record.leaving = true;
    CHECK(differingParts(before, digestOf(servers)).size() <= 5);
}

TEST_CASE("the digest of an empty list differs in each part that has a server")
{
    CHECK(differingParts(digestOf({}), digestOf(makeServers(3000))).size() == DigestParts);
    CHECK(differingParts(digestOf({}), digestOf(makeServers(1))).size() == 1);
}
