#include "gateway/peers/frames/frame_codecs.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace orchidlead::gateway {

namespace {

/// Number of fields per server. The fields of all servers form one flat array.
constexpr std::uint32_t ServerFields = 10;

void packServer(packer &out, const published_server &announced)
{
    const auto &server = announced.record;
    out.pack(server.id.value);
    out.pack(server.service.value);
    out.pack(server.address.ip);
    out.pack(server.address.port);
    out.pack(server.dataCenter.value);
    out.pack(server.slots);
    out.pack(server.leaving);
    packOptional(out, server.startedAt);
    out.pack(server.version.value);
    packDuration(out, announced.coldTimeLeft);
}

published_server readServer(field_reader &in)
{
    server_record server;
    server.id = in.id<backend_server_id>();
    server.service = in.id<service_id>();
    server.address.ip = in.read<std::string>();
    server.address.port = in.read<std::uint16_t>();
    server.dataCenter = in.id<data_center_id>();
    server.slots = in.read<std::uint32_t>();
    server.leaving = in.read<bool>();
    server.startedAt = in.optional<std::uint64_t>();
    server.version = in.id<software_version>();
    return {server, in.duration()};
}

/// Packs the revisions of a list of changes.
template <class Changes>
void packRevisions(packer &out, const Changes &changes)
{
    out.pack_array(static_cast<std::uint32_t>(changes.size()));
    for (const auto &each : changes)
        out.pack(each.revision);
}

template <class Changes>
void readRevisions(field_reader &in, Changes &changes)
{
    const auto revisions = in.read<std::vector<std::uint64_t>>();
    if (revisions.size() != changes.size()) {
        in.fail();
        return;
    }
    for (std::size_t i = 0; i < changes.size(); ++i)
        changes[i].revision = revisions[i];
}

// msgpack's own conversion to std::array also accepts arrays that are too short.
list_digest readListDigest(field_reader &in)
{
    const auto parts = in.read<std::vector<std::uint32_t>>();
    list_digest digest{};
    if (parts.size() == digest.size())
        std::ranges::copy(parts, digest.begin());
    else
        in.fail();
    return digest;
}

} // namespace

void pack(packer &out, const publication_request &frame)
{
    packKind(out, frame_kind::PublicationRequest, 3);
    out.pack(frame.configurationVersion);
    out.pack(frame.known);
    out.pack(frame.confirmation);
}

void read(field_reader &in, publication_request &frame)
{
    frame.configurationVersion = in.read<std::uint64_t>();
    frame.known = readListDigest(in);
    if (!in.atEnd())
        frame.confirmation = in.read<std::uint64_t>();
}

void pack(packer &out, const publication_frame &frame)
{
    packKind(out, frame_kind::Publication, 17);
    out.pack(frame.configurationVersion);
    out.pack(frame.current);
    packDuration(out, frame.age);
    out.pack(frame.fullSync);
    out.pack(frame.listedParts);
    out.pack(frame.revision);
    packList(out, ServerFields, frame.servers,
             [&](const published_server &each) { packServer(out, each); });
    packList(out, 1, frame.removed, [&](const removed_server &each) { out.pack(each.id.value); });
    packDuration(out, frame.removalsDeferred);
    out.pack(frame.evacuations.revision);
    packNames(out, frame.evacuations.dataCenters);
    packRevisions(out, frame.servers);
    packRevisions(out, frame.removed);
    packDuration(out, frame.contactAge);
    out.pack(frame.confirmation);
    out.pack(frame.confirmed);
    out.pack(frame.gapUntil);
}

void read(field_reader &in, publication_frame &frame)
{
    frame.configurationVersion = in.read<std::uint64_t>();
    frame.current = in.read<bool>();
    frame.age = in.duration();
    frame.fullSync = in.read<bool>();
    frame.listedParts = in.read<std::vector<std::uint32_t>>();
    frame.revision = in.read<std::uint64_t>();
    readList(in, [&](field_reader &items) { frame.servers.push_back(readServer(items)); });
    readList(
        in, [&](field_reader &items) { frame.removed.push_back({items.id<backend_server_id>()}); });
    frame.removalsDeferred = in.duration();
    frame.evacuations.revision = in.read<std::uint64_t>();
    readNames(in, frame.evacuations.dataCenters);
    if (in.atEnd()) // an older version doesn't state the revisions
        return;
    readRevisions(in, frame.servers);
    readRevisions(in, frame.removed);
    if (!in.atEnd())
        frame.contactAge = in.duration();
    if (in.atEnd()) // an older version confirms nothing
        return;
    frame.confirmation = in.read<std::uint64_t>();
    frame.confirmed = in.read<bool>();
    frame.gapUntil = in.read<std::uint64_t>();
}

void pack(packer &out, const follow_frame &frame)
{
    packKind(out, frame_kind::Follow, 3);
    out.pack(frame.subscribes);
    out.pack(frame.revision);
    out.pack(frame.known);
}

void read(field_reader &in, follow_frame &frame)
{
    frame.subscribes = in.read<bool>();
    frame.revision = in.read<std::uint64_t>();
    frame.known = readListDigest(in);
}

void pack(packer &out, const list_digest_frame &frame)
{
    packKind(out, frame_kind::ListDigest, 2);
    out.pack(frame.revision);
    out.pack(frame.known);
}

void read(field_reader &in, list_digest_frame &frame)
{
    frame.revision = in.read<std::uint64_t>();
    frame.known = readListDigest(in);
}

void pack(packer &out, const configuration_request &frame)
{
    packKind(out, frame_kind::ConfigurationRequest, 1);
    out.pack(frame.version);
}

void read(field_reader &in, configuration_request &frame)
{
    frame.version = in.read<std::uint64_t>();
}

void pack(packer &out, const configuration_frame &frame)
{
    packKind(out, frame_kind::Configuration, 3);
    out.pack(frame.version);
    out.pack(static_cast<std::uint64_t>(frame.text.length));
    out.pack(frame.text.bytes);
}

void read(field_reader &in, configuration_frame &frame)
{
    frame.version = in.read<std::uint64_t>();
    frame.text.length = in.read<std::uint64_t>();
    frame.text.bytes = in.read<std::string>();
}

} // namespace orchidlead::gateway
