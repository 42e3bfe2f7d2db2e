#pragma once

#include "gateway/admission/overload_order.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace orchidlead::gateway {

inline request_digest makeDigest(std::uint32_t number)
{
    request_digest digest;
    for (std::size_t i = 0; i < sizeof number; ++i)
        digest.bytes[i] = static_cast<std::uint8_t>(number >> (8 * i));
    return digest;
}

/// When a refused client sends its request again.
enum class client_kind {
    Punctual, ///< at the time that it was told, and up to 100 ms later
    Hasty, ///< at once
    Polling, ///< every 100 ms
};

/// A Poisson stream of requests of one customer.
struct customer_stream
{
    std::string customer;
    double perSecond = 0;
    client_kind kind = client_kind::Punctual;
    stage_rank rank;
};

/// Outcomes of the requests of a customer or of a kind of client.
struct request_counts
{
    int requests = 0;
    int served = 0;
    int refusals = 0;
    int maxRefusals = 0; ///< of one request
    int refused = 0; ///< requests that were refused at least once
    int refusedAgain = 0; ///< requests that were refused more than once
    int servedLater = 0; ///< requests that were refused at first

    [[nodiscard]] double shareServed() const { return ratio(served, requests); }
    [[nodiscard]] double shareServedLater() const { return ratio(servedLater, refused); }

private:
    static double ratio(int part, int all) { return all == 0 ? 1.0 : double(part) / all; }
};

/// Plays streams of requests against one pool, without network and with simulated time. The pool
/// takes 12 ms for the pieces of a request with all of its servers, as the first stage of the
/// deployment with scarce result storage: 83 requests per second. Pieces must begin within 600 ms;
/// clients wait for 4 s in total, follow a `Retry-After` of up to a third of the time left, and try
/// four times.
class overload_emulator
{
public:
    static constexpr pool_time Cost{0.012};
    static constexpr double Capacity = 1.0 / 0.012; ///< requests per second
    static constexpr milliseconds LatestStart{600};
    static constexpr milliseconds ClientTime{4000};
    static constexpr int MaxTries = 4;
    static constexpr milliseconds Step{5};

    explicit overload_emulator(overload_order::options enabled, unsigned seed = 20261204)
        : m_enabled(enabled)
        , m_arrivals(seed)
        , m_delays(seed + 1)
        , m_order(std::make_unique<overload_order>(m_clock, enabled))
    { }

    void run(const std::vector<customer_stream> &streams, milliseconds span)
    {
        for (const auto end = m_clock.now() + span; m_clock.now() < end;) {
            for (const auto &each : streams)
                addArrivals(each);
            step();
        }
    }
    /// Runs without new requests until all have ended.
    void finish() { run({}, ClientTime * 2); }
    /// Starts a new host that knows neither turns nor shares. The pool keeps its work.
    void replaceHost() { m_order = std::make_unique<overload_order>(m_clock, m_enabled); }
    /// Counts requests from now on.
    void resetCounts()
    {
        m_byCustomer.clear();
        m_byKind.clear();
    }

    [[nodiscard]] const request_counts &of(const std::string &customer)
    {
        return m_byCustomer[customer];
    }
    [[nodiscard]] const request_counts &of(client_kind kind) { return m_byKind[kind]; }
    [[nodiscard]] request_counts total() const
    {
        request_counts sum;
        for (const auto &[customer, each] : m_byCustomer) {
            sum.requests += each.requests;
            sum.served += each.served;
            sum.refusals += each.refusals;
            sum.maxRefusals = std::max(sum.maxRefusals, each.maxRefusals);
            sum.refused += each.refused;
            sum.refusedAgain += each.refusedAgain;
            sum.servedLater += each.servedLater;
        }
        return sum;
    }
    [[nodiscard]] const overload_order &order() const { return *m_order; }
    /// Returns the requests that were granted of those that returned within the window of a turn.
    [[nodiscard]] double redeemedShare() const
    {
        return m_redeemed == 0 ? 1.0 : double(m_redeemedAndGranted) / m_redeemed;
    }
    [[nodiscard]] int redeemed() const { return m_redeemed; }
    [[nodiscard]] pool_time idleTime() const { return m_idleTime; }

private:
    struct request
    {
        std::uint32_t number = 0;
        customer_stream stream;
        steady_time deadline;
        int refusals = 0;
    };

    void addArrivals(const customer_stream &stream)
    {
        const double mean = stream.perSecond * std::chrono::duration<double>(Step).count();
        const int count = std::poisson_distribution<int>(mean)(m_arrivals);
        for (int i = 0; i < count; ++i) {
            ++m_byCustomer[stream.customer].requests;
            ++m_byKind[stream.kind].requests;
            attempt({++m_lastNumber, stream, m_clock.now() + ClientTime});
        }
    }

    void step()
    {
        m_clock.advance(Step);
        work();
        while (!m_returns.empty() && m_returns.begin()->first <= m_clock.now()) {
            const auto each = m_returns.extract(m_returns.begin()).mapped();
            attempt(each);
        }
    }

    /// Works for one step, on the most urgent rank first.
    void work()
    {
        pool_time rest = Step;
        for (auto &[rank, ahead] : m_backlog) {
            const auto part = std::min(rest, ahead);
            ahead -= part;
            rest -= part;
        }
        m_idleTime += rest;
    }

    [[nodiscard]] pool_time backlogAhead(const stage_rank &rank) const
    {
        pool_time sum{0};
        for (const auto &[each, ahead] : m_backlog)
            sum += each <= rank ? ahead : pool_time{0};
        return sum;
    }

    void attempt(request each)
    {
        overload_query query;
        query.request = makeDigest(each.number);
        query.customer = customer_id(each.stream.customer);
        query.rank = each.stream.rank;
        query.cost = Cost;
        query.wait = std::chrono::ceil<milliseconds>(backlogAhead(query.rank));
        query.latestStart = LatestStart;
        query.maxRetryAfter = maxRetryAfter(each);
        const bool inWindow = m_order->turns().isInWindow(query.request);
        const auto answer = m_order->decide(query);
        m_redeemed += inWindow ? 1 : 0;
        m_redeemedAndGranted += inWindow && answer.granted() ? 1 : 0;
        if (answer.granted()) {
            m_backlog[each.stream.rank] += Cost;
            recordServed(m_byCustomer[each.stream.customer], each);
            recordServed(m_byKind[each.stream.kind], each);
            return;
        }
        ++each.refusals;
        recordRefusal(m_byCustomer[each.stream.customer], each);
        recordRefusal(m_byKind[each.stream.kind], each);
        if (each.refusals < MaxTries && answer.retryAfter <= maxRetryAfter(each))
            m_returns.emplace(m_clock.now() + nextTry(each, answer.retryAfter), each);
    }

    [[nodiscard]] milliseconds maxRetryAfter(const request &each) const
    {
        return std::chrono::duration_cast<milliseconds>(each.deadline - m_clock.now()) / 3;
    }

    static void recordServed(request_counts &counts, const request &each)
    {
        ++counts.served;
        counts.servedLater += each.refusals > 0 ? 1 : 0;
    }

    static void recordRefusal(request_counts &counts, const request &each)
    {
        ++counts.refusals;
        counts.maxRefusals = std::max(counts.maxRefusals, each.refusals);
        counts.refused += each.refusals == 1 ? 1 : 0;
        counts.refusedAgain += each.refusals == 2 ? 1 : 0;
    }

    [[nodiscard]] milliseconds nextTry(const request &each, milliseconds retryAfter)
    {
        switch (each.stream.kind) {
        case client_kind::Hasty:
            return Step;
        case client_kind::Polling:
            return milliseconds{100};
        case client_kind::Punctual:
            break;
        }
        return retryAfter + milliseconds{std::uniform_int_distribution<int>(0, 100)(m_delays)};
    }

    overload_order::options m_enabled;
    std::mt19937 m_arrivals; ///< the same arrivals whatever is refused
    std::mt19937 m_delays;
    manual_clock m_clock;
    std::unique_ptr<overload_order> m_order;
    std::map<stage_rank, pool_time> m_backlog;
    std::multimap<steady_time, request> m_returns;
    std::map<std::string, request_counts> m_byCustomer;
    std::map<client_kind, request_counts> m_byKind;
    std::uint32_t m_lastNumber = 0;
    int m_redeemed = 0;
    int m_redeemedAndGranted = 0;
    pool_time m_idleTime{0};
};

} // namespace orchidlead::gateway
