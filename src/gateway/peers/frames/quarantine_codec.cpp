#include "gateway/peers/frames/frame_codecs.h"

namespace orchidlead::gateway {

void pack(packer &out, const server_crashes_frame &frame)
{
    constexpr std::uint32_t CrashFields = 3;
    constexpr std::uint32_t SubjectFields = 4;
    packKind(out, frame_kind::ServerCrashes, 1);
    packList(out, CrashFields, frame.serverCrashes, [&](const auto &crash) {
        out.pack(crash.server.value);
        packDuration(out, crash.ago);
        packList(out, SubjectFields, crash.subjects, [&](const auto &subject) {
            packDigest(out, subject.digest);
            packDuration(out, subject.sentAgo);
            out.pack(subject.breadth);
            packDigest(out, subject.shared);
        });
    });
}

void read(field_reader &in, server_crashes_frame &frame)
{
    readList(in, [&](field_reader &items) {
        auto &crash = frame.serverCrashes.emplace_back();
        crash.server = items.id<backend_server_id>();
        crash.ago = items.duration();
        readList(items, [&](field_reader &subjects) {
            auto &subject = crash.subjects.emplace_back();
            subject.digest = readDigest(subjects);
            subject.sentAgo = subjects.duration();
            subject.breadth = subjects.read<std::uint8_t>();
            subject.shared = readDigest(subjects);
        });
    });
}

void pack(packer &out, const quarantine_frame &frame)
{
    constexpr std::uint32_t EntryFields = 7;
    packKind(out, frame_kind::Quarantine, 2);
    out.pack(frame.host.value);
    packList(out, EntryFields, frame.entries, [&](const auto &entry) {
        packDigest(out, entry.request);
        out.pack(static_cast<std::uint64_t>(entry.level));
        out.pack(entry.version);
        packDuration(out, entry.remaining);
        out.pack(entry.quarantineCount);
        out.pack(entry.isPart);
        packDuration(out, entry.disputableAgo);
    });
}

void read(field_reader &in, quarantine_frame &frame)
{
    frame.host = in.id<vm_id>();
    readList(in, [&](field_reader &items) {
        auto &entry = frame.entries.emplace_back();
        entry.request = readDigest(items);
        entry.level = readEnum<quarantine_level>(items);
        entry.version = items.read<std::uint64_t>();
        entry.remaining = items.duration();
        entry.quarantineCount = items.read<std::uint32_t>();
        entry.isPart = items.read<bool>();
        entry.disputableAgo = items.duration();
    });
}

void pack(packer &out, const trial_request &frame)
{
    packKind(out, frame_kind::TrialRequest, 1);
    packDigest(out, frame.request);
}

void read(field_reader &in, trial_request &frame)
{
    frame.request = readDigest(in);
}

void pack(packer &out, const trial_answer &frame)
{
    packKind(out, frame_kind::TrialAnswer, 2);
    packDigest(out, frame.request);
    out.pack(frame.granted);
}

void read(field_reader &in, trial_answer &frame)
{
    frame.request = readDigest(in);
    frame.granted = in.read<bool>();
}

void pack(packer &out, const trial_end &frame)
{
    packKind(out, frame_kind::TrialEnd, 1);
    packDigest(out, frame.request);
}

void read(field_reader &in, trial_end &frame)
{
    frame.request = readDigest(in);
}

} // namespace orchidlead::gateway
