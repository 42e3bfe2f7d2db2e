#include "standins/proof_marker.h"
#include "standins/workload.h"

#include <catch2/catch.hpp>

#include <set>

using namespace orchidlead::standins;

namespace {

constexpr const char *Document = R"(
classes:
  - {name: chat, customer: saare, pipeline: chat, rate: 90, bytes: 100}
  - {name: sign_up, customer: saare, pipeline: sign-up, rate: 10, repeatable: false, identity: key}
bursts:
  - {at_ms: 1000, length_ms: 1000, factor: 3}
)";

} // namespace

TEST_CASE("a plan follows the rates and bursts, and its seed gives it again")
{
    const auto work = parseWorkload(Document);
    REQUIRE(work.has_value());
    const auto plan = planArrivals(work.value(), {milliseconds{3000}, 0}, 7);
    const auto again = planArrivals(work.value(), {milliseconds{3000}, 0}, 7);
    REQUIRE(plan.size() == again.size());
    CHECK(plan.back().nonce == again.back().nonce);
    std::size_t inBurst = 0;
    std::size_t signUps = 0;
    std::set<std::string> nonces;
    for (const planned_request &request : plan) {
        inBurst += request.at >= milliseconds{1000} && request.at < milliseconds{2000} ? 1 : 0;
        signUps += request.workClass;
        nonces.insert(request.nonce);
    }
    CAPTURE(plan.size(), inBurst, signUps);
    CHECK(nonces.size() == plan.size());
    CHECK(inBurst > 240);
    CHECK(inBurst < 360);
    CHECK(plan.size() - inBurst < 260);
    CHECK(signUps > 20);
    CHECK(signUps < 90);
}

TEST_CASE("requests that share a prefix begin alike and bear their own nonces")
{
    work_class kind;
    kind.prefixes = 2;
    kind.prefixBytes = 300;
    planned_request one;
    one.nonce = toHex(1);
    one.bytes = 50;
    planned_request two = one;
    two.nonce = toHex(2);
    const std::string first = makeText(kind, one);
    const std::string second = makeText(kind, two);
    CHECK(first.substr(0, 300) == second.substr(0, 300));
    CHECK(findNonce(first) == one.nonce);
    CHECK(findNonce(second) == two.nonce);
}

TEST_CASE("a workload with an unknown key, a wrong type or no class is refused")
{
    const auto text = GENERATE("classes: [{name: a, speed: 3}]", "classes: [{name: a, rate: fast}]",
                               "classes: []", "classes: [{name: a, rate: 0}]", "- 1", "a: [");
    CAPTURE(text);
    CHECK_FALSE(parseWorkload(text).has_value());
}
