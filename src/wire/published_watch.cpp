#include "wire/published_watch.h"

namespace orchidlead::wire {

milliseconds backoffDelay(const published_watch_options &options, std::uint32_t failures,
                          std::mt19937_64 &random)
{
    constexpr std::uint32_t MaxDoublings = 16;
    const auto doubled = options.minInterval.count() << std::min(failures, MaxDoublings);
    const auto bound = std::max<std::int64_t>(std::min(doubled, options.maxBackoff.count()), 1);
    std::uniform_int_distribution<std::int64_t> delay(bound / 2, bound);
    return milliseconds{delay(random)};
}

} // namespace orchidlead::wire
