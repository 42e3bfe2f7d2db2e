#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <cstdlib>

/// Runs the tests of one program, with the directories that they read from in the environment.
///
/// They are set here and not by CTest, because catch_discover_tests keeps only the first variable
/// of a list, and because the program can then be run by hand.
int main(int argc, char *argv[])
{
    constexpr int KeepExisting = 0;
    ::setenv("ORCHIDLEAD_SOURCE", ORCHIDLEAD_SOURCE_DIRECTORY, KeepExisting);
    ::setenv("ORCHIDLEAD_BUILD", ORCHIDLEAD_BUILD_DIRECTORY, KeepExisting);
    return Catch::Session().run(argc, argv);
}
