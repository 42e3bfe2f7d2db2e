// Shows how nodes agree on where a key lives without talking to each other: each picks by
// rendezvous hashing over the same list of VMs, and removing a VM moves only the keys that it had.

#include "claims.h"

#include <orchidlead/ids.h>
#include <orchidlead/rendezvous.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <string>
#include <vector>

using namespace orchidlead;

namespace {

constexpr int Keys = 1000;
constexpr std::size_t Copies = 2; ///< the home and the one that would follow it

struct homes
{
    vm_id home;
    vm_id successor;
};

/// Picks the homes of all keys among `vms`.
std::map<std::string, homes> place(const std::vector<vm_id> &vms)
{
    std::map<std::string, homes> placed;
    for (int i = 0; i < Keys; ++i) {
        const std::string key = "session-" + std::to_string(i);
        const std::vector<vm_id> picked = rendezvousPick(key, vms, Copies);
        placed[key] = {picked.at(0), picked.at(1)};
    }
    return placed;
}

} // namespace

int main()
{
    claims shown;
    const std::vector<vm_id> vms{vm_id{"vm-1"}, vm_id{"vm-2"}, vm_id{"vm-3"}, vm_id{"vm-4"},
                                 vm_id{"vm-5"}};
    const auto before = place(vms);
    std::map<vm_id, int> load;
    for (const auto &[key, where] : before)
        ++load[where.home];
    for (const auto &[vm, count] : load)
        std::cout << vm.value << " is home of " << count << " keys\n";
    shown.check(load.size() == vms.size(), "every VM is home of some keys");

    // Another node may hold the list in another order: the places are the same.
    std::vector<vm_id> reversed = vms;
    std::reverse(reversed.begin(), reversed.end());
    const auto elsewhere = place(reversed);
    shown.check(std::all_of(before.begin(), before.end(),
                            [&](const auto &entry) {
                                return elsewhere.at(entry.first).home == entry.second.home;
                            }),
                "a node with the list in another order picks the same homes");

    const vm_id gone{"vm-3"};
    std::vector<vm_id> rest = vms;
    std::erase(rest, gone);
    const auto after = place(rest);
    int moved = 0;
    int movedNeedlessly = 0;
    int movedToSuccessor = 0;
    for (const auto &[key, old] : before) {
        const vm_id &now = after.at(key).home;
        if (now == old.home)
            continue;
        ++moved;
        movedNeedlessly += old.home == gone ? 0 : 1;
        movedToSuccessor += now == old.successor ? 1 : 0;
    }
    std::cout << "without " << gone.value << ", " << moved << " of " << Keys << " keys moved\n";
    shown.check(moved == load[gone], "all keys of the removed VM moved");
    shown.check(movedNeedlessly == 0, "no other key moved");
    shown.check(movedToSuccessor == moved, "each went to the VM that was its second pick");
    return shown.exitCode();
}
