#pragma once

#include "core/configuration/pipeline.h"

#include <orchidlead/clock.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace orchidlead::standins {

using work_id = std::uint64_t;

/// How a piece of work ended by itself.
enum class work_end {
    Done,
    TooLate, ///< its deadline had passed when its turn came: it did not run
};

/// One piece of work for a backend server, with what is reported about it.
struct work_item
{
    std::size_t inputBytes = 0;
    std::string prompt; ///< engines only
    std::uint32_t tokens = 0; ///< engines only: how many will be generated
    orchidlead::priority priority = priority::Normal;
    std::optional<steady_time> deadline;
    std::function<void()> onStart;
    std::function<void()> onToken; ///< engines only: once for each token
    std::function<void(work_end end)> onEnd; ///< last; not after `cancel`
};

/// What a server reports about its load.
struct work_load
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t capacity = 0;
};

/// How long work takes at a backend server, and how much of it fits.
class work_model
{
public:
    virtual ~work_model() = default;

    /// Takes work, or nothing where the queue is full.
    virtual std::optional<work_id> submit(work_item item) = 0;
    /// Gives up a piece of work; does nothing where it has ended.
    virtual void cancel(work_id id) = 0;
    [[nodiscard]] virtual work_load load() const = 0;
    /// Makes work that starts from now on take `factor` times as long.
    virtual void setSlowness(double factor) = 0;
};

} // namespace orchidlead::standins
