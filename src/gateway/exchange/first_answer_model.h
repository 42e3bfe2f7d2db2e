#pragma once

#include <chrono>
#include <cstdint>

namespace orchidlead::gateway {

/// Estimates the time from sending a request to an engine until its first event from the size of
/// the prompt: a fixed time plus a time per prompt token.
///
/// The line is fitted by least squares to the requests of this node, recent ones with more weight.
/// Until there are enough requests, a prior line determines the estimate. Requests without a prompt
/// size have one moving average of their own.
class first_answer_model
{
public:
    using microseconds = std::chrono::microseconds;

    /// Records a request; `promptTokens` is 0 if it has no prompt.
    void onFirstAnswer(std::uint32_t promptTokens, microseconds took);
    /// Returns the expected time of a request; at least `fixedTime()` if it has a prompt.
    [[nodiscard]] microseconds expected(std::uint32_t promptTokens) const;
    /// Returns the part of the time that doesn't depend on the prompt; never negative.
    [[nodiscard]] microseconds fixedTime() const;

private:
    /// Weighted sums over requests: of 1, tokens, tokens², time and tokens x time. Times are in µs.
    struct weighted_sums
    {
        double weight = 0;
        double tokens = 0;
        double squaredTokens = 0;
        double time = 0;
        double tokensByTime = 0;

        void add(double requestTokens, double requestTime);
        void scale(double factor);
    };
    struct line
    {
        double fixed = 0; ///< µs
        double perToken = 0; ///< µs
    };

    [[nodiscard]] line fit() const;

    weighted_sums m_sums;
    double m_average = DefaultTime; ///< µs; of requests without a prompt size

    /// µs; used before the first request without a prompt size: about the time to read a prompt of
    /// medium size.
    static constexpr double DefaultTime = 250'000;
};

} // namespace orchidlead::gateway
