#pragma once

#include <cstdlib>
#include <iostream>
#include <string_view>

/// Prints what an example shows and remembers whether all of it really happened.
class claims
{
public:
    void check(bool holds, std::string_view claim)
    {
        std::cout << (holds ? "ok      " : "FAILED  ") << claim << '\n';
        m_allHold = m_allHold && holds;
    }

    /// What `main` returns.
    [[nodiscard]] int exitCode() const { return m_allHold ? EXIT_SUCCESS : EXIT_FAILURE; }

private:
    bool m_allHold = true;
};
