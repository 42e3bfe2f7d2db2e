// Shows how a server runs a call at most once, without a store: it mints a ticket, the caller sends
// the ticket along, and only the very process that minted it may run the call.

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

/// A server whose only work, charging an account, must not be done twice.
class payment_server
{
public:
    payment_server(const vm_id &vm, incarnation self, const clock_source &clock)
        : m_ledger(vm, self, Window, MaxTickets, clock)
    { }

    /// Gives the text that the caller keeps and sends with its call and with each resend.
    [[nodiscard]] std::string mintTicket()
    {
        const std::optional<ticket> minted = m_ledger.mint();
        return minted ? toText(*minted) : std::string{};
    }

    [[nodiscard]] std::string charge(std::string_view ticketText)
    {
        forgetExpired();
        const auto parsed = parseTicket(ticketText);
        if (!parsed)
            return "refused: " + std::string(toName(parsed.error()));
        const ticket_standing standing = m_ledger.standing(parsed.value());
        if (standing != ticket_standing::Valid)
            return "refused: " + std::string(toName(standing));
        // The record comes before the work: where the work breaks off, a resend doesn't repeat it.
        const auto [record, isNew] = m_records.try_emplace(
            parsed.value().sequence, call_record{parsed.value(), std::nullopt});
        if (isNew)
            record->second.answer = "receipt " + std::to_string(++m_charges);
        return record->second.answer.value_or("unknown: it was begun, and its end isn't known");
    }

    [[nodiscard]] int charges() const { return m_charges; }

private:
    // The ledger never takes an expired ticket for a valid one, so that its record may go; the
    // records are as bounded as the ledger.
    void forgetExpired()
    {
        m_ledger.tick();
        std::erase_if(m_records, [this](const auto &entry) {
            return m_ledger.standing(entry.second.used) != ticket_standing::Valid;
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
    manual_clock clock; // a real server passes system_clock_source
    // The incarnation is drawn anew at each start; fixed here so that the output stays the same.
    payment_server server{vm_id{"vm-1"}, 0xa11ce, clock};

    const std::string ticketText = server.mintTicket();
    std::cout << "ticket  " << ticketText << '\n';
    const std::string answer = server.charge(ticketText);
    std::cout << "answer  " << answer << '\n';
    shown.check(answer == "receipt 1", "the call ran");
    shown.check(server.charge(ticketText) == answer, "a resend gets the stored answer");
    shown.check(server.charges() == 1, "the account was charged once");

    // The VM's process starts again and has forgotten everything. It can't know whether the call
    // ran, and doesn't run it.
    payment_server restarted{vm_id{"vm-1"}, 0xb0b, clock};
    shown.check(restarted.charge(ticketText) == "refused: other_incarnation",
                "another incarnation of the VM refuses the ticket");
    payment_server neighbour{vm_id{"vm-2"}, 0xca401, clock};
    shown.check(neighbour.charge(ticketText) == "refused: other_vm",
                "another VM refuses it (and would forward it to vm-1)");
    shown.check(restarted.charges() + neighbour.charges() == 0, "neither of them charged");

    // Once the window is over the record goes, and the ticket still doesn't run again.
    clock.advance(Window);
    shown.check(server.charge(ticketText) == "refused: expired", "an old ticket is refused");
    shown.check(server.charges() == 1, "the account was still charged once");
    return shown.exitCode();
}
