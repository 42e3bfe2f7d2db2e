#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>
#include <orchidlead/ticket.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace orchidlead {

/// Whether a ticket may run in this process, and if not, why.
enum class ticket_status {
    Valid, ///< the ticket was minted by this process and has not expired
    OtherVm, ///< the ticket was minted on another VM
    /// The ticket was minted by an earlier or later process on this VM.
    OtherIncarnation,
    NeverMinted, ///< this process has not issued this sequence number
    /// The ticket is older than the window. The record of the call may have been dropped, so it
    /// must not run.
    Expired,
};

template <>
inline constexpr std::array enumNames<ticket_status>{
    enum_name<ticket_status>{ticket_status::Valid, "valid"},
    enum_name<ticket_status>{ticket_status::OtherVm, "other_vm"},
    enum_name<ticket_status>{ticket_status::OtherIncarnation, "other_incarnation"},
    enum_name<ticket_status>{ticket_status::NeverMinted, "never_minted"},
    enum_name<ticket_status>{ticket_status::Expired, "expired"},
};

/// Mints (issues) the tickets of one process, which permit one call each (see `ticket`), and
/// determines which of them may still run.
///
/// All sequence numbers below a floor are expired, and the floor only rises. Dropping the state of
/// a ticket therefore never makes it valid again.
class ticket_ledger
{
public:
    /// A ticket is valid for `window` after minting; at most `capacity` are valid at once.
    ticket_ledger(vm_id vm, incarnation self, milliseconds window, std::size_t capacity,
                  const clock_source &clock);

    /// Issues the next ticket. Returns nothing while `capacity` are valid.
    [[nodiscard]] std::optional<ticket> mint();

    [[nodiscard]] ticket_status status(const ticket &value) const;

    /// Raises the floor above the expired tickets.
    void tick();

    /// Returns the time when a valid ticket expires.
    [[nodiscard]] steady_time expiry(const ticket &value) const;

private:
    [[nodiscard]] bool expired(std::uint64_t sequence) const;

    vm_id m_vm;
    incarnation m_self;
    milliseconds m_window;
    std::size_t m_capacity;
    const clock_source &m_clock;
    std::uint64_t m_floor = 1;
    std::deque<steady_time> m_mintedAt; // by sequence number, from m_floor on
};

} // namespace orchidlead
