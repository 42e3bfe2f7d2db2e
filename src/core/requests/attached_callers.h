#pragma once

#include "core/once/at_most_once.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace orchidlead {

/// Callers that wait for the answer to a call which another copy of their request started. Their
/// number per call is bounded.
class attached_callers
{
public:
    /// Adds a caller. Returns false if the maximum number of callers already waits for the call.
    bool add(record_handle record, const request_id &request, steady_time deadline);

    /// Removes one caller. Returns false if it is not attached.
    bool remove(const request_id &request);

    /// Removes and returns all callers of a call.
    [[nodiscard]] std::vector<request_id> take(record_handle record);

    /// Removes and returns the callers whose deadline has passed.
    [[nodiscard]] std::vector<request_id> takeExpired(steady_time now);

    [[nodiscard]] std::optional<steady_time> nextDeadline() const;
    [[nodiscard]] bool empty() const { return m_callers.empty(); }

private:
    struct caller
    {
        record_handle record;
        steady_time deadline;
    };

    std::unordered_map<request_id, caller> m_callers;
    std::map<record_handle, std::vector<request_id>> m_records;
    std::multimap<steady_time, request_id> m_deadlines;
};

} // namespace orchidlead
