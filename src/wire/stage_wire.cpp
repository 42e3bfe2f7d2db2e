#include "wire/stage_wire.h"

namespace orchidlead::wire {

std::optional<wire_load> parseLoad(const Json::Value &value)
{
    const auto running = unsigned32Member(value, "running");
    const auto queued = unsigned32Member(value, "queued");
    if (!running || !queued)
        return std::nullopt;
    return wire_load{*running, *queued, boolMember(value, "leaving").value_or(false)};
}

} // namespace orchidlead::wire
