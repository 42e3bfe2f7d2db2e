// Shows how a server runs a call at most once without a shared store. The server mints a ticket,
// the caller sends it with the call, and only the process that minted the ticket may run the call.

#include "claims.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>
#include <orchidlead/ticket.h>
#include <orchidlead/ticket_ledger.h>

#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <string_view>

using namespace orchidlead;
using namespace std::chrono_literals;

namespace {

constexpr auto Window = 60s; ///< how long a ticket may be used
constexpr std::size_t MaxTickets = 1000;

struct call_record
{
    ticket used;
    std::optional<std::string> answer;
};

/// A server that charges an account. A charge must not be made twice.
class payment_server
{
public:
    payment_server(const vm_id &vm, incarnation self, const clock_source &clock)
        : m_ledger(vm, self, Window, MaxTickets, clock)
    { }

    /// Returns the ticket that the caller sends with its call and with each resend; empty if too
    /// many tickets are valid.
    [[nodiscard]] std::string mintTicket()
    {
        const std::optional<ticket> minted = m_ledger.mint();
        return minted ? toText(*minted) : std::string{};
    }

    [[nodiscard]] std::string charge(std::string_view ticketText)
    {
        dropExpired();
        const auto parsed = parseTicket(ticketText);
        if (!parsed)
            return "refused: " + std::string(toName(parsed.error()));
        const ticket_status status = m_ledger.status(parsed.value());
        if (status != ticket_status::Valid)
            return "refused: " + std::string(toName(status));
        // The record is added before the charge, so that a resend does not repeat a charge that was
        // interrupted.
        const auto [record, isNew] = m_records.try_emplace(
            parsed.value().sequence, call_record{parsed.value(), std::nullopt});
        if (isNew)
            record->second.answer = "receipt " + std::to_string(++m_charges);
        return record->second.answer.value_or(
            "unknown: the call began, and its outcome is not known");
    }

    [[nodiscard]] int charges() const { return m_charges; }

private:
    // The record of an expired ticket may be dropped, since the ledger never reports that ticket as
    // valid again. The number of records is therefore bounded by the capacity of the ledger.
    void dropExpired()
    {
        m_ledger.tick();
        std::erase_if(m_records, [this](const auto &entry) {
            return m_ledger.status(entry.second.used) != ticket_status::Valid;
        });
    }

    ticket_ledger m_ledger;
    std::map<std::uint64_t, call_record> m_records; // by the ticket's sequence number
    int m_charges = 0;
};

} // namespace

int main()
{
    claims shown;
    manual_clock clock; // a real server uses system_clock_source
    // A real server draws a new incarnation at each start. Here it is fixed, for reproducible
    // output.
    payment_server server{vm_id{"vm-1"}, 0xa11ce, clock};

    const std::string ticketText = server.mintTicket();
    std::cout << "ticket  " << ticketText << '\n';
    const std::string answer = server.charge(ticketText);
    std::cout << "answer  " << answer << '\n';
    shown.check(answer == "receipt 1", "the call ran");
    shown.check(server.charge(ticketText) == answer, "a resend gets the stored answer");
    shown.check(server.charges() == 1, "the account was charged once");

    // The restarted process has lost all records. It cannot determine whether the call ran, and
    // therefore refuses it.
    payment_server restarted{vm_id{"vm-1"}, 0xb0b, clock};
    shown.check(restarted.charge(ticketText) == "refused: other_incarnation",
                "another incarnation of the VM refuses the ticket");
    payment_server neighbour{vm_id{"vm-2"}, 0xca401, clock};
    shown.check(neighbour.charge(ticketText) == "refused: other_vm",
                "another VM refuses it (and would forward it to vm-1)");
    shown.check(restarted.charges() + neighbour.charges() == 0, "neither of them charged");

    // After the window, the record is dropped, and the ticket is still refused.
    clock.advance(Window);
    shown.check(server.charge(ticketText) == "refused: expired", "an old ticket is refused");
    shown.check(server.charges() == 1, "the account was still charged once");
    return shown.exitCode();
}
