#include "bench/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <iterator>
#include <limits>
#include <sstream>
#include <string>

namespace orchidlead::bench {

namespace {

std::string procFile(pid_t process, const char *name)
{
    return "/proc/" + std::to_string(process) + "/" + name;
}

} // namespace

std::chrono::milliseconds processorTime(pid_t process)
{
    std::ifstream file(procFile(process, "stat"));
    const std::string text(std::istreambuf_iterator<char>(file), {});
    // The name, in parentheses, may hold anything; user and system time are the 12th and 13th
    // after.
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    constexpr int FieldsBefore = 11;
    std::string skipped;
    for (int i = 0; i < FieldsBefore; ++i)
        fields >> skipped;
    long user = 0;
    long system = 0;
    fields >> user >> system;
    constexpr long MillisecondsInSecond = 1000;
    return std::chrono::milliseconds{(user + system) * MillisecondsInSecond / sysconf(_SC_CLK_TCK)};
}

std::size_t residentKib(pid_t process)
{
    std::ifstream file(procFile(process, "status"));
    for (std::string name; file >> name;) {
        std::size_t kib = 0;
        if (name == "VmRSS:" && file >> kib)
            return kib;
        file.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
    }
    return 0;
}

} // namespace orchidlead::bench
