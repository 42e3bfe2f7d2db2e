#pragma once

#include "net/http_client.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace orchidlead::bench {

/// What a load found.
struct load_result
{
    std::uint64_t answered = 0; ///< status 200, and whole
    std::uint64_t refused = 0; ///< any other status
    std::uint64_t failed = 0; ///< no whole answer
    std::vector<std::chrono::nanoseconds> latencies; ///< of the answered

    /// The latency that this share of the answered didn't pass; 0 when there are none.
    [[nodiscard]] std::chrono::nanoseconds quantile(double share) const;
};

/// How long a load goes on.
struct load_bounds
{
    std::size_t concurrency = 1; ///< calls open at a time
    std::chrono::milliseconds time = std::chrono::hours{1};
    std::uint64_t calls = UINT64_MAX;
};

/// Makes a call as soon as one has ended, with a fixed number of them open.
class closed_loop_load
{
public:
    closed_loop_load(net::event_loop &loop, net::http_client &client, net::http_call call)
        : m_loop(loop)
        , m_client(client)
        , m_call(std::move(call))
    { }

    /// Runs the loop until the bounds are reached and the last call has ended.
    [[nodiscard]] load_result run(const load_bounds &bounds);

private:
    void startOne();
    void onEnd(std::chrono::steady_clock::time_point began, int status, net::call_end end);
    [[nodiscard]] bool mayStart() const;

    net::event_loop &m_loop;
    net::http_client &m_client;
    net::http_call m_call;
    load_bounds m_bounds;
    std::chrono::steady_clock::time_point m_until;
    std::uint64_t m_started = 0;
    std::size_t m_open = 0;
    load_result m_result;
};

} // namespace orchidlead::bench
