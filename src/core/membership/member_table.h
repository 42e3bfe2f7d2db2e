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

/// State of a member in this node's table.
struct member_record
{
    listed_vm vm;
    orchidlead::incarnation incarnation = 0;
    std::uint64_t generation = 0; ///< 0: no update received yet
    member_status status = member_status::Suspect;
    bool leaving = false; ///< announced by the member itself
    bool listed = false; ///< on the platform's VM list
    steady_time lastReceivedAt;
    /// Suspected: when the suspicion expires. Dead: since when.
    std::optional<steady_time> deadAt;
    std::set<std::uint32_t> suspectingNodes; ///< hashes of the nodes that suspect it
    std::uint32_t lastSuspectingNode = 0;

    [[nodiscard]] member_state state() const;
    [[nodiscard]] member toMember() const;
};

/// Effect of an update on the table.
enum class merge_effect {
    Older, ///< already known or outdated
    Changed, ///< new, to be gossiped
    Confirmed, ///< from one more node that suspects a suspected member
};

template <>
inline constexpr std::array enumNames<merge_effect>{
    enum_name<merge_effect>{merge_effect::Older, "older"},
    enum_name<merge_effect>{merge_effect::Changed, "changed"},
    enum_name<merge_effect>{merge_effect::Confirmed, "confirmed"},
};

/// Records of all members. Merging updates is independent of their order and of repetitions.
class member_table
{
public:
    using records = std::map<vm_id, member_record>;

    [[nodiscard]] const records &all() const { return m_records; }
    [[nodiscard]] const member_record *find(const vm_id &vm) const;
    /// Returns the member with this address; takes linear time.
    [[nodiscard]] const member_record *findAt(const socket_address &address) const;
    /// Returns the record for modification and invalidates the digest.
    [[nodiscard]] member_record *edit(const vm_id &vm);
    /// Records when a datagram of a member was received. Returns false if it is not in the table.
    bool touch(const vm_id &vm, steady_time receivedAt);
    member_record &add(member_record record);
    void erase(const vm_id &vm);

    /// Merges an update; has no effect for a member that is not in the table.
    merge_effect merge(const gossip_update &update, std::size_t maxSuspectingNodes);

    /// Returns the update that this node sends about a member.
    [[nodiscard]] static gossip_update toUpdate(const member_record &record);
    /// Whether an update takes precedence over the record.
    [[nodiscard]] static bool isNewer(const gossip_update &update, const member_record &record);

    /// Returns a hash that is equal on nodes with equal tables. Excludes suspicions, since they are
    /// temporary.
    [[nodiscard]] std::uint32_t digest() const;
    [[nodiscard]] std::size_t unlisted() const;

private:
    records m_records;
    mutable std::optional<std::uint32_t> m_digest;
};

/// Returns a hash that is equal on nodes with the same state of a member, suspicion excluded.
[[nodiscard]] std::uint32_t recordHash(const member_record &record);

/// Returns the hash that identifies a suspecting node in updates.
[[nodiscard]] std::uint32_t suspectingNodeHash(const vm_id &vm);

} // namespace orchidlead
