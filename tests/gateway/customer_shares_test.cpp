#include "gateway/admission/customer_shares.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

constexpr stage_rank Urgent{0, 0};
constexpr stage_rank LessUrgent{5, 0};
constexpr pool_time Cost{0.01};

/// What a customer requests and is granted, as pool time per second.
struct customer_use
{
    std::string customer;
    double requested = 0;
    double granted = 0;
};

/// Records constant use for long enough that estimates converge, with refusals of the rank.
void record(customer_shares &shares, manual_clock &clock, const std::vector<customer_use> &uses)
{
    constexpr milliseconds Step{10};
    const double seconds = std::chrono::duration<double>(Step).count();
    for (milliseconds passed{0}; passed < std::chrono::seconds{5}; passed += Step) {
        clock.advance(Step);
        for (const auto &each : uses) {
            const customer_id customer(each.customer);
            shares.onRequested(customer, Urgent, pool_time{each.requested * seconds});
            shares.onGranted(customer, Urgent, pool_time{each.granted * seconds});
        }
        shares.onRefused(Urgent);
    }
}

} // namespace

TEST_CASE("shares are max-min fair for the demands of the customers")
{
    manual_clock clock;
    customer_shares shares(clock);
    // The demand of "small" is met; the other two share the remaining 0.8.
    record(shares, clock, {{"small", 0.2, 0.2}, {"large", 3.0, 0.6}, {"medium", 0.5, 0.2}});
    CHECK(shares.shareOf(customer_id("large"), Urgent) == Approx(0.4).epsilon(0.05));
    CHECK_FALSE(shares.isOverShare(customer_id("small"), Urgent));
    CHECK_FALSE(shares.isOverShare(customer_id("medium"), Urgent));
    CHECK(shares.isOverShare(customer_id("large"), Urgent));
    const auto time = shares.timeOverShare(customer_id("large"), Urgent);
    CHECK(time.count() == Approx(0.405).epsilon(0.1)); // ln(0.6 / 0.4)
}

TEST_CASE("shares are multiplied by the weights of the customers")
{
    manual_clock clock;
    customer_shares shares(
        clock, [](const customer_id &customer) { return customer.value == "heavy" ? 3.0 : 1.0; });
    record(shares, clock, {{"heavy", 2.0, 0.6}, {"light", 2.0, 0.4}});
    CHECK(shares.shareOf(customer_id("heavy"), Urgent) == Approx(0.75).epsilon(0.05));
    CHECK_FALSE(shares.isOverShare(customer_id("heavy"), Urgent));
    CHECK(shares.isOverShare(customer_id("light"), Urgent));
}

TEST_CASE("a single customer is never over its share")
{
    manual_clock clock;
    customer_shares shares(clock);
    record(shares, clock, {{"only", 3.0, 1.0}});
    CHECK_FALSE(shares.isOverShare(customer_id("only"), Urgent));
}

TEST_CASE("shares are not enforced a second after the last refusal, nor in other ranks")
{
    manual_clock clock;
    customer_shares shares(clock);
    record(shares, clock, {{"large", 3.0, 0.8}, {"small", 0.5, 0.2}});
    shares.onGranted(customer_id("large"), LessUrgent, Cost);
    CHECK(shares.isOverShare(customer_id("large"), Urgent));
    CHECK_FALSE(shares.isOverShare(customer_id("large"), LessUrgent));
    clock.advance(milliseconds{1010});
    CHECK_FALSE(shares.isOverShare(customer_id("large"), Urgent));
}

TEST_CASE("released grants are not counted as granted")
{
    manual_clock clock;
    customer_shares shares(clock);
    record(shares, clock, {{"large", 3.0, 0.6}, {"small", 0.5, 0.4}});
    CHECK(shares.isOverShare(customer_id("large"), Urgent));
    shares.onReleased(customer_id("large"), Urgent, pool_time{0.3});
    clock.advance(milliseconds{60}); // the share is computed again
    CHECK_FALSE(shares.isOverShare(customer_id("large"), Urgent));
}

TEST_CASE("the number of customers is bounded, and the least recent are removed first")
{
    manual_clock clock;
    customer_shares shares(clock);
    constexpr std::size_t Count = customer_shares::MaxCustomers + 500;
    for (std::size_t i = 0; i < Count; ++i)
        shares.onGranted(customer_id("c" + std::to_string(i)), Urgent, Cost);
    CHECK(shares.size() == customer_shares::MaxCustomers);
    const auto granted = shares.grantedByCustomer();
    CHECK_FALSE(granted.contains(customer_id("c499")));
    CHECK(granted.contains(customer_id("c500")));
}
