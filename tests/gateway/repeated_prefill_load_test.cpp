#include "engine_emulation.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

struct burst_outcome
{
    engine_emulation::outcome all; ///< sums over the seeds
    std::map<prefill_cause, double> tokens; ///< repeated from the burst on, by cause

    [[nodiscard]] double tokensOf(prefill_cause cause) const
    {
        const auto found = tokens.find(cause);
        return found == tokens.end() ? 0.0 : found->second;
    }
};

/// Plays 100 requests per second with 510 shared parts on 60 engines, and a burst of `factor` times
/// as many from 20 s to 26 s in which a quarter of the engines crashes.
burst_outcome playCrashes(double factor)
{
    constexpr double BurstBegin = 20;
    burst_outcome result;
    for (std::uint32_t seed = 1; seed <= 6; ++seed) {
        engine_emulation emulation(
            {.speeds = {0.6, 1.0, 1.6}, .noisyNeighbours = true, .without = {}, .seed = seed}, 1);
        std::minstd_rand random(seed);
        std::uniform_int_distribution<int> part(0, 509);
        const auto make = [&] {
            return engine_emulation::arrival{
                .prompt = {{"p" + std::to_string(part(random)), 13'300}, {"own", 300}}};
        };
        for (const auto &each : poissonArrivals(random, 100, 0, 36, make))
            emulation.add(each);
        for (const auto &each : poissonArrivals(random, 100 * (factor - 1), 20, 26, make))
            emulation.add(each);
        for (std::size_t i = 0; i < 15; ++i)
            emulation.crash(4 * i, BurstBegin + 1 + 0.1 * static_cast<double>(i), 6);
        emulation.onPlaced([&](const auto &request, const placement_result &placed) {
            if (placed.repeated.cause && request.at >= BurstBegin)
                result.tokens[*placed.repeated.cause] += placed.repeated.tokens;
        });
        result.all.add(emulation.run());
    }
    return result;
}

} // namespace

// Load: a burst with crashes. The parts that only the crashed engines kept have to be read again;
// guards against decisions of the board that add to it.
TEST_CASE("repeated_prefill: few tokens are read again in a burst with crashes that were kept")
{
    for (const double factor : {2.4, 3.1}) {
        const auto result = playCrashes(factor);
        const double lost = result.tokensOf(prefill_cause::EngineGone);
        const double spread = result.tokensOf(prefill_cause::SpreadByLoad);
        const double evicted = result.tokensOf(prefill_cause::Evicted);
        CAPTURE(factor, lost, spread, evicted, result.all.readAgain, result.all.readAgainKept,
                result.all.meanFirstToken(), result.all.quantile(0.5), result.all.quantile(0.9));
        CHECK(spread + evicted <= 0.15 * lost);
        CHECK(result.all.readAgainKept <= 0.1 * result.all.readAgain);
    }
}
