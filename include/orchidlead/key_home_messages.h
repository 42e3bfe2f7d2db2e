#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>
#include <orchidlead/result.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace orchidlead {

/// Number of shards that the keys of one data centre fall into. All nodes must agree on it.
inline constexpr std::size_t ShardCount = 64;

/// A set of shards, one bit each.
using shard_bits = std::uint64_t;

/// Gives the bit of one shard.
[[nodiscard]] constexpr shard_bits shardBit(std::size_t shard)
{
    return shard_bits{1} << shard;
}

/// Gives the shard of a record id; the same in every process.
[[nodiscard]] std::size_t shardOf(std::string_view id);

/// Asks a voter for its vote on a set of shards: one message for all of them.
struct lease_request
{
    orchidlead::incarnation holder = 0;
    std::uint64_t round = 0; ///< echoed by the vote; dates the lease
    shard_bits shards = 0;
};

/// A voter's promise, for one lease from now, that it votes for no other holder.
struct lease_vote
{
    orchidlead::incarnation holder = 0;
    std::uint64_t round = 0;
    shard_bits granted = 0;
    std::uint32_t freeMilliseconds =
        0; ///< for how long no other holder had a promise for any of them
};

/// Gives votes up early, or passes them to a successor.
struct lease_release
{
    orchidlead::incarnation holder = 0;
    std::uint64_t round = 0; ///< votes of later rounds stay: messages may be reordered
    shard_bits shards = 0;
    vm_id successor; ///< empty: to nobody
    orchidlead::incarnation successorIncarnation = 0;
    std::uint64_t successorRound = 0; ///< from which round on the successor counts votes
};

/// One record of a shard on its way to the next home.
struct handed_record
{
    std::string id;
    std::uint64_t digest = 0;
    std::int64_t keepMilliseconds = 0; ///< how much longer it must be kept
    bool finished = false; ///< false: accepted by the previous home, and its fate is open
    std::string answer; ///< opaque; only where finished
};

/// One part of the handover of a shard.
struct shard_handover
{
    orchidlead::incarnation holder = 0;
    std::uint32_t shard = 0;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::int64_t coveredSince = 0; ///< unix milliseconds
    std::int64_t leaseEnd = 0; ///< unix milliseconds
    std::vector<handed_record> records;
};

/// Acknowledges one part, or declines the handover.
struct handover_reply
{
    orchidlead::incarnation holder = 0;
    std::uint32_t shard = 0;
    std::uint32_t part = 0;
    orchidlead::incarnation successor = 0;
    std::uint64_t successorRound = 0;
    bool accepted = false;
};

using key_home_message =
    std::variant<lease_request, lease_vote, lease_release, shard_handover, handover_reply>;

/// Why bytes are no message.
enum class key_home_codec_error { TooLong, Malformed, OutOfRange };

template <>
inline constexpr std::array enumNames<key_home_codec_error>{
    enum_name<key_home_codec_error>{key_home_codec_error::TooLong, "too_long"},
    enum_name<key_home_codec_error>{key_home_codec_error::Malformed, "malformed"},
    enum_name<key_home_codec_error>{key_home_codec_error::OutOfRange, "out_of_range"},
};

inline constexpr std::size_t MaxKeyHomeMessage = 1U << 20U; ///< bytes
inline constexpr std::size_t MaxRecordsInPart = 1024;
inline constexpr std::uint32_t MaxHandoverParts = 256;

[[nodiscard]] std::string encodeKeyHomeMessage(const key_home_message &message);
[[nodiscard]] result<key_home_message, key_home_codec_error>
decodeKeyHomeMessage(std::string_view bytes);

} // namespace orchidlead
