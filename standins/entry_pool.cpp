#include "standins/entry_pool.h"

#include <algorithm>
#include <utility>

namespace orchidlead::standins {

namespace {

constexpr std::chrono::milliseconds ProbeInterval{200};
constexpr std::chrono::milliseconds ProbeTimeout{400};
constexpr int StatusOk = 200;

} // namespace

entry_pool::entry_pool(net::event_loop &loop, net::http_client &client,
                       const std::vector<socket_address> &entries)
    : m_loop(loop)
    , m_client(client)
{
    for (const socket_address &address : entries)
        add(address);
    probeAll();
}

entry_pool::~entry_pool()
{
    m_loop.cancelTimer(m_timer);
    for (const entry &one : m_entries) {
        if (one.probe != 0)
            m_client.cancel(one.probe);
    }
}

void entry_pool::add(const socket_address &address)
{
    m_entries.push_back({address, false, 0});
}

std::size_t entry_pool::ready() const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
                                                  [](const entry &one) { return one.ready; }));
}

std::optional<socket_address> entry_pool::pick(const std::optional<socket_address> &avoid)
{
    std::optional<socket_address> second;
    for (std::size_t tried = 0; tried < m_entries.size(); ++tried) {
        const entry &one = m_entries[m_next++ % m_entries.size()];
        if (!one.ready)
            continue;
        if (!avoid || one.address != *avoid)
            return one.address;
        second = one.address;
    }
    return second;
}

void entry_pool::probeAll()
{
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (m_entries[i].probe == 0)
            probe(i);
    }
    m_timer = m_loop.callAfter(ProbeInterval, [this] { probeAll(); });
}

void entry_pool::probe(std::size_t index)
{
    net::http_call call;
    call.address = m_entries[index].address;
    call.method = "GET";
    call.path = "/readyz";
    call.connectTimeout = ProbeTimeout;
    call.timeout = ProbeTimeout;
    const auto status = std::make_shared<int>(0);
    net::call_events events;
    events.onHead = [status](int code, const net::header_list &) { *status = code; };
    events.onEnd = [this, index, status](net::call_end end) {
        m_entries[index].probe = 0;
        m_entries[index].ready = end == net::call_end::Complete && *status == StatusOk;
    };
    m_entries[index].probe = m_client.start(std::move(call), std::move(events));
}

} // namespace orchidlead::standins
