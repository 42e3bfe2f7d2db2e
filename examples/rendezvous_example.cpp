// Nodes agree on the home of a key without communication: each picks it by rendezvous hashing over
// the same VM list. Removing a VM moves only the keys assigned to it.

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
constexpr std::size_t Copies = 2; ///< the home and its successor

struct homes
{
    vm_id home;
    vm_id successor;
};

/// Returns the home and successor of each key among `vms`.
std::map<std::string, homes> placeKeys(const std::vector<vm_id> &vms)
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
    const auto before = placeKeys(vms);
    std::map<vm_id, int> load;
    for (const auto &[key, where] : before)
        ++load[where.home];
    for (const auto &[vm, count] : load)
        std::cout << vm.value << " is home of " << count << " keys\n";
    shown.check(load.size() == vms.size(), "every VM is home of some keys");

    // The picks do not depend on the order of the VM list.
    std::vector<vm_id> reversed = vms;
    std::reverse(reversed.begin(), reversed.end());
    const auto elsewhere = placeKeys(reversed);
    shown.check(std::all_of(before.begin(), before.end(),
                            [&](const auto &entry) {
                                return elsewhere.at(entry.first).home == entry.second.home;
                            }),
                "a node with the VM list in another order picks the same homes");

    const vm_id removed{"vm-3"};
    std::vector<vm_id> rest = vms;
    std::erase(rest, removed);
    const auto after = placeKeys(rest);
    int moved = 0;
    int movedNeedlessly = 0;
    int movedToSuccessor = 0;
    for (const auto &[key, placement] : before) {
        const vm_id &now = after.at(key).home;
        if (now == placement.home)
            continue;
        ++moved;
        movedNeedlessly += placement.home == removed ? 0 : 1;
        movedToSuccessor += now == placement.successor ? 1 : 0;
    }
    std::cout << "without " << removed.value << ", " << moved << " of " << Keys << " keys moved\n";
    shown.check(moved == load[removed], "all keys of the removed VM moved");
    shown.check(movedNeedlessly == 0, "no other key moved");
    shown.check(movedToSuccessor == moved, "each key moved to its successor");
    return shown.exitCode();
}
