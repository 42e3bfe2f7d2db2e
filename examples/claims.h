#pragma once

#include <cstdlib>
#include <iostream>
#include <string_view>

/// Prints the checked claims of an example and records whether all of them hold.
class claims
{
public:
    void check(bool holds, std::string_view claim)
    {
        std::cout << (holds ? "ok      " : "FAILED  ") << claim << '\n';
        m_allHold = m_allHold && holds;
    }

    /// Exit status for `main`.
    [[nodiscard]] int exitCode() const { return m_allHold ? EXIT_SUCCESS : EXIT_FAILURE; }

private:
    bool m_allHold = true;
};
