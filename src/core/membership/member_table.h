#pragma once

#include "core/membership/gossip_message.h"

#include <orchidlead/membership.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace orchidlead {

/// Everything that a node knows of one member.
struct member_record
{
    listed_vm vm;
    orchidlead::incarnation incarnation = 0;
    std::uint64_t generation = 0; ///< 0: never heard of
    member_status status = member_status::Suspect;
    bool leaving = false; ///< said so itself
    bool listed = false;
    steady_time lastHeard;
    std::optional<steady_time> deadAt; ///< end of the suspicion, or since when it is dead
    std::set<std::uint32_t> accusers;
    std::uint32_t lastAccuser = 0;

    [[nodiscard]] member_state state() const;
    [[nodiscard]] member toMember() const;
};

/// What a claim did to the table.
enum class merge_effect {
    Older, ///< known already, or outdated
    Changed, ///< worth passing on
    Confirmed, ///< one more accuser of a member that was suspected already
};

template <>
inline constexpr std::array enumNames<merge_effect>{
    enum_name<merge_effect>{merge_effect::Older, "older"},
    enum_name<merge_effect>{merge_effect::Changed, "changed"},
    enum_name<merge_effect>{merge_effect::Confirmed, "confirmed"},
};

/// Holds the records of all members and merges claims into them; order and repetition of claims
/// don't matter.
class member_table
{
public:
    using records = std::map<vm_id, member_record>;

    [[nodiscard]] const records &all() const { return m_records; }
    [[nodiscard]] const member_record *find(const vm_id &vm) const;
    /// Finds who has that address; takes a pass over all.
    [[nodiscard]] const member_record *findAt(const socket_address &address) const;
    /// Gives the record for changing; the digest is computed anew.
    [[nodiscard]] member_record *edit(const vm_id &vm);
    /// Notes that a member was heard of; false where it isn't in the table.
    bool touch(const vm_id &vm, steady_time heard);
    member_record &add(member_record record);
    void erase(const vm_id &vm);

    /// Merges a claim about a member that is in the table.
    merge_effect merge(const gossip_update &update, std::size_t maxAccusers);

    /// Gives the claim that this node makes about a member.
    [[nodiscard]] static gossip_update toUpdate(const member_record &record);
    /// Tells whether a claim says more than the record.
    [[nodiscard]] static bool isNewer(const gossip_update &update, const member_record &record);

    /// Gives a hash that agrees between nodes whose tables agree. Suspicion is left out, for it
    /// passes.
    [[nodiscard]] std::uint32_t digest() const;
    [[nodiscard]] std::size_t unlisted() const;

private:
    records m_records;
    mutable std::optional<std::uint32_t> m_digest;
};

/// Gives a hash that agrees between nodes that believe the same of a member, suspicion apart.
[[nodiscard]] std::uint32_t recordHash(const member_record &record);

/// Gives the short hash that names an accuser.
[[nodiscard]] std::uint32_t accuserHash(const vm_id &vm);

} // namespace orchidlead
