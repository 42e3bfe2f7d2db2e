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

/// Number of shards of the keys of one data centre. It must be the same on all nodes.
inline constexpr std::size_t ShardCount = 64;

/// A set of shards, one bit each.
using shard_bits = std::uint64_t;

[[nodiscard]] constexpr shard_bits shardBit(std::size_t shard)
{
    return shard_bits{1} << shard;
}

/// Returns the shard of a record id. The result is the same in every process.
[[nodiscard]] std::size_t shardOf(std::string_view id);

/// Requests a voter's vote on a set of shards, all in one message.
struct lease_request
{
    orchidlead::incarnation holder = 0;
    /// Number of the holder's round of requests, echoed by the vote. The lease starts when the
    /// request of this round was sent.
    std::uint64_t round = 0;
    shard_bits shards = 0;
};

/// A voter's promise to vote for no other holder for the length of one lease.
struct lease_vote
{
    orchidlead::incarnation holder = 0;
    std::uint64_t round = 0;
    shard_bits granted = 0;
    /// For how long no other holder has had a promise for any of the granted shards.
    std::uint32_t noOtherPromiseMilliseconds = 0;
};

/// Releases votes before they expire, or transfers them to a successor.
struct lease_release
{
    orchidlead::incarnation holder = 0;
    /// Votes of later rounds stay valid, since messages may be reordered.
    std::uint64_t round = 0;
    shard_bits shards = 0;
    vm_id successor; ///< empty: votes are not transferred
    orchidlead::incarnation successorIncarnation = 0;
    /// Number of the first round of the successor's lease requests of which it counts votes.
    std::uint64_t successorFirstRound = 0;
};

/// A record of a call, sent to the next home of its shard.
struct handover_record
{
    std::string id;
    std::uint64_t digest = 0;
    std::int64_t remainingRetentionMilliseconds = 0; ///< remaining retention time
    /// False if the call was accepted by the previous home and its outcome is open.
    bool finished = false;
    std::string answer; ///< encoded; empty unless finished
};

/// One part of the handover of a shard.
struct shard_handover
{
    orchidlead::incarnation holder = 0;
    std::uint32_t shard = 0;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::int64_t coveredSince = 0; ///< unix milliseconds; `lease_coverage::since`
    std::int64_t leaseEnd = 0; ///< unix milliseconds
    std::vector<handover_record> records;
};

/// Acknowledges one part, or rejects the handover.
struct handover_reply
{
    orchidlead::incarnation holder = 0;
    std::uint32_t shard = 0;
    std::uint32_t part = 0;
    orchidlead::incarnation successor = 0;
    std::uint64_t successorFirstRound = 0; ///< as in `lease_release`
    bool accepted = false;
};

using key_home_message =
    std::variant<lease_request, lease_vote, lease_release, shard_handover, handover_reply>;

/// Reason why a message could not be decoded.
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
