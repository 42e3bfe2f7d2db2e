#include <orchidlead/ticket_ledger.h>

#include <utility>

namespace orchidlead {

ticket_ledger::ticket_ledger(vm_id vm, incarnation self, milliseconds window, std::size_t capacity,
                             const clock_source &clock)
    : m_vm(std::move(vm))
    , m_self(self)
    , m_window(window)
    , m_capacity(capacity)
    , m_clock(clock)
{ }

std::optional<ticket> ticket_ledger::mint()
{
    tick();
    if (m_mintedAt.size() >= m_capacity)
        return std::nullopt;
    const std::uint64_t sequence = m_floor + m_mintedAt.size();
    m_mintedAt.push_back(m_clock.now());
    return ticket{m_vm, m_self, sequence};
}

ticket_status ticket_ledger::status(const ticket &value) const
{
    if (value.vm != m_vm)
        return ticket_status::OtherVm;
    if (value.incarnation != m_self)
        return ticket_status::OtherIncarnation;
    if (value.sequence < m_floor)
        return ticket_status::Expired;
    if (value.sequence - m_floor >= m_mintedAt.size())
        return ticket_status::NeverMinted;
    return expired(value.sequence) ? ticket_status::Expired : ticket_status::Valid;
}

void ticket_ledger::tick()
{
    while (!m_mintedAt.empty() && expired(m_floor)) {
        m_mintedAt.pop_front();
        ++m_floor;
    }
}

steady_time ticket_ledger::expiry(const ticket &value) const
{
    return m_mintedAt.at(value.sequence - m_floor) + m_window;
}

bool ticket_ledger::expired(std::uint64_t sequence) const
{
    return m_clock.now() >= m_mintedAt[sequence - m_floor] + m_window;
}

} // namespace orchidlead
