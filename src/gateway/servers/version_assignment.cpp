#include "gateway/servers/version_assignment.h"

namespace orchidlead::gateway {

std::uint32_t version_shares::total() const
{
    std::uint32_t sum = unknown;
    for (const auto &[version, count] : servers)
        sum += count;
    return sum;
}

// The servers stand in a row, ordered by version, and the subject points to one of them. When a
// server is replaced by one of the adjacent version, only the subjects that point near the border
// between the two change their version. Unknown servers may stand anywhere in the row: a version is
// certain only where it covers the position whether all of them stand before or behind it.
std::optional<software_version> assignedVersion(const request_digest &subject,
                                                const version_shares &shares)
{
    const auto position = shareOf(subject, digest_part::Version, shares.total());
    std::uint32_t begin = 0;
    for (const auto &[version, count] : shares.servers) {
        const auto end = begin + count;
        if (position >= begin + shares.unknown && position < end)
            return version;
        begin = end;
    }
    return std::nullopt;
}

} // namespace orchidlead::gateway
