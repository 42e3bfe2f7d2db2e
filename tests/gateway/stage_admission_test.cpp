#include "gateway/admission/stage_admission.h"
#include "gateway/overload_emulator.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>

using namespace orchidlead;
using namespace orchidlead::gateway;

/// Shares and turns of a pool of 8 backend servers, each of which takes 8 pieces in 278 ms: 230
/// pieces per second. There is no network; time is simulated.
namespace {

constexpr double PiecesPerSecond = 230;
constexpr milliseconds Step{5};
constexpr int Customers = 16;
constexpr overload_order::options FirstCome{.customerShares = false, .retryTurns = false};
const pool_key encodePool{service_id("encode")};

/// A pool whose queue is a number of pieces.
class admission_harness
{
public:
    explicit admission_harness(overload_order::options order)
        : admission(clock, order)
    {
        admission.setEstimate([this](const pool_key &, const stage_rank &, std::uint64_t) {
            pool_estimate estimate;
            estimate.wait = milliseconds(static_cast<int>(1000 * waiting / PiecesPerSecond));
            estimate.piecesPerSecond = hasServers ? PiecesPerSecond : 0.0;
            estimate.callTime = milliseconds{278};
            return estimate;
        });
        admission.setDecisionHandler([this](const service_id &, const customer_id &, pool_time,
                                            refusal_cause cause) { ++decisions[cause]; });
    }

    reservation_answer ask(const std::string &customer, std::uint32_t number)
    {
        reservation_query query;
        query.id = number;
        query.attempt = std::to_string(number);
        query.digest = makeDigest(number);
        query.customer = customer_id(customer);
        query.stages = {{0, PiecesPerRequest, 2'900'000, milliseconds{0}, milliseconds{900}}};
        return admission.onQuery(this, encodePool, query);
    }
    /// The pieces of a granted request arrive.
    void submit(std::uint32_t number)
    {
        for (std::uint32_t i = 0; i < PiecesPerRequest; ++i)
            admission.onPieceArrived(encodePool, std::to_string(number), 0);
        waiting += PiecesPerRequest;
    }
    void advance()
    {
        clock.advance(Step);
        waiting = std::max(0.0, waiting - PiecesPerSecond * 0.005);
    }
    /// Customers send requests with these rates per second; each asks once. Returns the share of
    /// the requests of each customer that was granted.
    std::map<std::string, double> run(const std::map<std::string, double> &rates, milliseconds span)
    {
        std::minstd_rand random(7);
        std::map<std::string, std::pair<int, int>> counts;
        for (milliseconds passed{0}; passed < span; passed += Step) {
            advance();
            for (const auto &[customer, rate] : rates) {
                const int arrivals = std::poisson_distribution<int>(rate * 0.005)(random);
                for (int i = 0; i < arrivals; ++i) {
                    const auto number = ++m_lastNumber;
                    ++counts[customer].first;
                    if (!ask(customer, number).granted)
                        continue;
                    ++counts[customer].second;
                    submit(number);
                }
            }
        }
        std::map<std::string, double> shares;
        for (const auto &[customer, each] : counts)
            shares[customer] = static_cast<double>(each.second) / each.first;
        return shares;
    }

    static constexpr std::uint32_t PiecesPerRequest = 3;
    manual_clock clock;
    stage_admission admission;
    double waiting = 0;
    bool hasServers = true;
    std::map<refusal_cause, int> decisions;

private:
    std::uint32_t m_lastNumber = 0;
};

double least(const std::map<std::string, double> &shares, const std::string &except)
{
    double share = 1.0;
    for (const auto &[customer, each] : shares)
        share = customer == except ? share : std::min(share, each);
    return share;
}

} // namespace

TEST_CASE("a host grants fifteen customers what they request beside one at ten times its rate")
{
    std::map<std::string, double> rates;
    for (int i = 0; i < Customers; ++i)
        rates["c" + std::to_string(i)] = 0.8 * PiecesPerSecond / 3 / Customers;
    rates["c0"] *= 10;
    admission_harness firstCome(FirstCome);
    const auto before = firstCome.run(rates, milliseconds{10'000});
    admission_harness host({});
    const auto shares = host.run(rates, milliseconds{10'000});
    CAPTURE(least(before, "c0"), least(shares, "c0"), before.at("c0"), shares.at("c0"));
    CHECK(least(shares, "c0") > least(before, "c0"));
    CHECK(least(shares, "c0") >= 0.85);
    CHECK(host.decisions[refusal_cause::OverShare] > 0);
    CHECK(firstCome.decisions[refusal_cause::OverShare] == 0);
}

TEST_CASE("a refused request gets a turn and is granted when it returns at that time")
{
    admission_harness host({});
    host.waiting = 200; // more than a request can wait for
    const auto refused = host.ask("c", 1);
    REQUIRE_FALSE(refused.granted);
    CHECK(refused.cause == refusal_cause::Late);
    CHECK(refused.turnHeld);
    CHECK(refused.retryAfter >= milliseconds{200});
    CHECK(host.ask("c", 1).retryAfter == refused.retryAfter);
    for (milliseconds passed{0}; passed < refused.retryAfter; passed += Step)
        host.advance();
    CHECK(host.ask("c", 1).granted);
    CHECK(host.admission.turns().at(encodePool.service).counts.redeemed == 1);
    CHECK(host.admission.turns().at(encodePool.service).held == 0);
}

// Guards against a turn that is lost because the host of another pool refuses the request: the
// client returned at its time, and would find no capacity held when it returns again.
TEST_CASE("a turn is restored with its time if its grant is released before the pieces arrive")
{
    admission_harness host({});
    host.waiting = 200;
    const auto refused = host.ask("c", 1);
    REQUIRE(refused.turnHeld);
    host.clock.advance(refused.retryAfter);
    host.waiting = 0;
    const auto counts = [&] { return host.admission.turns().at(encodePool.service); };
    REQUIRE(host.ask("c", 1).granted);
    CHECK(counts().held == 0);
    host.admission.release(&host, 1);
    host.admission.release(&host, 1); // gives nothing back a second time
    CHECK(counts().held == 1);
    CHECK(counts().counts.redeemed == 0);
    REQUIRE(host.ask("c", 1).granted);
    host.admission.releaseAll(&host); // its link closes
    CHECK(counts().held == 1);
    REQUIRE(host.ask("c", 1).granted);
    host.admission.onPieceArrived(encodePool, "1", 0);
    host.admission.release(&host, 1); // a piece came, so the turn has been used
    CHECK(counts().held == 0);
    CHECK(counts().counts.redeemed == 1);
}

TEST_CASE("without both policies a refusal is that of the reservations alone")
{
    admission_harness host(FirstCome);
    host.waiting = 200;
    const auto refused = host.ask("c", 1);
    REQUIRE_FALSE(refused.granted);
    CHECK(refused.cause == refusal_cause::Late);
    CHECK_FALSE(refused.turnHeld);
    CHECK(host.admission.turns().at(encodePool.service).held == 0);
}

// Guards against a customer that pays with its share for requests that another pool refused.
TEST_CASE("what is released before its pieces arrived doesn't count as granted")
{
    admission_harness host({.customerShares = true, .retryTurns = false});
    std::uint32_t number = 0;
    const auto fill = [&](bool releases) {
        for (int i = 0; i < 200; ++i) {
            host.advance();
            host.waiting = 100; // a request can still begin in time
            const auto answer = host.ask("large", ++number);
            if (answer.granted && releases)
                host.admission.release(&host, number);
            else if (answer.granted)
                host.submit(number);
            host.waiting = 200;
            static_cast<void>(host.ask("small", ++number));
        }
        host.waiting = 100;
        return host.ask("large", ++number).cause;
    };
    CHECK(fill(true) == refusal_cause::None);
    CHECK(fill(false) == refusal_cause::OverShare);
}

TEST_CASE("a pool that gets no work grants everything and counts nothing")
{
    admission_harness host({});
    host.hasServers = false;
    host.waiting = 200;
    CHECK(host.ask("c", 1).granted);
    CHECK(host.decisions.empty());
}

// Guards against capacity that is held for pieces which went to another pool.
TEST_CASE("the places of a stage whose pieces went elsewhere are released, those of others kept")
{
    admission_harness host({});
    reservation_query query;
    query.id = 1;
    query.attempt = "1";
    query.customer = customer_id("c");
    query.stages = {{0, 3, 0, milliseconds{0}, milliseconds{900}},
                    {2, 1, 0, milliseconds{300}, milliseconds{1200}}};
    REQUIRE(host.admission.onQuery(&host, encodePool, query).granted);
    const auto held = [&] { return host.admission.counts()[encodePool.service].held; };
    host.admission.onPieceArrived(encodePool, "1", 0);
    host.admission.releaseStage(&host, 1, 0);
    CHECK(held() == 1);
    host.admission.releaseStage(&host, 1, 0);
    CHECK(held() == 1);
    host.admission.release(&host, 1);
    CHECK(held() == 0);
}

// Guards against a wait of 0 that no pool measured, and places that are reserved without servers.
TEST_CASE("a host says that it can't decide for a pool that gets no work, and reserves nothing")
{
    admission_harness host({});
    host.hasServers = false;
    CHECK_FALSE(host.ask("c", 1).decided);
    CHECK(host.admission.counts()[encodePool.service].held == 0);
    host.hasServers = true;
    CHECK(host.ask("c", 2).decided);
}
