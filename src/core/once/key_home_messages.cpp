#include <orchidlead/key_home_messages.h>

#include <msgpack.hpp>
#include <xxhash.h>

#include <exception>
#include <optional>
#include <tuple>

namespace orchidlead {

namespace {

// A message is encoded as an array of its type and its fields in order.
enum class message_type : std::uint8_t { Request = 1, Vote, Release, Handover, HandoverReply };

constexpr std::size_t MaxTextBytes = 512;
constexpr std::int64_t MaxUnixMilliseconds = 1'000'000'000'000'000;
constexpr std::uint64_t ShardSeed = 0x6b65795f686f6d65ULL;

// Each message begins with its type and the holder's incarnation.
using request_wire = std::tuple<std::uint8_t, incarnation, std::uint64_t, shard_bits>;
using vote_wire = std::tuple<std::uint8_t, incarnation, std::uint64_t, shard_bits, std::uint32_t>;
using release_wire = std::tuple<std::uint8_t, incarnation, std::uint64_t, shard_bits, std::string,
                                incarnation, std::uint64_t>;
using record_wire = std::tuple<std::string, std::uint64_t, std::int64_t, bool, std::string>;
using handover_wire =
    std::tuple<std::uint8_t, incarnation, std::uint32_t, std::uint32_t, std::uint32_t, std::int64_t,
               std::int64_t, std::vector<record_wire>>;
using reply_wire = std::tuple<std::uint8_t, incarnation, std::uint32_t, std::uint32_t, incarnation,
                              std::uint64_t, bool>;

std::uint8_t tag(message_type type)
{
    return static_cast<std::uint8_t>(type);
}

request_wire toWire(const lease_request &message)
{
    return {tag(message_type::Request), message.holder, message.round, message.shards};
}

vote_wire toWire(const lease_vote &message)
{
    return {tag(message_type::Vote), message.holder, message.round, message.granted,
            message.noOtherPromiseMilliseconds};
}

release_wire toWire(const lease_release &message)
{
    return {tag(message_type::Release),
            message.holder,
            message.round,
            message.shards,
            message.successor.value,
            message.successorIncarnation,
            message.successorFirstRound};
}

handover_wire toWire(const shard_handover &message)
{
    std::vector<record_wire> records;
    records.reserve(message.records.size());
    for (const auto &record : message.records)
        records.emplace_back(record.id, record.digest, record.remainingRetentionMilliseconds,
                             record.finished, record.answer);
    return {tag(message_type::Handover),
            message.holder,
            message.shard,
            message.part,
            message.parts,
            message.coveredSince,
            message.leaseEnd,
            std::move(records)};
}

reply_wire toWire(const handover_reply &message)
{
    return {tag(message_type::HandoverReply),
            message.holder,
            message.shard,
            message.part,
            message.successor,
            message.successorFirstRound,
            message.accepted};
}

bool isTime(std::int64_t value)
{
    return value >= 0 && value <= MaxUnixMilliseconds;
}

std::optional<key_home_message> fromRequest(const request_wire &wire)
{
    const auto &[type, holder, round, shards] = wire;
    return lease_request{holder, round, shards};
}

std::optional<key_home_message> fromVote(const vote_wire &wire)
{
    const auto &[type, holder, round, granted, noOtherPromiseMilliseconds] = wire;
    return lease_vote{holder, round, granted, noOtherPromiseMilliseconds};
}

std::optional<key_home_message> fromRelease(const release_wire &wire)
{
    const auto &[type, holder, round, shards, successor, successorIncarnation,
                 successorFirstRound] = wire;
    if (successor.size() > MaxTextBytes)
        return std::nullopt;
    return lease_release{
        holder, round, shards, vm_id{successor}, successorIncarnation, successorFirstRound};
}

std::optional<key_home_message> fromHandover(const handover_wire &wire)
{
    const auto &[type, holder, shard, part, parts, coveredSince, leaseEnd, records] = wire;
    const bool validPart = shard < ShardCount && part < parts && parts <= MaxHandoverParts;
    if (!validPart || !isTime(coveredSince) || !isTime(leaseEnd)
        || records.size() > MaxRecordsInPart)
        return std::nullopt;
    shard_handover message{holder, shard, part, parts, coveredSince, leaseEnd, {}};
    message.records.reserve(records.size());
    for (const auto &[id, digest, keep, finished, answer] : records) {
        if (id.size() > MaxTextBytes || !isTime(keep))
            return std::nullopt;
        message.records.push_back({id, digest, keep, finished, answer});
    }
    return message;
}

std::optional<key_home_message> fromReply(const reply_wire &wire)
{
    const auto &[type, holder, shard, part, successor, successorFirstRound, accepted] = wire;
    if (shard >= ShardCount || part >= MaxHandoverParts)
        return std::nullopt;
    return handover_reply{holder, shard, part, successor, successorFirstRound, accepted};
}

std::optional<key_home_message> fromObject(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size == 0)
        return std::nullopt;
    switch (static_cast<message_type>(object.via.array.ptr[0].as<std::uint8_t>())) {
    case message_type::Request:
        return fromRequest(object.as<request_wire>());
    case message_type::Vote:
        return fromVote(object.as<vote_wire>());
    case message_type::Release:
        return fromRelease(object.as<release_wire>());
    case message_type::Handover:
        return fromHandover(object.as<handover_wire>());
    case message_type::HandoverReply:
        return fromReply(object.as<reply_wire>());
    }
    return std::nullopt;
}

} // namespace

std::size_t shardOf(std::string_view id)
{
    return XXH64(id.data(), id.size(), ShardSeed) % ShardCount;
}

std::string encodeKeyHomeMessage(const key_home_message &message)
{
    msgpack::sbuffer buffer;
    std::visit([&buffer](const auto &value) { msgpack::pack(buffer, toWire(value)); }, message);
    return {buffer.data(), buffer.size()};
}

result<key_home_message, key_home_codec_error> decodeKeyHomeMessage(std::string_view bytes)
{
    if (bytes.size() > MaxKeyHomeMessage)
        return key_home_codec_error::TooLong;
    constexpr std::size_t MaxDepth = 4;
    const msgpack::unpack_limit limit{MaxRecordsInPart, 0, MaxKeyHomeMessage, 0, 0, MaxDepth};
    // msgpack reports malformed bytes only by exceptions.
    try {
        std::size_t used = 0;
        const auto handle =
            msgpack::unpack(bytes.data(), bytes.size(), used, nullptr, nullptr, limit);
        if (used != bytes.size())
            return key_home_codec_error::Malformed;
        auto message = fromObject(handle.get());
        if (!message)
            return key_home_codec_error::OutOfRange;
        return *std::move(message);
    } catch (const std::exception &) {
        return key_home_codec_error::Malformed;
    }
}

} // namespace orchidlead
