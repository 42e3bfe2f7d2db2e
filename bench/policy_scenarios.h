#pragma once

#include "policy_model.h"

namespace orchidlead::bench::model {

/// Moments that the scenarios share, from the start of a run.
inline constexpr milliseconds WarmUp{5'000};
inline constexpr milliseconds FaultLength{10'000};
inline constexpr milliseconds FaultEnd = WarmUp + FaultLength;
inline constexpr milliseconds RunLength{25'000};

/// Four stages before 18 or 12 engines, with a third each of short, middling and long requests.
[[nodiscard]] scenario steadyLoad(std::uint32_t engines, double share);

/// One engine at ten times its usual time for `FaultLength`.
[[nodiscard]] scenario oneStraggler(std::uint32_t engines);

/// Twice what the pools can serve for `FaultLength`.
[[nodiscard]] scenario burst(std::uint32_t engines);

/// All engines refuse connections, or are silent, for `FaultLength`.
[[nodiscard]] scenario poolDown(std::uint32_t engines, bool silent);

/// A third of the engines is lost for good.
[[nodiscard]] scenario thirdLost(std::uint32_t engines, bool silent);

/// Two small customers beside three large ones that ask for far more than their share, or are
/// silent.
[[nodiscard]] scenario smallAndLarge(std::uint32_t engines, bool largeSilent);

/// Index of the first small customer in the scenarios; the second follows.
inline constexpr std::uint32_t FirstSmallCustomer = 3;

} // namespace orchidlead::bench::model
