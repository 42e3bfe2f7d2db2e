#include "ctl/command.h"
#include "ctl/http_node_api.h"

#include <unistd.h>

#include <cstdlib>
#include <iostream>

/// The command-line tool of operators; docs/ORCHIDCTL.md describes it.
int main(int argc, char *argv[])
{
    using namespace orchidlead::ctl;
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const bool terminal = ::isatty(STDOUT_FILENO) == 1 && std::getenv("NO_COLOR") == nullptr;
    const exit_code code =
        runCommandLine(arguments, std::cin, std::cout, std::cerr, terminal, callOverHttp);
    std::cout.flush();
    return static_cast<int>(code);
}
