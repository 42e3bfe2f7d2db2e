#include "core/requests/request_state.h"

#include <algorithm>

namespace orchidlead {

// A live attempt counts as possibly run: a proof that it did not run could only arrive after the
// answer.
outcome outcomeWithoutAnswer(const request_state &state, bool deadlinePassed)
{
    bool mayHaveRun = false;
    for (std::size_t index = 0; index < state.stages.size(); ++index) {
        const stage_state &stage = state.stages[index];
        const bool done = stage.status == stage_status::Done;
        const bool open = stage.attemptMayHaveRun || liveAttempts(stage) > 0;
        if (!done && open && !state.plan().stages[index].repeatable)
            return outcome::Unknown;
        mayHaveRun = mayHaveRun || done || open;
    }
    if (!mayHaveRun)
        return outcome::NotRun;
    return deadlinePassed ? outcome::Expired : outcome::Failed;
}

attempt_state *liveAttempt(stage_state &stage, std::uint32_t number)
{
    for (attempt_state &attempt : stage.attempts) {
        if (attempt.number == number)
            return attempt.live ? &attempt : nullptr;
    }
    return nullptr;
}

std::uint32_t liveAttempts(const stage_state &stage)
{
    return static_cast<std::uint32_t>(
        std::count_if(stage.attempts.begin(), stage.attempts.end(),
                      [](const attempt_state &attempt) { return attempt.live; }));
}

bool hasStarted(const request_state &state)
{
    return std::any_of(state.stages.begin(), state.stages.end(), [](const stage_state &stage) {
        return stage.status == stage_status::Done || !stage.attempts.empty();
    });
}

bool isFinished(const request_state &state)
{
    return std::all_of(state.stages.begin(), state.stages.end(),
                       [](const stage_state &stage) { return stage.status == stage_status::Done; });
}

} // namespace orchidlead
