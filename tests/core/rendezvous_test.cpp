#include <orchidlead/rendezvous.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace orchidlead;

namespace {

std::vector<vm_id> makeMembers(std::size_t count)
{
    std::vector<vm_id> members;
    for (std::size_t i = 0; i < count; ++i)
        members.emplace_back("vm-" + std::to_string(i));
    return members;
}

} // namespace

TEST_CASE("rendezvous weights are the same in every process and build")
{
    CHECK(rendezvousWeight("key", "vm-1") == 13698741004451684186ULL);
    CHECK(rendezvousWeight("", "") != rendezvousWeight("a", ""));
    CHECK(rendezvousWeight("ab", "c") != rendezvousWeight("a", "bc"));
}

TEST_CASE("removing a member moves only the keys assigned to it")
{
    rc::prop("", [] {
        auto members = makeMembers(*rc::gen::inRange<std::size_t>(2, 40));
        const auto removed = members[*rc::gen::inRange<std::size_t>(0, members.size())];
        const auto key = *rc::gen::arbitrary<std::string>();
        const auto before = rendezvousPick(key, members, 3);
        std::erase(members, removed);
        auto expected = before;
        std::erase(expected, removed);
        const auto after = rendezvousPick(key, members, 3);
        RC_ASSERT(std::equal(expected.begin(), expected.end(), after.begin()));
    });
}

TEST_CASE("the picks do not depend on the order of the members")
{
    auto members = makeMembers(9);
    const auto before = rendezvousPick("key", members, 9);
    std::reverse(members.begin(), members.end());
    CHECK(rendezvousPick("key", members, 9) == before);
    CHECK(rendezvousPick("key", members, 20).size() == 9);
}

TEST_CASE("keys are distributed evenly over the members")
{
    const auto members = makeMembers(8);
    std::vector<int> keys(members.size());
    for (int i = 0; i < 8000; ++i) {
        const auto home = rendezvousPick("key-" + std::to_string(i), members, 1).front();
        keys[std::stoul(home.value.substr(3))]++;
    }
    const auto [least, most] = std::minmax_element(keys.begin(), keys.end());
    CAPTURE(*least, *most);
    CHECK(*least > 850);
    CHECK(*most < 1150);
}
