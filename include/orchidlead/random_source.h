#pragma once

#include <cstdint>

namespace orchidlead {

/// Seeded SplitMix64 generator. Its results are the same in every build, unlike those of the
/// distributions of the standard library.
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : m_state(seed)
    { }

    [[nodiscard]] std::uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        std::uint64_t mixed = m_state;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
        return mixed ^ (mixed >> 31U);
    }

    /// Returns a number in [0, bound); `bound` must not be 0. The bias is below bound / 2^64.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound) { return next() % bound; }

    /// Returns a number in [0, 1).
    [[nodiscard]] double unit()
    {
        constexpr int Bits = 53;
        return static_cast<double>(next() >> (64 - Bits)) / static_cast<double>(1ULL << Bits);
    }

private:
    std::uint64_t m_state;
};

} // namespace orchidlead
