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

/// The datagrams of the membership protocol: typed messages and their MessagePack codec.
namespace orchidlead {

enum class gossip_kind : std::uint8_t {
    Ping,
    Ack,
    IndirectPing, ///< asks the receiver to probe `target`
    IndirectAck, ///< `target` answered the receiver's helper
    Nack, ///< `target` didn't answer the helper; the helper itself is well
    Gossip,
    Sync, ///< hashes of the records that the sender has, of one slice of its table
    SyncReply, ///< records of that slice that the receiver lacks, and hashes that the sender lacks
    SyncRest, ///< records whose hashes the receiver lacked
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

/// What is claimed of a member; of one generation the greater value wins.
enum class member_status : std::uint8_t { Alive, Suspect, Dead };

template <>
inline constexpr std::array enumNames<member_status>{
    enum_name<member_status>{member_status::Alive, "alive"},
    enum_name<member_status>{member_status::Suspect, "suspect"},
    enum_name<member_status>{member_status::Dead, "dead"},
};

/// Where an unlisted member lives.
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

/// A claim about one member.
struct gossip_update
{
    vm_id vm;
    orchidlead::incarnation incarnation = 0;
    std::uint64_t generation = 0; ///< raised by the member itself to refute or to restart
    member_status status = member_status::Alive;
    bool leaving = false;
    std::uint32_t accuser = 0; ///< short hash of who suspects
    std::optional<member_description> description;

    friend bool operator==(const gossip_update &, const gossip_update &) = default;
};

/// Ages of the VM list are not told apart beyond this.
inline constexpr milliseconds MaxListAge{600000};

/// The records of a table whose hashes leave the same rest when divided by `count`.
struct table_slice
{
    std::uint32_t index = 0;
    std::uint32_t count = 1;

    [[nodiscard]] bool holds(std::uint32_t hash) const { return hash % count == index; }

    friend auto operator<=>(const table_slice &, const table_slice &) = default;
};

/// One datagram.
struct gossip_message
{
    gossip_kind kind = gossip_kind::Gossip;
    std::uint32_t sequence = 0; ///< joins answers to probes
    gossip_update sender; ///< the sender's claim about itself
    configuration_stamp configuration;
    std::uint32_t digest = 0; ///< of the sender's table
    std::uint64_t listVersion = 0; ///< of the platform's VM list
    milliseconds listAge{
        MaxListAge}; ///< since the platform vouched for it; `MaxListAge`: longer or never
    std::string application;
    vm_id target; ///< of indirect probes
    table_slice slice; ///< of synchronisation
    std::vector<std::uint32_t> hashes; ///< of records in the slice; see `gossip_kind`
    bool cutShort = false; ///< a reply: the receiver lacks more records than fitted
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

/// Bounds on what is read from a datagram.
inline constexpr std::size_t MaxGossipBytes = 1400;
inline constexpr std::size_t MaxGossipUpdates = 64;
inline constexpr std::size_t MaxGossipText = 64;
inline constexpr std::size_t MaxGossipHashes = 256;
inline constexpr std::uint32_t MaxTableSlices = 1024;
inline constexpr std::uint64_t MaxGeneration = std::uint64_t{1} << 62U;

[[nodiscard]] std::string encodeGossip(const gossip_message &message);
[[nodiscard]] result<gossip_message, gossip_error> decodeGossip(std::string_view bytes);

/// Gives the encoded size of one update.
[[nodiscard]] std::size_t encodedSize(const gossip_update &update);

} // namespace orchidlead
