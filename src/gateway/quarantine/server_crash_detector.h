#pragma once

#include "gateway/quarantine/request_digest.h"
#include "http/connection_pool.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace orchidlead::gateway {

/// A request that was in flight to a server when the server crashed, or a part of its prompt.
struct crash_subject
{
    request_digest digest;
    steady_time sentAt;
    /// 0 for the whole request; for a part of the prompt the number of parts from it to the last
    /// one. The narrowest of several equally likely subjects is taken for the cause.
    std::uint8_t breadth = 0;
    /// Of a part: its digest for all customers together.
    request_digest shared{};

    [[nodiscard]] bool isPart() const { return breadth > 0; }
};

/// The crash of a server that had requests in flight.
struct server_crash
{
    backend_server_id server;
    steady_time at; ///< when the first connection broke
    std::vector<crash_subject> subjects; ///< without duplicates
};

/// Adds a request that was in flight to the server, or a part of it. Several copies are kept as
/// one, with the earliest send time. Returns false if the subject is already listed.
bool addSubject(server_crash &crash, const crash_subject &subject);

/// Distinguishes crashed servers from broken connections: after a connection breaks in the middle
/// of an answer, a new connection to the server is refused if the server no longer listens. Does no
/// I/O itself.
class server_crash_detector
{
public:
    explicit server_crash_detector(const clock_source &clock);

    /// Records that a connection broke while a request with these subjects was in flight to the
    /// server. Returns whether the caller must open a probe connection to the server now and report
    /// its outcome with `onProbeResult`.
    [[nodiscard]] bool onConnectionBroken(const backend_server_id &server,
                                          const std::vector<crash_subject> &subjects);
    /// Returns the requests that were in flight when connections to the server broke; empty if no
    /// connection to it broke.
    [[nodiscard]] std::optional<server_crash> onProbeResult(const backend_server_id &server);

private:
    const clock_source &m_clock;
    std::map<backend_server_id, server_crash> m_probed; ///< servers with an open probe connection
};

} // namespace orchidlead::gateway
