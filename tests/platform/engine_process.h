#pragma once

#include <orchidlead/clock.h>

#include <sys/types.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>

/// Child processes for tests, and an engine to run in one.
namespace orchidlead::platform_world {

/// The kinds of routes that an engine serves; the value is the first letter of their paths.
enum class route_kind : char {
    Resumable = 's',
    NotResumable = 'n',
    Safe = 'p',
    Unsafe = 'u',
};

[[nodiscard]] bool isStream(route_kind kind);
[[nodiscard]] bool mayRepeat(route_kind kind);

constexpr milliseconds EventInterval{40};
/// Returns the number of events of a stream with this request number.
[[nodiscard]] int eventCount(int request);

/// Memory that engine processes share with the test.
struct engine_memory
{
    struct arrival
    {
        int request = 0;
        steady_time at{};
    };
    static constexpr std::size_t MaxEngines = 16;
    static constexpr std::size_t MaxArrivals = 20'000;

    std::array<std::atomic<std::uint16_t>, MaxEngines> ports{}; ///< 0: doesn't listen yet
    std::atomic<std::size_t> arrivalCount{0};
    std::array<arrival, MaxArrivals> arrivals{};
};

class shared_memory
{
public:
    shared_memory();
    ~shared_memory();
    shared_memory(const shared_memory &) = delete;
    shared_memory &operator=(const shared_memory &) = delete;

    [[nodiscard]] engine_memory &get() const { return *m_memory; }

private:
    void *m_bytes;
    engine_memory *m_memory = nullptr;
};

/// A child process; it is killed with this object or with the test process.
class child_process
{
public:
    /// Calls `run` in the child, which fails if `run` returns.
    explicit child_process(const std::function<void()> &run);
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    void signal(int number);
    [[nodiscard]] bool running();
    /// Whether the process ended by itself with success.
    [[nodiscard]] bool succeeded() const;

private:
    pid_t m_pid;
    int m_status = 0;
    bool m_reaped = false;
};

/// Answers requests for paths such as `/s/12`, where 12 is the request number; doesn't return.
void runEngine(engine_memory &memory, std::size_t index);

} // namespace orchidlead::platform_world
