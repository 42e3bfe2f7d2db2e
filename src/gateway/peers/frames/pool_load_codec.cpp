#include "gateway/peers/frames/frame_codecs.h"

#include <tuple>

namespace orchidlead::gateway {

void pack(packer &out, const pool_load_frame &frame)
{
    packKind(out, frame_kind::PoolLoad, 1);
    out.pack(toFields(frame));
}

void read(field_reader &in, pool_load_frame &frame)
{
    const auto *object = in.next();
    // The conversion itself accepts an array that ends early.
    if (!object || object->type != msgpack::type::ARRAY
        || object->via.array.size < std::tuple_size_v<pool_load_fields>) {
        in.fail();
        return;
    }
    try {
        if (auto valid = poolLoadFrameOf(object->as<pool_load_fields>()))
            frame = *std::move(valid);
        else
            in.fail();
    } catch (const msgpack::type_error &) {
        in.fail();
    }
}

} // namespace orchidlead::gateway
