#pragma once

#include "core/requests/engine_types.h"

#include <concepts>

/// Rules that must hold under any load. They are policies, so that tests can disable one and show
/// which failure it prevents. The daemon uses only the guarded policies.
namespace orchidlead {

/// Decides whether an answer belongs to the attempt for which it arrived.
template <class Guard>
concept answer_guard = requires(const attempt_key &sent, const attempt_key &echoed)
{
    {
        Guard::accepts(sent, echoed)
        } -> std::same_as<bool>;
};

struct echoed_key_guard
{
    static bool accepts(const attempt_key &sent, const attempt_key &echoed)
    {
        return sent == echoed;
    }
};

/// How an attempt without an answer ended.
struct attempt_end
{
    attempt_failure failure = attempt_failure::Broken;
    bool sent = false; ///< bytes may have been sent
};

/// Whether the end of an attempt proves that the backend server did not run it.
[[nodiscard]] constexpr bool provesNotRun(const attempt_end &end)
{
    switch (end.failure) {
    case attempt_failure::NotSent:
        return !end.sent;
    case attempt_failure::Refused:
    case attempt_failure::Leaving:
        return true;
    case attempt_failure::Broken:
    case attempt_failure::TimedOut:
    case attempt_failure::BadAnswer:
    case attempt_failure::ServerError:
        return false;
    }
    return false;
}

/// Decides whether a stage may be retried or hedged, and whether an ended attempt did not run.
template <class Guard>
concept retry_guard = requires(const stage_plan &stage, const attempt_end &end)
{
    {
        Guard::mayRetry(stage, end)
        } -> std::same_as<bool>;
    {
        Guard::mayHedge(stage)
        } -> std::same_as<bool>;
    {
        Guard::provesNotRun(end)
        } -> std::same_as<bool>;
};

struct at_most_once_guard
{
    static bool mayRetry(const stage_plan &stage, const attempt_end &end)
    {
        return stage.repeatable || orchidlead::provesNotRun(end);
    }
    static bool mayHedge(const stage_plan &stage) { return stage.repeatable; }
    static bool provesNotRun(const attempt_end &end) { return orchidlead::provesNotRun(end); }
};

static_assert(answer_guard<echoed_key_guard>);
static_assert(retry_guard<at_most_once_guard>);

} // namespace orchidlead
