#pragma once

#include "core/configuration/published_configuration.h"
#include "core/requests/engine_types.h"

#include <orchidlead/clock.h>
#include <orchidlead/random_source.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

/// A small queueing model of stage pools, for comparing policies of the request engine. It isn't a
/// cluster simulator: servers have places and a queue, links a constant delay, and that is all.
namespace orchidlead::bench::model {

/// How a server behaves from some moment on.
struct server_condition
{
    double slowdown = 1.0;
    bool refusesConnections = false;
    bool silent = false; ///< takes calls and never answers
};

/// A change of condition in the course of a run.
struct fault
{
    milliseconds at{0};
    std::string service;
    std::uint32_t firstServer = 0;
    std::uint32_t servers = 1;
    server_condition condition;
};

struct pool_shape
{
    std::string service;
    std::uint32_t servers = 1;
    std::uint32_t places = 4; ///< calls that one server runs at a time
    std::uint32_t queue = 16; ///< calls that one server lets wait; more are refused
};

/// One sort of request.
struct request_kind
{
    double share = 1.0; ///< of the arrivals
    orchidlead::priority priority = priority::Normal;
    std::size_t inputBytes = 200;
    std::vector<double> stageTimes; ///< ms, mean, by stage
};

struct customer_share
{
    std::string customer;
    double share = 1.0; ///< of the arrivals
};

/// A stretch of constant load.
struct load_phase
{
    milliseconds length{0};
    double rate = 0.0; ///< requests a second, over all nodes
};

struct scenario
{
    std::string name;
    std::vector<pool_shape> pools; ///< one for each stage, in order
    std::vector<request_kind> kinds;
    std::vector<customer_share> customers;
    std::vector<load_phase> load;
    std::vector<fault> faults;
    std::uint32_t nodes = 6;
    milliseconds deadline{4'000};

    /// Gives what the scarcest pool can serve, in requests a second.
    [[nodiscard]] double capacity() const;
};

/// What became of one request.
struct request_result
{
    std::uint32_t customer = 0; ///< index in the scenario
    steady_time submitted;
    steady_time ended;
    orchidlead::outcome outcome = outcome::NotRun;
    bool attained = false;
    double busy = 0.0; ///< ms of servers' places, all attempts
    double engineBusy = 0.0; ///< the last pool's part of it
};

/// What one run measured.
struct run_result
{
    steady_time started;
    std::vector<request_result> requests;
    std::uint64_t firstTries = 0; ///< in the window of the run's first fault
    std::uint64_t allTries = 0;

    [[nodiscard]] double missedShare(milliseconds from, milliseconds to) const;
    [[nodiscard]] double attainedRate(milliseconds from, milliseconds to) const;
    /// Share of the last pool's places that worked for attained requests which ended then.
    [[nodiscard]] double usefulShare(double places, milliseconds from, milliseconds to) const;
    [[nodiscard]] double busyPerRequest() const; ///< ms
    [[nodiscard]] double wastedShare(milliseconds from, milliseconds to) const;
    /// Time to the end of requests that weren't answered, at a quantile; ms.
    [[nodiscard]] double refusalTime(milliseconds from, milliseconds to, double quantile) const;
    [[nodiscard]] double customerAttainment(std::uint32_t customer, milliseconds from,
                                            milliseconds to) const;

private:
    template <class Visit>
    void visit(milliseconds from, milliseconds to, Visit visit) const;
};

/// One call at a modelled server.
struct model_job
{
    attempt_key key;
    std::uint32_t node = 0;
    std::uint32_t pool = 0;
    std::uint32_t server = 0;
    std::uint32_t request = 0; ///< index in the results
    orchidlead::priority priority = priority::Normal;
    double time = 0.0; ///< ms, without the server's slowdown
    steady_time started{};
    bool running = false;
    bool over = false; ///< answered, refused or cancelled
};

/// What a server tells a node of a call.
struct model_reply
{
    std::uint32_t job = 0;
    bool answered = false;
    attempt_failure failure = attempt_failure::Broken;
};

/// The servers of all pools with their places and queues. Time is driven from outside.
class pool_model
{
public:
    using schedule_function = std::function<void(steady_time, std::function<void()>)>;
    using reply_function = std::function<void(const model_reply &)>;

    pool_model(const scenario &shape, schedule_function schedule, reply_function reply);

    std::uint32_t add(model_job job);
    void arrive(std::uint32_t job, steady_time now);
    void cancel(std::uint32_t job, steady_time now);
    void change(const fault &change, steady_time now);
    [[nodiscard]] load_report report(std::uint32_t pool, std::uint32_t server) const;
    [[nodiscard]] const model_job &job(std::uint32_t index) const { return m_jobs[index]; }
    [[nodiscard]] std::vector<service> services() const;
    std::function<void(const model_job &, double busy)> onBusy;

private:
    struct server_state
    {
        server_condition condition;
        std::uint32_t running = 0;
        std::vector<std::deque<std::uint32_t>> waiting{3}; ///< by priority
        [[nodiscard]] std::size_t queued() const;
    };

    void start(std::uint32_t job, steady_time now);
    void finish(std::uint32_t job, steady_time now);
    void stop(model_job &job, steady_time now);
    void startNext(std::uint32_t pool, std::uint32_t server, steady_time now);
    server_state &serverOf(const model_job &job) { return m_pools[job.pool][job.server]; }

    const scenario &m_shape;
    schedule_function m_schedule;
    reply_function m_reply;
    std::vector<std::vector<server_state>> m_pools;
    std::vector<model_job> m_jobs;
};

[[nodiscard]] backend_server_id serverName(const std::string &service, std::uint32_t number);

/// Draws a factor with mean 1 and a long upper tail.
[[nodiscard]] double logNormal(random_source &random, double sigma);

} // namespace orchidlead::bench::model
