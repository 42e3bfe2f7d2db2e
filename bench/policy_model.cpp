#include "policy_model.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace orchidlead::bench::model {

namespace {

steady_time after(steady_time now, double ms)
{
    return now
        + std::chrono::duration_cast<steady_time::duration>(
               std::chrono::duration<double, std::milli>(ms));
}

double msBetween(steady_time from, steady_time to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

} // namespace

double scenario::capacity() const
{
    double lowest = 1e9;
    for (std::size_t stage = 0; stage < pools.size(); ++stage) {
        double mean = 0.0;
        for (const request_kind &kind : kinds)
            mean += kind.share * kind.stageTimes[stage];
        const double places = pools[stage].servers * pools[stage].places;
        lowest = std::min(lowest, places * 1'000.0 / mean);
    }
    return lowest;
}

template <class Visit>
void run_result::visit(milliseconds from, milliseconds to, Visit visitOne) const
{
    for (const request_result &request : requests) {
        const auto at = request.submitted - started;
        if (at >= from && at < to)
            visitOne(request);
    }
}

double run_result::missedShare(milliseconds from, milliseconds to) const
{
    double all = 0.0;
    double missed = 0.0;
    visit(from, to, [&](const request_result &request) {
        all += 1.0;
        missed += request.attained ? 0.0 : 1.0;
    });
    return all == 0.0 ? 0.0 : missed / all;
}

double run_result::attainedRate(milliseconds from, milliseconds to) const
{
    double attained = 0.0;
    for (const request_result &request : requests) {
        const auto at = request.ended - started;
        attained += request.attained && at >= from && at < to ? 1.0 : 0.0;
    }
    return attained * 1'000.0 / static_cast<double>((to - from).count());
}

double run_result::usefulShare(double places, milliseconds from, milliseconds to) const
{
    double useful = 0.0;
    for (const request_result &request : requests) {
        const auto at = request.ended - started;
        useful += request.attained && at >= from && at < to ? request.engineBusy : 0.0;
    }
    return useful / (places * static_cast<double>((to - from).count()));
}

double run_result::busyPerRequest() const
{
    double busy = 0.0;
    for (const request_result &request : requests)
        busy += request.busy;
    return busy / static_cast<double>(requests.size());
}

double run_result::wastedShare(milliseconds from, milliseconds to) const
{
    double all = 0.0;
    double wasted = 0.0;
    visit(from, to, [&](const request_result &request) {
        all += request.busy;
        wasted += request.attained ? 0.0 : request.busy;
    });
    return all == 0.0 ? 0.0 : wasted / all;
}

double run_result::refusalTime(milliseconds from, milliseconds to, double quantile) const
{
    std::vector<double> times;
    visit(from, to, [&](const request_result &request) {
        if (request.outcome != outcome::Answered)
            times.push_back(msBetween(request.submitted, request.ended));
    });
    if (times.empty())
        return 0.0;
    std::sort(times.begin(), times.end());
    const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(times.size() - 1));
    return times[rank];
}

double run_result::customerAttainment(std::uint32_t customer, milliseconds from,
                                      milliseconds to) const
{
    double all = 0.0;
    double attained = 0.0;
    visit(from, to, [&](const request_result &request) {
        if (request.customer != customer)
            return;
        all += 1.0;
        attained += request.attained ? 1.0 : 0.0;
    });
    return all == 0.0 ? 1.0 : attained / all;
}

backend_server_id serverName(const std::string &service, std::uint32_t number)
{
    return backend_server_id{service + "-" + std::to_string(number)};
}

double logNormal(random_source &random, double sigma)
{
    const double radius = std::sqrt(-2.0 * std::log(1.0 - random.unit()));
    const double normal = radius * std::cos(2.0 * std::numbers::pi * random.unit());
    return std::exp(sigma * normal - sigma * sigma / 2.0);
}

pool_model::pool_model(const scenario &shape, schedule_function schedule, reply_function reply)
    : m_shape(shape)
    , m_schedule(std::move(schedule))
    , m_reply(std::move(reply))
{
    for (const pool_shape &pool : shape.pools)
        m_pools.emplace_back(pool.servers);
}

std::size_t pool_model::server_state::queued() const
{
    std::size_t all = 0;
    for (const auto &queue : waiting)
        all += queue.size();
    return all;
}

std::vector<service> pool_model::services() const
{
    std::vector<service> services;
    for (const pool_shape &pool : m_shape.pools) {
        service made;
        made.id = service_id{pool.service};
        for (std::uint32_t number = 0; number < pool.servers; ++number) {
            backend_server server;
            server.id = serverName(pool.service, number);
            server.address = {"127.0.0.1", static_cast<std::uint16_t>(number + 1)};
            server.dataCenter = data_center_id{"a"};
            made.servers.push_back(server);
        }
        services.push_back(made);
    }
    return services;
}

std::uint32_t pool_model::add(model_job job)
{
    m_jobs.push_back(std::move(job));
    return static_cast<std::uint32_t>(m_jobs.size() - 1);
}

void pool_model::arrive(std::uint32_t index, steady_time now)
{
    model_job &job = m_jobs[index];
    if (job.over)
        return;
    server_state &server = serverOf(job);
    const pool_shape &shape = m_shape.pools[job.pool];
    if (server.condition.silent)
        return;
    if (server.condition.refusesConnections || server.queued() >= shape.queue) {
        job.over = true;
        const bool down = server.condition.refusesConnections;
        m_reply({index, false, down ? attempt_failure::NotSent : attempt_failure::Refused});
        return;
    }
    if (server.running < shape.places)
        start(index, now);
    else
        server.waiting[static_cast<std::size_t>(job.priority)].push_back(index);
}

void pool_model::start(std::uint32_t index, steady_time now)
{
    model_job &job = m_jobs[index];
    server_state &server = serverOf(job);
    ++server.running;
    job.running = true;
    job.started = now;
    const steady_time end = after(now, job.time * server.condition.slowdown);
    m_schedule(end, [this, index, end] { finish(index, end); });
}

void pool_model::finish(std::uint32_t index, steady_time now)
{
    model_job &job = m_jobs[index];
    if (job.over || serverOf(job).condition.silent)
        return;
    stop(job, now);
    m_reply({index, true, {}});
    startNext(job.pool, job.server, now);
}

// Ends a call without a word to its node; a running one gives its place back.
void pool_model::stop(model_job &job, steady_time now)
{
    job.over = true;
    if (!job.running)
        return;
    job.running = false;
    --serverOf(job).running;
    onBusy(job, msBetween(job.started, now));
}

void pool_model::startNext(std::uint32_t pool, std::uint32_t number, steady_time now)
{
    server_state &server = m_pools[pool][number];
    while (server.running < m_shape.pools[pool].places) {
        const auto queue = std::find_if(server.waiting.begin(), server.waiting.end(),
                                        [](const auto &waiting) { return !waiting.empty(); });
        if (queue == server.waiting.end())
            return;
        const std::uint32_t next = queue->front();
        queue->pop_front();
        if (!m_jobs[next].over)
            start(next, now);
    }
}

void pool_model::cancel(std::uint32_t index, steady_time now)
{
    model_job &job = m_jobs[index];
    if (job.over)
        return;
    stop(job, now);
    startNext(job.pool, job.server, now);
}

// A server that goes down loses its calls: their nodes see broken connections, or nothing at all.
void pool_model::change(const fault &change, steady_time now)
{
    const auto pool = static_cast<std::uint32_t>(
        std::find_if(m_shape.pools.begin(), m_shape.pools.end(),
                     [&](const pool_shape &shape) { return shape.service == change.service; })
        - m_shape.pools.begin());
    for (std::uint32_t number = change.firstServer; number < change.firstServer + change.servers;
         ++number) {
        server_state &server = m_pools[pool][number];
        server.condition = change.condition;
        const bool lost = change.condition.silent || change.condition.refusesConnections;
        for (std::uint32_t index = 0; lost && index < m_jobs.size(); ++index) {
            model_job &job = m_jobs[index];
            const bool here = job.pool == pool && job.server == number && job.running;
            if (!here)
                continue;
            stop(job, now);
            if (!change.condition.silent)
                m_reply({index, false, attempt_failure::Broken});
        }
        for (auto &queue : server.waiting)
            queue.clear();
    }
}

load_report pool_model::report(std::uint32_t pool, std::uint32_t number) const
{
    const server_state &server = m_pools[pool][number];
    load_report view;
    view.server = serverName(m_shape.pools[pool].service, number);
    view.running = server.running;
    view.queued = static_cast<std::uint32_t>(server.queued());
    return view;
}

} // namespace orchidlead::bench::model
