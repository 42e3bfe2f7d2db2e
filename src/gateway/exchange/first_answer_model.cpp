#include "gateway/exchange/first_answer_model.h"

#include <algorithm>
#include <array>

namespace orchidlead::gateway {

namespace {

// Weight of the newest request in the moving average of requests without a prompt size.
constexpr double AverageWeight = 0.05;
// Factor by which each request reduces the weight of the earlier ones. At the one or two requests
// per second that a node sees, the last 20 to 30 s determine the line.
constexpr double Retention = 0.97;
// Sizes are stated by clients. A false one must not determine the line for the others; no engine
// keeps a longer prompt beside other requests.
constexpr std::uint32_t MaxPromptTokens = 200'000;
// The prior line, in µs: 50 ms, plus 1 ms for 40 prompt tokens.
constexpr double PriorFixedTime = 50'000;
constexpr double PriorTimePerToken = 25;
// The prior has the weight of one request of each of these sizes, in prompt tokens. It never
// expires, so that the slope is defined while all requests have the same size.
constexpr std::array<double, 3> PriorRequests{500, 4'000, 16'000};

double priorTime(double tokens)
{
    return PriorFixedTime + PriorTimePerToken * tokens;
}

} // namespace

// Deviations are proportional to the time of a request, and deadlines are missed by the relative
// error, so a request has the inverse of the square of its prior time as its weight. With equal
// weights, the long prompts alone would determine the fixed time.
void first_answer_model::weighted_sums::add(double requestTokens, double requestTime)
{
    const double expectedTime = priorTime(requestTokens);
    const double requestWeight = 1 / (expectedTime * expectedTime);
    weight += requestWeight;
    tokens += requestWeight * requestTokens;
    squaredTokens += requestWeight * requestTokens * requestTokens;
    time += requestWeight * requestTime;
    tokensByTime += requestWeight * requestTokens * requestTime;
}

void first_answer_model::weighted_sums::scale(double factor)
{
    for (auto *sum : {&weight, &tokens, &squaredTokens, &time, &tokensByTime})
        *sum *= factor;
}

void first_answer_model::onFirstAnswer(std::uint32_t promptTokens, microseconds took)
{
    const auto time = static_cast<double>(std::max(took, microseconds{0}).count());
    if (promptTokens == 0) {
        m_average += AverageWeight * (time - m_average);
        return;
    }
    m_sums.scale(Retention);
    m_sums.add(std::min(promptTokens, MaxPromptTokens), time);
}

// A longer prompt never takes less time, and no part of the time is negative: where the best line
// violates one of the two, that coefficient is 0 and the other one is fitted alone.
first_answer_model::line first_answer_model::fit() const
{
    auto sums = m_sums;
    for (const double tokens : PriorRequests)
        sums.add(tokens, priorTime(tokens));
    const double determinant = sums.weight * sums.squaredTokens - sums.tokens * sums.tokens;
    const double perToken =
        (sums.weight * sums.tokensByTime - sums.tokens * sums.time) / determinant;
    if (perToken < 0)
        return {sums.time / sums.weight, 0};
    const double fixed = (sums.time - perToken * sums.tokens) / sums.weight;
    if (fixed < 0)
        return {0, sums.tokensByTime / sums.squaredTokens};
    return {fixed, perToken};
}

first_answer_model::microseconds first_answer_model::expected(std::uint32_t promptTokens) const
{
    if (promptTokens == 0)
        return microseconds{static_cast<std::int64_t>(m_average)};
    const auto [fixed, perToken] = fit();
    return microseconds{static_cast<std::int64_t>(fixed + perToken * promptTokens)};
}

first_answer_model::microseconds first_answer_model::fixedTime() const
{
    return microseconds{static_cast<std::int64_t>(fit().fixed)};
}

} // namespace orchidlead::gateway
