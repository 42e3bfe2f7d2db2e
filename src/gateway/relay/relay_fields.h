#pragma once

#include "http/head.h"

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>

/// Header fields between a gateway that is cut off from backend servers and one that relays its
/// calls. They are removed before a call reaches a server, and before an answer reaches a client.
namespace orchidlead::gateway {

/// Whether a relaying gateway sent a call to its server, or why it did not. An answer without it
/// comes from the relay's listener, which refused the call unread.
enum class relay_result : std::uint8_t {
    Forwarded, ///< the answer is the server's
    CutOff, ///< the relay is cut off from all servers, too
    Busy, ///< the relay has no room for further calls
    Stopping, ///< the relay is about to end
    Unreachable, ///< the relay could open no connection to the server
    Ineligible, ///< the server may not get the call now, as far as the relay knows
};

/// Whether another relay may be asked after this result.
[[nodiscard]] constexpr bool concernsRelayOnly(relay_result what)
{
    return what == relay_result::CutOff || what == relay_result::Busy
        || what == relay_result::Stopping;
}

/// What a gateway asks of a relay beside the call itself.
struct relay_order
{
    backend_server_id server;
    /// Start of the server that the peer has chosen, as in `server_start`.
    std::optional<std::uint64_t> startedAt;
    milliseconds age{0}; ///< time since the call's head, with its timeout, was written
    std::string request; ///< attempt of the client's request, for the relay's log; may be empty
    bool repeatable = false; ///< whether the call may be sent again if it is left without answer
};

/// Inserts the fields of an order into a serialized request head.
void insertOrder(std::string &head, const relay_order &order);
/// Removes the fields of an order; returns nothing if there is no server among them.
[[nodiscard]] std::optional<relay_order> takeOrder(http::field_list &fields);
[[nodiscard]] http::field toField(relay_result what);
/// Removes the result from the fields; empty: none, or one that isn't known.
[[nodiscard]] std::optional<relay_result> takeResult(http::field_list &fields);
/// Marks a forwarded answer whose body ended with the server's connection. The relay sends it to
/// its peer in chunks, in which such an answer could not be told from others.
[[nodiscard]] http::field endsWithConnectionField();
/// Removes the mark; returns whether there was one.
[[nodiscard]] bool takeEndsWithConnection(http::field_list &fields);
/// Returns the result without removing it.
[[nodiscard]] std::optional<relay_result> findResult(const http::field_list &fields);

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::relay_result>{
    orchidlead::enum_name<orchidlead::gateway::relay_result>{
        orchidlead::gateway::relay_result::Forwarded, "forwarded"},
    orchidlead::enum_name<orchidlead::gateway::relay_result>{
        orchidlead::gateway::relay_result::CutOff, "cut_off"},
    orchidlead::enum_name<orchidlead::gateway::relay_result>{
        orchidlead::gateway::relay_result::Busy, "busy"},
    orchidlead::enum_name<orchidlead::gateway::relay_result>{
        orchidlead::gateway::relay_result::Stopping, "stopping"},
    orchidlead::enum_name<orchidlead::gateway::relay_result>{
        orchidlead::gateway::relay_result::Unreachable, "unreachable"},
    orchidlead::enum_name<orchidlead::gateway::relay_result>{
        orchidlead::gateway::relay_result::Ineligible, "ineligible"},
};
