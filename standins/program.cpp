#include "standins/program.h"

#include "standins/json_http.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

namespace orchidlead::standins {

namespace {

// Signal handlers reach nothing but globals.
net::event_loop *stoppedBySignal = nullptr;

void onSignal(int /*signal*/)
{
    if (stoppedBySignal != nullptr)
        stoppedBySignal->stop();
}

} // namespace

void exitWith(std::string_view message)
{
    std::cerr << message << std::endl;
    std::exit(EXIT_FAILURE);
}

std::string readFileOrExit(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        exitWith("can't read " + path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::unique_ptr<net::event_loop> makeLoopOrExit()
{
    auto loop = net::event_loop::create();
    if (!loop)
        exitWith(loop.error().what);
    stoppedBySignal = loop.value().get();
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    return std::move(loop.value());
}

// The file appears whole: others wait for it.
void announce(const Json::Value &addresses, const std::string &path)
{
    const std::string line = toCompactJson(addresses);
    std::cout << line << std::endl;
    if (path.empty())
        return;
    const std::string unfinished = path + ".part";
    std::ofstream(unfinished) << line << '\n';
    std::filesystem::rename(unfinished, path);
}

} // namespace orchidlead::standins
