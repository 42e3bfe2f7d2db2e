#include "core/servers/leaving_server_set.h"

namespace orchidlead {

namespace {

constexpr std::size_t MaxServers = 4096;

// Load reports lag: a report that contradicts the server's own statement within this time is older
// than the statement.
constexpr milliseconds MaxReportLag{6000};

} // namespace

std::vector<leaving_update> leaving_server_set::all() const
{
    std::vector<leaving_update> out;
    out.reserve(m_leaving.size());
    for (const auto &[server, since] : m_leaving)
        out.push_back({server, true});
    return out;
}

bool leaving_server_set::apply(const leaving_update &update)
{
    const auto found = m_leaving.find(update.server);
    if (update.leaving) {
        if (found != m_leaving.end() || m_leaving.size() >= MaxServers)
            return false;
        m_leaving.emplace(update.server, m_clock.now());
        return true;
    }
    if (found == m_leaving.end() || m_clock.now() - found->second < MaxReportLag)
        return false;
    m_leaving.erase(found);
    return true;
}

} // namespace orchidlead
