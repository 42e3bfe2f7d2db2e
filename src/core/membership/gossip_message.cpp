#include "core/membership/gossip_message.h"

// The codec does not need the Boost part of msgpack.
#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

namespace orchidlead {

namespace {

constexpr std::uint64_t FormatVersion = 2;
constexpr std::uint32_t MessageFields = 16;
constexpr std::uint32_t UpdateFields = 6;
constexpr std::uint32_t DescribedUpdateFields = 11;
constexpr std::uint64_t LeavingBit = 4;
constexpr std::uint64_t StatusMask = 3;
constexpr std::size_t HashBytes = 4;
constexpr unsigned BitsPerByte = 8;

using buffer = msgpack::sbuffer;
using packer = msgpack::packer<buffer>;

void packText(packer &out, const std::string &text)
{
    out.pack_str(static_cast<std::uint32_t>(text.size()));
    out.pack_str_body(text.data(), static_cast<std::uint32_t>(text.size()));
}

/// Writes the hashes as big-endian bytes, which takes half the space of an array of numbers.
void packHashes(packer &out, const std::vector<std::uint32_t> &hashes)
{
    std::string bytes;
    bytes.reserve(hashes.size() * HashBytes);
    for (const auto hash : hashes) {
        for (std::size_t i = HashBytes; i > 0; --i)
            bytes.push_back(static_cast<char>((hash >> (BitsPerByte * (i - 1))) & 0xffU));
    }
    out.pack_bin(static_cast<std::uint32_t>(bytes.size()));
    out.pack_bin_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
}

void packUpdate(packer &out, const gossip_update &update)
{
    out.pack_array(update.description ? DescribedUpdateFields : UpdateFields);
    packText(out, update.vm.value);
    out.pack(update.incarnation);
    out.pack(update.generation);
    out.pack(static_cast<std::uint64_t>(update.status) | (update.leaving ? LeavingBit : 0));
    out.pack(update.suspectedBy);
    // Reserved for later formats of this version; ignored by readers.
    out.pack_nil();
    if (!update.description)
        return;
    packText(out, update.description->dataCenter.value);
    packText(out, update.description->region.value);
    packText(out, update.description->address.ip);
    out.pack(update.description->address.port);
    out.pack(update.description->capacity);
}

/// Reads the fields of an array in order. After the first invalid field, all reads fail.
class field_reader
{
public:
    explicit field_reader(const msgpack::object &object)
    {
        m_valid = object.type == msgpack::type::ARRAY;
        if (m_valid)
            m_array = object.via.array;
    }

    [[nodiscard]] bool valid() const { return m_valid; }
    [[nodiscard]] std::uint32_t size() const { return m_valid ? m_array.size : 0; }

    const msgpack::object *next()
    {
        m_valid = m_valid && m_index < m_array.size;
        return m_valid ? &m_array.ptr[m_index++] : nullptr;
    }

    std::uint64_t number(std::uint64_t bound = std::numeric_limits<std::uint64_t>::max())
    {
        const auto *object = next();
        m_valid =
            object && object->type == msgpack::type::POSITIVE_INTEGER && object->via.u64 <= bound;
        return m_valid ? object->via.u64 : 0;
    }

    std::string text()
    {
        const auto *object = next();
        m_valid =
            object && object->type == msgpack::type::STR && object->via.str.size <= MaxGossipText;
        return m_valid ? std::string(object->via.str.ptr, object->via.str.size) : std::string();
    }

    std::vector<std::uint32_t> hashes()
    {
        const auto *object = next();
        m_valid = object && object->type == msgpack::type::BIN
            && object->via.bin.size % HashBytes == 0
            && object->via.bin.size <= MaxGossipHashes * HashBytes;
        if (!m_valid)
            return {};
        std::vector<std::uint32_t> decoded(object->via.bin.size / HashBytes);
        for (std::size_t i = 0; i < object->via.bin.size; ++i)
            decoded[i / HashBytes] = (decoded[i / HashBytes] << BitsPerByte)
                | static_cast<unsigned char>(object->via.bin.ptr[i]);
        return decoded;
    }

    bool readBoolean()
    {
        const auto *object = next();
        m_valid = object && object->type == msgpack::type::BOOLEAN;
        return m_valid && object->via.boolean;
    }

private:
    msgpack::object_array m_array{};
    std::uint32_t m_index = 0;
    bool m_valid = false;
};

bool readUpdate(const msgpack::object &object, gossip_update &update)
{
    field_reader fields(object);
    const bool hasDescription = fields.size() == DescribedUpdateFields;
    update.vm = vm_id{fields.text()};
    update.incarnation = fields.number();
    update.generation = fields.number(MaxGeneration);
    const auto status = fields.number(LeavingBit | StatusMask);
    update.suspectedBy =
        static_cast<std::uint32_t>(fields.number(std::numeric_limits<std::uint32_t>::max()));
    fields.next();
    if ((status & StatusMask) > static_cast<std::uint64_t>(member_status::Dead))
        return false;
    update.status = static_cast<member_status>(status & StatusMask);
    update.leaving = (status & LeavingBit) != 0;
    if (hasDescription) {
        member_description description;
        description.dataCenter = data_center_id{fields.text()};
        description.region = region_id{fields.text()};
        description.address.ip = fields.text();
        description.address.port =
            static_cast<std::uint16_t>(fields.number(std::numeric_limits<std::uint16_t>::max()));
        description.capacity =
            static_cast<std::uint32_t>(fields.number(std::numeric_limits<std::uint32_t>::max()));
        update.description = std::move(description);
    }
    return fields.valid() && !update.vm.empty();
}

bool readUpdates(const msgpack::object &object, std::vector<gossip_update> &updates)
{
    field_reader fields(object);
    if (!fields.valid() || fields.size() > MaxGossipUpdates)
        return false;
    updates.resize(fields.size());
    for (auto &update : updates) {
        if (!readUpdate(*fields.next(), update))
            return false;
    }
    return true;
}

result<gossip_message, gossip_error> readMessage(const msgpack::object &object)
{
    field_reader fields(object);
    if (fields.number() != FormatVersion)
        return fields.valid() ? gossip_error::UnknownFormat : gossip_error::Malformed;
    gossip_message message;
    message.kind =
        static_cast<gossip_kind>(fields.number(static_cast<std::uint64_t>(gossip_kind::SyncRest)));
    message.sequence =
        static_cast<std::uint32_t>(fields.number(std::numeric_limits<std::uint32_t>::max()));
    const auto *sender = fields.next();
    if (!sender || !readUpdate(*sender, message.sender))
        return gossip_error::Malformed;
    message.configuration.version = fields.number();
    message.configuration.hash = fields.number();
    message.digest =
        static_cast<std::uint32_t>(fields.number(std::numeric_limits<std::uint32_t>::max()));
    message.listVersion = fields.number();
    message.listAge = milliseconds{fields.number(MaxListAge.count())};
    message.application = fields.text();
    message.target = vm_id{fields.text()};
    message.slice.index = static_cast<std::uint32_t>(fields.number(MaxTableSlices - 1));
    message.slice.count = static_cast<std::uint32_t>(fields.number(MaxTableSlices));
    message.hashes = fields.hashes();
    message.truncated = fields.readBoolean();
    const auto *updates = fields.next();
    if (!updates || !readUpdates(*updates, message.updates))
        return gossip_error::Malformed;
    if (message.slice.index >= message.slice.count)
        return gossip_error::Malformed;
    return message;
}

} // namespace

std::string encodeGossip(const gossip_message &message)
{
    buffer bytes;
    packer out(bytes);
    out.pack_array(MessageFields);
    out.pack(FormatVersion);
    out.pack(static_cast<std::uint8_t>(message.kind));
    out.pack(message.sequence);
    packUpdate(out, message.sender);
    out.pack(message.configuration.version);
    out.pack(message.configuration.hash);
    out.pack(message.digest);
    out.pack(message.listVersion);
    out.pack(static_cast<std::uint32_t>(message.listAge.count()));
    packText(out, message.application);
    packText(out, message.target.value);
    out.pack(message.slice.index);
    out.pack(message.slice.count);
    packHashes(out, message.hashes);
    out.pack(message.truncated);
    out.pack_array(static_cast<std::uint32_t>(message.updates.size()));
    for (const auto &update : message.updates)
        packUpdate(out, update);
    return {bytes.data(), bytes.size()};
}

// msgpack throws on malformed input. The limits bound what it allocates before validation.
result<gossip_message, gossip_error> decodeGossip(std::string_view bytes)
{
    if (bytes.size() > MaxGossipBytes)
        return gossip_error::TooLarge;
    constexpr std::size_t MaxDepth = 4;
    const msgpack::unpack_limit limit(MaxGossipUpdates, 0, MaxGossipText,
                                      MaxGossipHashes * HashBytes, 0, MaxDepth);
    try {
        std::size_t offset = 0;
        const auto handle =
            msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size())
            return gossip_error::Malformed;
        return readMessage(handle.get());
    } catch (const std::exception &) {
        return gossip_error::Malformed;
    }
}

std::size_t encodedSize(const gossip_update &update)
{
    buffer bytes;
    packer out(bytes);
    packUpdate(out, update);
    return bytes.size();
}

} // namespace orchidlead
