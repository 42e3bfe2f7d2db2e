#pragma once

#include "net/event_loop.h"
#include "standins/work_model.h"

#include <deque>
#include <random>
#include <unordered_map>

namespace orchidlead::standins {

/// Service time and room of an encoder, retriever, reranker or plain service.
struct stage_work_options
{
    std::chrono::microseconds base{5000};
    std::chrono::microseconds perKib{50}; ///< of input
    double sigma = 0.2; ///< of the logarithm of the service time
    std::uint32_t capacity = 8; ///< pieces of work at a time
    std::uint32_t queue = 64;
};

/// Runs up to `capacity` pieces of work at a time, first come first served.
class stage_work final : public work_model
{
public:
    stage_work(net::event_loop &loop, const clock_source &clock, const stage_work_options &options,
               std::uint64_t seed)
        : m_loop(loop)
        , m_clock(clock)
        , m_options(options)
        , m_random(seed)
    { }
    ~stage_work() override;
    stage_work(const stage_work &) = delete;
    stage_work &operator=(const stage_work &) = delete;

    std::optional<work_id> submit(work_item item) override;
    void cancel(work_id id) override;
    [[nodiscard]] work_load load() const override;
    void setSlowness(double factor) override { m_slowness = factor; }

private:
    struct queued_work
    {
        work_id id = 0;
        work_item item;
    };

    struct running_work
    {
        work_item item;
        net::timer_id timer = 0;
    };

    [[nodiscard]] std::chrono::microseconds drawServiceTime(std::size_t inputBytes);
    void startQueued();
    void start(queued_work work);
    void finish(work_id id);

    net::event_loop &m_loop;
    const clock_source &m_clock;
    stage_work_options m_options;
    std::mt19937_64 m_random;
    double m_slowness = 1.0;
    work_id m_lastId = 0;
    std::deque<queued_work> m_queue;
    std::unordered_map<work_id, running_work> m_running;
};

} // namespace orchidlead::standins
