#include "gateway/peers/frames/frame_codecs.h"

#include <cmath>

namespace orchidlead::gateway {

std::optional<double> readLimit(field_reader &in)
{
    const auto limit = in.optional<double>();
    if (limit && !(std::isfinite(*limit) && *limit >= 0))
        in.fail();
    return limit;
}

void pack(packer &out, const rate_limits_frame &frame)
{
    constexpr std::uint32_t LimitFields = 4;
    packKind(out, frame_kind::RateLimits, 1);
    packList(out, LimitFields, frame.limits, [&](const auto &each) {
        packStart(out, each.server);
        packOptional(out, each.perSecond);
        packDuration(out, each.ago);
    });
}

void read(field_reader &in, rate_limits_frame &frame)
{
    readList(in, [&](field_reader &items) {
        auto &reported = frame.limits.emplace_back();
        reported.server = readStart(items);
        reported.perSecond = readLimit(items);
        reported.ago = items.duration();
    });
}

void pack(packer &out, const leaving_servers_frame &frame)
{
    constexpr std::uint32_t StartFields = 2;
    packKind(out, frame_kind::LeavingServers, 1);
    packList(out, StartFields, frame.servers,
             [&](const server_start &each) { packStart(out, each); });
}

void read(field_reader &in, leaving_servers_frame &frame)
{
    readList(in, [&](field_reader &items) { frame.servers.push_back(readStart(items)); });
}

void pack(packer &out, const brittle_servers_frame &frame)
{
    constexpr std::uint32_t BrittleFields = 3;
    packKind(out, frame_kind::BrittleServers, 1);
    packList(out, BrittleFields, frame.servers, [&](const brittle_server &each) {
        packStart(out, each.server);
        out.pack(each.refusalsPerSecond);
    });
}

void read(field_reader &in, brittle_servers_frame &frame)
{
    readList(in, [&](field_reader &items) {
        auto &reported = frame.servers.emplace_back();
        reported.server = readStart(items);
        reported.refusalsPerSecond = items.read<std::uint32_t>();
    });
}

void pack(packer &out, const lost_data_center_frame &frame)
{
    packKind(out, frame_kind::LostDataCenter, 1);
    out.pack(frame.dataCenter.value);
}

void read(field_reader &in, lost_data_center_frame &frame)
{
    frame.dataCenter = in.id<data_center_id>();
}

} // namespace orchidlead::gateway
