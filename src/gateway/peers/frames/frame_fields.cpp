#include "gateway/peers/frames/frame_fields.h"

#include <algorithm>

namespace orchidlead::gateway {

void packKind(packer &out, frame_kind kind, std::uint32_t fields)
{
    out.pack_array(fields + 1);
    out.pack(static_cast<std::uint64_t>(kind));
}

void packDuration(packer &out, milliseconds duration)
{
    out.pack(static_cast<std::int64_t>(duration.count()));
}

void packPool(packer &out, const pool_key &pool)
{
    out.pack(pool.service.value);
    out.pack(pool.dataCenter.value);
    out.pack(pool.region.value);
}

pool_key readPool(field_reader &in)
{
    pool_key pool;
    pool.service = in.id<service_id>();
    pool.dataCenter = in.id<data_center_id>();
    pool.region = in.id<region_id>();
    return pool;
}

void packRank(packer &out, const stage_rank &rank)
{
    out.pack(rank.priority);
    out.pack(rank.routePriority);
}

stage_rank readRank(field_reader &in)
{
    stage_rank rank;
    rank.priority = in.read<std::uint32_t>();
    rank.routePriority = in.read<std::uint32_t>();
    return rank;
}

void packDigest(packer &out, const request_digest &digest)
{
    out.pack_bin(request_digest::Size);
    out.pack_bin_body(reinterpret_cast<const char *>(digest.bytes.data()), request_digest::Size);
}

request_digest readDigest(field_reader &in)
{
    const auto bytes = in.read<std::vector<char>>();
    request_digest digest;
    if (bytes.size() == digest.bytes.size())
        std::ranges::copy(bytes, digest.bytes.begin());
    else
        in.fail();
    return digest;
}

void packStart(packer &out, const server_start &start)
{
    out.pack(start.id.value);
    packOptional(out, start.startedAt);
}

server_start readStart(field_reader &in)
{
    server_start start;
    start.id = in.id<backend_server_id>();
    start.startedAt = in.optional<std::uint64_t>();
    return start;
}

} // namespace orchidlead::gateway
