#include "gateway/publication/list_digest.h"

#include <xxhash.h>

#include <string>

namespace orchidlead::gateway {

namespace {

// Separates the fields, so that no two records serialize to the same bytes.
constexpr char Separator = '\0';

std::uint64_t hashOf(const server_record &record)
{
    std::string bytes;
    for (const auto &text :
         {record.id.value, record.service.value, record.dataCenter.value, record.address.ip,
          std::to_string(record.address.port), std::to_string(record.slots),
          record.startedAt ? std::to_string(*record.startedAt) : std::string(),
          record.version.value}) {
        bytes += text;
        bytes += Separator;
    }
    bytes += record.leaving ? '1' : '0';
    return XXH64(bytes.data(), bytes.size(), 0);
}

} // namespace

std::size_t digestPartOf(const backend_server_id &id)
{
    return XXH64(id.value.data(), id.value.size(), 0) % DigestParts;
}

list_digest digestOf(const std::vector<server_ptr> &servers)
{
    list_digest digest{};
    for (const auto &each : servers)
        digest[digestPartOf(each->record.id)] ^= static_cast<std::uint32_t>(hashOf(each->record));
    return digest;
}

std::vector<std::uint32_t> differingParts(const list_digest &left, const list_digest &right)
{
    std::vector<std::uint32_t> parts;
    for (std::uint32_t part = 0; part < DigestParts; ++part) {
        if (left[part] != right[part])
            parts.push_back(part);
    }
    return parts;
}

} // namespace orchidlead::gateway
