#pragma once

#include "net/event_loop.h"
#include "standins/prefix_cache.h"
#include "standins/work_model.h"

#include <list>

namespace orchidlead::standins {

/// Speed and memory of a model engine.
struct engine_work_options
{
    std::chrono::microseconds baseStep{8000}; ///< of one decoding step with one sequence
    std::chrono::microseconds perSequence{300}; ///< added to a step for each further sequence
    std::chrono::microseconds perPromptToken{20}; ///< of prefill
    std::uint32_t prefillTokensOfStep = 512;
    std::uint32_t capacity = 16; ///< sequences in the batch
    std::uint32_t queue = 64;
    std::uint32_t cacheBlocks = 4096; ///< memory for prompt prefixes
};

/// Batches continuously: each step makes one token for every sequence in the batch, and takes the
/// longer the more there are; waiting sequences join at the next step, high priority first. The
/// part of a prompt that the prefix cache has needs no prefill.
class engine_work final : public work_model
{
public:
    engine_work(net::event_loop &loop, const clock_source &clock,
                const engine_work_options &options)
        : m_loop(loop)
        , m_clock(clock)
        , m_options(options)
        , m_cache(options.cacheBlocks)
    { }
    ~engine_work() override;
    engine_work(const engine_work &) = delete;
    engine_work &operator=(const engine_work &) = delete;

    std::optional<work_id> submit(work_item item) override;
    void cancel(work_id id) override;
    [[nodiscard]] work_load load() const override;
    void setSlowness(double factor) override { m_slowness = factor; }

    [[nodiscard]] const prefix_cache &cache() const { return m_cache; }

private:
    struct sequence
    {
        work_id id = 0;
        work_item item;
        std::uint32_t prefillLeft = 0; ///< tokens
        std::uint32_t tokensLeft = 0;
        bool stepped = false; ///< takes part in the step that runs now
    };

    void joinBatch();
    void join(sequence waiting);
    void startStep();
    void finishStep();
    /// Makes the next token of a sequence, and ends it with its last.
    void advance(work_id id);
    [[nodiscard]] std::chrono::microseconds planStep();
    [[nodiscard]] std::list<sequence>::iterator findRunning(work_id id);

    net::event_loop &m_loop;
    const clock_source &m_clock;
    engine_work_options m_options;
    prefix_cache m_cache;
    double m_slowness = 1.0;
    work_id m_lastId = 0;
    std::list<sequence> m_waiting;
    std::list<sequence> m_running;
    net::timer_id m_timer = 0;
    bool m_stepping = false;
};

} // namespace orchidlead::standins
