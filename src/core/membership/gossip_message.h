#pragma once

#include <orchidlead/membership.h>
#include <orchidlead/result.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Datagrams of the membership protocol: typed messages and their MessagePack codec.
namespace orchidlead {

enum class gossip_kind : std::uint8_t {
    Ping,
    Ack,
    IndirectPing, ///< requests a probe of `target` by the receiver
    IndirectAck, ///< `target` answered the relay that sends this
    Nack, ///< `target` did not answer the relay that sends this
    Gossip,
    Sync, ///< hashes of the sender's records in a slice of its table
    /// Records of that slice that the receiver lacks, and hashes of records that the sender lacks.
    SyncReply,
    SyncRest, ///< the records requested by a `SyncReply`
};

template <>
inline constexpr std::array enumNames<gossip_kind>{
    enum_name<gossip_kind>{gossip_kind::Ping, "ping"},
    enum_name<gossip_kind>{gossip_kind::Ack, "ack"},
    enum_name<gossip_kind>{gossip_kind::IndirectPing, "indirect_ping"},
    enum_name<gossip_kind>{gossip_kind::IndirectAck, "indirect_ack"},
    enum_name<gossip_kind>{gossip_kind::Nack, "nack"},
    enum_name<gossip_kind>{gossip_kind::Gossip, "gossip"},
    enum_name<gossip_kind>{gossip_kind::Sync, "sync"},
    enum_name<gossip_kind>{gossip_kind::SyncReply, "sync_reply"},
    enum_name<gossip_kind>{gossip_kind::SyncRest, "sync_rest"},
};

/// Status of a member in an update. Within a generation, the greater value takes precedence.
enum class member_status : std::uint8_t { Alive, Suspect, Dead };

template <>
inline constexpr std::array enumNames<member_status>{
    enum_name<member_status>{member_status::Alive, "alive"},
    enum_name<member_status>{member_status::Suspect, "suspect"},
    enum_name<member_status>{member_status::Dead, "dead"},
};

/// Location and address of a member, for receivers whose VM list lacks it.
struct member_description
{
    data_center_id dataCenter;
    region_id region;
    socket_address address;
    std::uint32_t capacity = 0; ///< as in `listed_vm`

    friend auto operator<=>(const member_description &, const member_description &) = default;
};

[[nodiscard]] inline member_description descriptionOf(const listed_vm &vm)
{
    return {vm.dataCenter, vm.region, vm.peerAddress, vm.capacity};
}

/// State of a member as reported by some node.
struct gossip_update
{
    vm_id vm;
    orchidlead::incarnation incarnation = 0;
    std::uint64_t generation = 0; ///< raised by the member itself on restart and on refutation
    member_status status = member_status::Alive;
    bool leaving = false;
    std::uint32_t suspectedBy = 0; ///< hash of a suspecting node
    std::optional<member_description> description;

    friend bool operator==(const gossip_update &, const gossip_update &) = default;
};

/// Upper bound of the sent age of the VM list; means this age, greater or unknown.
inline constexpr milliseconds MaxListAge{600000};

/// The records of a member table whose hash is `index` modulo `count`.
struct table_slice
{
    std::uint32_t index = 0;
    std::uint32_t count = 1;

    [[nodiscard]] bool includes(std::uint32_t hash) const { return hash % count == index; }

    friend auto operator<=>(const table_slice &, const table_slice &) = default;
};

/// One datagram.
struct gossip_message
{
    gossip_kind kind = gossip_kind::Gossip;
    std::uint32_t sequence = 0; ///< matches answers to probes
    gossip_update sender; ///< state of the sender itself
    configuration_stamp configuration;
    std::uint32_t digest = 0; ///< of the sender's member table
    std::uint64_t listVersion = 0; ///< of the sender's VM list
    /// Time since the platform last confirmed the sender's VM list; `MaxListAge` if longer or
    /// never.
    milliseconds listAge{MaxListAge};
    std::string application;
    vm_id target; ///< of an indirect probe
    table_slice slice; ///< that is synchronised
    std::vector<std::uint32_t> hashes; ///< of records in `slice`; see `gossip_kind`
    bool truncated = false; ///< in a reply: not all missing records fitted
    std::vector<gossip_update> updates;

    friend bool operator==(const gossip_message &, const gossip_message &) = default;
};

/// Why a datagram was dropped.
enum class gossip_error { Malformed, UnknownFormat, TooLarge };

template <>
inline constexpr std::array enumNames<gossip_error>{
    enum_name<gossip_error>{gossip_error::Malformed, "malformed"},
    enum_name<gossip_error>{gossip_error::UnknownFormat, "unknown_format"},
    enum_name<gossip_error>{gossip_error::TooLarge, "too_large"},
};

/// Bounds on a received datagram and its fields.
inline constexpr std::size_t MaxGossipBytes = 1400;
inline constexpr std::size_t MaxGossipUpdates = 64;
inline constexpr std::size_t MaxGossipText = 64;
inline constexpr std::size_t MaxGossipHashes = 256;
inline constexpr std::uint32_t MaxTableSlices = 1024;
inline constexpr std::uint64_t MaxGeneration = std::uint64_t{1} << 62U;

[[nodiscard]] std::string encodeGossip(const gossip_message &message);
[[nodiscard]] result<gossip_message, gossip_error> decodeGossip(std::string_view bytes);

/// Returns the encoded size of an update in bytes.
[[nodiscard]] std::size_t encodedSize(const gossip_update &update);

} // namespace orchidlead
