#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace orchidlead::gateway {

/// Knows which results a host reported to which submitter and that were not freed yet, so that they
/// can be freed when a submitter fails. `Submitter` identifies one; it is ordered.
///
/// A submitter whose link closed may have failed, or may have closed the link to a host that was
/// slow. In the second case it submits its outstanding pieces again, by which it is recognized.
template <class Submitter>
class reported_results
{
public:
    /// Maximum number of results kept for a submitter; the oldest are forgotten, and expire at
    /// their servers. A pool of 8 servers holds about 100 results that are scarce.
    static constexpr std::size_t MaxResults = 4096;

    void onReported(const Submitter &to, const std::string &handle)
    {
        auto &entry = m_submitters[to];
        if (!m_owners.insert_or_assign(handle, to).second)
            return;
        entry.handles.push_back(handle);
        dropFreed(to, entry.handles);
        if (entry.handles.size() <= MaxResults)
            return;
        m_owners.erase(entry.handles.front());
        entry.handles.pop_front();
    }
    void onFreed(const std::string &handle) { m_owners.erase(handle); }

    /// Records that the link to a submitter closed while it waited for pieces of these requests.
    void onClosed(const Submitter &submitter, const std::set<std::string> &outstandingRequests)
    {
        m_closed[submitter] = outstandingRequests;
    }
    /// Records that a submitter sent a piece of a request. If the request was outstanding at one
    /// whose link closed, both are the same node, and its results are kept.
    void onSubmitted(const Submitter &from, const std::string &request)
    {
        for (auto closed = m_closed.begin(); closed != m_closed.end(); ++closed) {
            if (!closed->second.contains(request))
                continue;
            for (const auto &handle : takeAll(Submitter(closed->first)))
                onReported(from, handle);
            return;
        }
    }
    /// Returns the results of a submitter that were not freed, and forgets the submitter.
    [[nodiscard]] std::vector<std::string> takeAll(const Submitter &submitter)
    {
        m_closed.erase(submitter);
        const auto found = m_submitters.find(submitter);
        if (found == m_submitters.end())
            return {};
        std::vector<std::string> handles;
        for (const auto &each : found->second.handles) {
            if (isOwner(submitter, each)) {
                handles.push_back(each);
                m_owners.erase(each);
            }
        }
        m_submitters.erase(found);
        return handles;
    }
    /// Returns whether a submitter has results that were not freed.
    [[nodiscard]] bool hasResults(const Submitter &submitter) const
    {
        const auto found = m_submitters.find(submitter);
        return found != m_submitters.end()
            && std::ranges::any_of(found->second.handles, [&](const std::string &each) {
                   return isOwner(submitter, each);
               });
    }
    [[nodiscard]] std::size_t size() const { return m_owners.size(); }

private:
    struct submitter_results
    {
        std::deque<std::string> handles; ///< oldest first; may include freed ones
    };

    [[nodiscard]] bool isOwner(const Submitter &submitter, const std::string &handle) const
    {
        const auto found = m_owners.find(handle);
        return found != m_owners.end() && found->second == submitter;
    }
    void dropFreed(const Submitter &submitter, std::deque<std::string> &handles) const
    {
        while (!handles.empty() && !isOwner(submitter, handles.front()))
            handles.pop_front();
    }

    std::unordered_map<std::string, Submitter> m_owners; ///< by handle
    std::map<Submitter, submitter_results> m_submitters;
    /// Submitters whose link closed, with the requests that they waited for.
    std::map<Submitter, std::set<std::string>> m_closed;
};

} // namespace orchidlead::gateway
