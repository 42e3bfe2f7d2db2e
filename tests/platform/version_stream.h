#pragma once

#include "platform_world.h"

#include <set>
#include <string>

/// Streams whose events name the software version that wrote them.
namespace orchidlead::platform_world {

/// The events of a stream, over all tries of its client.
struct version_events
{
    std::set<std::string> versions; ///< that wrote them
    int last = 0; ///< number of the last one
    bool contiguous = true; ///< numbered from 1 on, each once
};

[[nodiscard]] version_events parseVersionEvents(const std::string &text);
/// Returns the events of `text` that are complete.
[[nodiscard]] std::string completeEvents(const std::string &text);

/// Returns the behaviour of servers of this version: streams of `count` events, one in each
/// interval, that go on after the last event that the client names.
[[nodiscard]] server_behaviour versionStreams(http::io_loop &loop, std::string version, int count,
                                              milliseconds interval);

} // namespace orchidlead::platform_world
