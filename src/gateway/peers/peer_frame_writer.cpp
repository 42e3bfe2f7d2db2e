#include "gateway/peers/peer_frame_kind.h"
#include "gateway/peers/peer_frames.h"

// The codec needs nothing of Boost.
#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

namespace orchidlead::gateway {

namespace {

using buffer = msgpack::sbuffer;
using packer = msgpack::packer<buffer>;

void packKind(packer &out, frame_kind kind, std::uint32_t fields)
{
    out.pack_array(fields + 1);
    out.pack(static_cast<std::uint64_t>(kind));
}

void packDuration(packer &out, milliseconds duration)
{
    out.pack(static_cast<std::int64_t>(duration.count()));
}

/// Fields of a server in a list; they follow each other in one array.
constexpr std::uint32_t ServerFields = 9;

void packServer(packer &out, const published_server &told)
{
    const auto &server = told.record;
    out.pack(server.id.value);
    out.pack(server.service.value);
    out.pack(server.address.ip);
    out.pack(server.address.port);
    out.pack(server.dataCenter.value);
    out.pack(server.slots);
    out.pack(server.leaving);
    if (server.born)
        out.pack(*server.born);
    else
        out.pack_nil();
    packDuration(out, told.coldFor);
}

void packDigest(packer &out, const request_digest &digest)
{
    out.pack_bin(request_digest::Size);
    out.pack_bin_body(reinterpret_cast<const char *>(digest.bytes.data()), request_digest::Size);
}

/// Names as they are told: of servers, regions, data centres.
template <class Names>
void packNames(packer &out, const Names &names)
{
    out.pack_array(static_cast<std::uint32_t>(names.size()));
    for (const auto &each : names)
        out.pack(each.value);
}

void packPool(packer &out, const pool_key &pool)
{
    out.pack(pool.service.value);
    out.pack(pool.dataCenter.value);
    out.pack(pool.region.value);
}

void pack(packer &out, const piece_frame &frame)
{
    packKind(out, frame_kind::Piece, 17);
    out.pack(frame.token);
    packPool(out, frame.pool);
    out.pack(frame.request.attempt);
    out.pack(frame.request.stage);
    out.pack(frame.request.piece);
    out.pack(frame.request.key);
    out.pack(frame.request.inputs);
    out.pack(frame.rank.priority);
    out.pack(frame.rank.routePriority);
    packDuration(out, frame.aimLeft);
    packDuration(out, frame.deadlineLeft);
    out.pack(frame.near.value);
    out.pack(frame.inputBytes);
    out.pack(frame.resultBytes);
    packDigest(out, frame.request.digest);
}

void pack(packer &out, const free_frame &frame)
{
    packKind(out, frame_kind::Free, 1);
    out.pack(frame.handles);
}

void pack(packer &out, const withdraw_frame &frame)
{
    packKind(out, frame_kind::Withdraw, 1);
    out.pack(frame.token);
}

void pack(packer &out, const outcome_frame &frame)
{
    packKind(out, frame_kind::Outcome, 4);
    out.pack(frame.token);
    if (const auto *handle = std::get_if<std::string>(&frame.report.result)) {
        out.pack(DoneCode);
        out.pack(*handle);
    } else {
        out.pack(static_cast<std::uint64_t>(std::get<piece_failure>(frame.report.result)) + 1);
        out.pack(std::string());
    }
    packDuration(out, frame.report.wait);
}

void pack(packer &out, const place_frame &frame)
{
    packKind(out, frame_kind::Place, 10);
    out.pack(frame.id);
    packPool(out, frame.wish.pool);
    out.pack(frame.wish.near.value);
    out.pack(frame.wish.nearBytes);
    out.pack_array(static_cast<std::uint32_t>(2 * frame.wish.prompt.size()));
    for (const auto &part : frame.wish.prompt) {
        out.pack(part.id);
        out.pack(part.tokens);
    }
    packNames(out, frame.wish.exclude);
    out.pack(frame.wish.allowed.bound());
    packNames(out, frame.wish.allowed.regions());
}

void pack(packer &out, const placed_frame &frame)
{
    packKind(out, frame_kind::Placed, 2);
    out.pack(frame.id);
    out.pack(frame.server.value);
}

void pack(packer &out, const progress_frame &frame)
{
    packKind(out, frame_kind::Progress, 2);
    out.pack(frame.id);
    out.pack(static_cast<std::uint64_t>(frame.kind));
}

void pack(packer &out, const ping_frame & /*frame*/)
{
    packKind(out, frame_kind::Ping, 0);
}

void pack(packer &out, const pong_frame & /*frame*/)
{
    packKind(out, frame_kind::Pong, 0);
}

void pack(packer &out, const publication_request &frame)
{
    packKind(out, frame_kind::PublicationRequest, 2);
    out.pack(frame.configurationVersion);
    out.pack(frame.known);
}

void pack(packer &out, const publication_frame &frame)
{
    packKind(out, frame_kind::Publication, 10);
    out.pack(frame.configurationVersion);
    out.pack(frame.current);
    out.pack(frame.compared);
    out.pack(frame.parts);
    out.pack(frame.revision);
    out.pack_array(ServerFields * static_cast<std::uint32_t>(frame.servers.size()));
    for (const auto &each : frame.servers)
        packServer(out, each);
    packNames(out, frame.removed);
    packDuration(out, frame.removalsDeferred);
    out.pack(frame.evacuations.revision);
    packNames(out, frame.evacuations.dataCenters);
}

void pack(packer &out, const follow_frame &frame)
{
    packKind(out, frame_kind::Follow, 2);
    out.pack(frame.begins);
    out.pack(frame.known);
}

void pack(packer &out, const compare_frame &frame)
{
    packKind(out, frame_kind::Compare, 1);
    out.pack(frame.known);
}

void pack(packer &out, const configuration_request &frame)
{
    packKind(out, frame_kind::ConfigurationRequest, 1);
    out.pack(frame.version);
}

void pack(packer &out, const configuration_frame &frame)
{
    packKind(out, frame_kind::Configuration, 3);
    out.pack(frame.version);
    out.pack(static_cast<std::uint64_t>(frame.text.length));
    out.pack(frame.text.bytes);
}

void pack(packer &out, const server_ends_frame &frame)
{
    constexpr std::uint32_t EndFields = 3;
    constexpr std::uint32_t RequestFields = 2;
    packKind(out, frame_kind::ServerEnds, 1);
    out.pack_array(EndFields * static_cast<std::uint32_t>(frame.ends.size()));
    for (const auto &end : frame.ends) {
        out.pack(end.server.value);
        packDuration(out, end.ago);
        out.pack_array(RequestFields * static_cast<std::uint32_t>(end.requests.size()));
        for (const auto &request : end.requests) {
            packDigest(out, request.digest);
            packDuration(out, request.sentAgo);
        }
    }
}

void pack(packer &out, const quarantine_frame &frame)
{
    constexpr std::uint32_t EntryFields = 5;
    packKind(out, frame_kind::Quarantine, 2);
    out.pack(frame.host.value);
    out.pack_array(EntryFields * static_cast<std::uint32_t>(frame.entries.size()));
    for (const auto &entry : frame.entries) {
        packDigest(out, entry.request);
        out.pack(static_cast<std::uint64_t>(entry.level));
        out.pack(entry.version);
        packDuration(out, entry.left);
        out.pack(entry.times);
    }
}

void pack(packer &out, const trial_request &frame)
{
    packKind(out, frame_kind::TrialRequest, 1);
    packDigest(out, frame.request);
}

void pack(packer &out, const trial_answer &frame)
{
    packKind(out, frame_kind::TrialAnswer, 2);
    packDigest(out, frame.request);
    out.pack(frame.granted);
}

void pack(packer &out, const trial_end &frame)
{
    packKind(out, frame_kind::TrialEnd, 1);
    packDigest(out, frame.request);
}

} // namespace

std::string encodeFrame(const peer_frame &frame)
{
    buffer body;
    packer out(body);
    std::visit([&](const auto &each) { pack(out, each); }, frame);
    std::string bytes;
    bytes.reserve(FrameHeaderBytes + body.size());
    for (std::size_t i = FrameHeaderBytes; i > 0; --i)
        bytes.push_back(static_cast<char>((body.size() >> (BitsPerByte * (i - 1))) & 0xffU));
    bytes.append(body.data(), body.size());
    return bytes;
}

} // namespace orchidlead::gateway
