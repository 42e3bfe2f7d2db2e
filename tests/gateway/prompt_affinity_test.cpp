#include "gateway/placement/prompt_affinity.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

std::vector<server_ptr> makeEngines(int inA, int inB)
{
    std::vector<server_ptr> engines;
    for (int i = 0; i < inA + inB; ++i) {
        auto engine = std::make_shared<server>();
        engine->record.id = backend_server_id("e" + std::to_string(i));
        engine->record.dataCenter = data_center_id(i < inA ? "a" : "b");
        engines.push_back(engine);
    }
    return engines;
}

std::vector<prompt_part> makePrompt(const std::string &session, std::uint32_t tokens)
{
    return {{"common", 100}, {session, tokens}, {"own", 500}};
}

} // namespace

TEST_CASE("a prompt's preferred data centre depends on its deepest shared part alone")
{
    const auto engines = makeEngines(4, 4);
    for (int i = 0; i < 50; ++i) {
        const auto session = "s" + std::to_string(i);
        const auto preferred = preferredDataCenterOf(makePrompt(session, 3000), engines);
        auto other = makePrompt(session, 3000);
        other.back() = {"another", 900};
        CHECK(preferredDataCenterOf(other, engines) == preferred);
    }
}

TEST_CASE("data centres get prompts in proportion to their engines")
{
    const auto engines = makeEngines(9, 3);
    std::map<std::string, int> homes;
    constexpr int Prompts = 2000;
    for (int i = 0; i < Prompts; ++i)
        ++homes[preferredDataCenterOf(makePrompt("s" + std::to_string(i), 3000), engines)->value];
    CHECK(homes["a"] > Prompts * 7 / 10);
    CHECK(homes["a"] < Prompts * 8 / 10);
}

TEST_CASE("removing an engine moves only the prompts assigned to it")
{
    const auto engines = makeEngines(6, 6);
    auto fewer = engines;
    fewer.pop_back();
    int moved = 0;
    constexpr int Prompts = 1000;
    for (int i = 0; i < Prompts; ++i) {
        const auto prompt = makePrompt("s" + std::to_string(i), 3000);
        moved +=
            preferredDataCenterOf(prompt, engines) == preferredDataCenterOf(prompt, fewer) ? 0 : 1;
    }
    CHECK(moved < Prompts / 10);
}

TEST_CASE("a prompt has no preferred data centre if it shares few or no tokens, or if there are no "
          "engines")
{
    const auto engines = makeEngines(2, 2);
    CHECK_FALSE(preferredDataCenterOf(makePrompt("s", 900), engines));
    CHECK_FALSE(preferredDataCenterOf({{"own", 5000}}, engines));
    CHECK_FALSE(preferredDataCenterOf(makePrompt("s", 3000), {}));
}
