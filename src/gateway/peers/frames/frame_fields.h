#pragma once

#include "gateway/peers/peer_frame_kind.h"
#include "gateway/peers/peer_frames.h"

// Keeps msgpack from depending on Boost.
#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Writing and reading of the fields of peer frames, for the codecs of frames only. Each function
/// that packs a value has a counterpart that reads it.
namespace orchidlead::gateway {

using frame_buffer = msgpack::sbuffer;
using packer = msgpack::packer<frame_buffer>;

/// Reads the fields of one array in order. After the first invalid field all further reads fail.
class field_reader
{
public:
    explicit field_reader(const msgpack::object &object)
        : m_good(object.type == msgpack::type::ARRAY)
    {
        if (m_good)
            m_array = object.via.array;
    }

    [[nodiscard]] bool good() const { return m_good; }

    template <class Value>
    Value read()
    {
        Value value{};
        if (const auto *object = next()) {
            try {
                object->convert(value);
            } catch (const msgpack::type_error &) {
                m_good = false;
            }
        }
        return value;
    }
    /// Reads a value, or nil as an empty optional.
    template <class Value>
    std::optional<Value> optional()
    {
        if (m_good && m_index < m_array.size && m_array.ptr[m_index].is_nil()) {
            ++m_index;
            return std::nullopt;
        }
        return read<Value>();
    }
    milliseconds duration() { return milliseconds{read<std::int64_t>()}; }
    /// Reads an identifier, such as a `vm_id`.
    template <class Identifier>
    Identifier id()
    {
        return Identifier(read<std::string>());
    }

    const msgpack::object *next()
    {
        m_good = m_good && m_index < m_array.size;
        return m_good ? &m_array.ptr[m_index++] : nullptr;
    }
    [[nodiscard]] bool atEnd() const { return m_index >= m_array.size; }
    void fail() { m_good = false; }

private:
    msgpack::object_array m_array{};
    std::uint32_t m_index = 0;
    bool m_good;
};

/// Packs the kind of a frame that has this number of fields.
void packKind(packer &out, frame_kind kind, std::uint32_t fields);

void packDuration(packer &out, milliseconds duration);

/// Packs a value, or nil if there is none.
template <class Value>
void packOptional(packer &out, const std::optional<Value> &value)
{
    if (value)
        out.pack(*value);
    else
        out.pack_nil();
}

/// Packs a list as one flat array. `packItem` packs one item of `fields` elements.
template <class Items, class PackItem>
void packList(packer &out, std::uint32_t fields, const Items &items, PackItem packItem)
{
    out.pack_array(fields * static_cast<std::uint32_t>(items.size()));
    for (const auto &each : items)
        packItem(each);
}

/// Reads a list. Each call of `readItem` reads one item of one or more elements.
template <class ReadItem>
void readList(field_reader &in, ReadItem readItem)
{
    const auto *list = in.next();
    if (!list || list->type != msgpack::type::ARRAY) {
        in.fail();
        return;
    }
    field_reader items(*list);
    while (items.good() && !items.atEnd())
        readItem(items);
    if (!items.good())
        in.fail();
}

/// Packs a list of identifiers: of servers, regions or data centres.
template <class Names>
void packNames(packer &out, const Names &names)
{
    packList(out, 1, names, [&](const auto &each) { out.pack(each.value); });
}
template <class Names>
void readNames(field_reader &in, Names &names)
{
    readList(in, [&](field_reader &items) {
        names.insert(names.end(), items.id<typename Names::value_type>());
    });
}

void packPool(packer &out, const pool_key &pool);
[[nodiscard]] pool_key readPool(field_reader &in);

void packRank(packer &out, const stage_rank &rank);
[[nodiscard]] stage_rank readRank(field_reader &in);

void packDigest(packer &out, const request_digest &digest);
[[nodiscard]] request_digest readDigest(field_reader &in);

/// Packs the start of a server, with nil where the server does not publish its start time.
void packStart(packer &out, const server_start &start);
[[nodiscard]] server_start readStart(field_reader &in);

/// Reads the value of an enumeration, sent as its position in the table of names.
template <class Enumeration>
Enumeration readEnum(field_reader &in)
{
    const auto value = in.read<std::uint64_t>();
    if (value >= enumNames<Enumeration>.size())
        in.fail();
    return static_cast<Enumeration>(value);
}

} // namespace orchidlead::gateway
