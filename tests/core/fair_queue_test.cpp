#include <orchidlead/fair_queue.h>

#include <catch2/catch.hpp>

using namespace orchidlead;

namespace {

queue_position positionOf(std::uint32_t lane, const std::string &customer, int slackMs,
                          bool inProgress = false)
{
    const steady_time start{std::chrono::hours{1}};
    return {lane, inProgress, customer_id{customer}, start + milliseconds{slackMs}, 0};
}

} // namespace

TEST_CASE("a customer with one item waits for only one item of a customer with many")
{
    fair_queue<int> queue;
    for (int item = 0; item < 100; ++item)
        queue.push(item, positionOf(0, "large", 10));
    queue.push(1000, positionOf(0, "small", 500));
    CHECK(queue.ahead(0, customer_id{"small"}) <= 3);
    (void)queue.pop();
    CHECK(queue.pop() == 1000);
}

TEST_CASE("a customer with twice the weight gets twice the share")
{
    fair_queue<int> queue;
    for (int item = 0; item < 60; ++item) {
        queue.push(1, positionOf(0, "single", 10), 1.0);
        queue.push(2, positionOf(0, "double", 10), 0.5);
    }
    int twos = 0;
    for (int pops = 0; pops < 60; ++pops)
        twos += queue.pop() == 2 ? 1 : 0;
    CHECK(twos >= 38);
    CHECK(twos <= 42);
}

TEST_CASE("higher lanes go first and lower lanes do not starve")
{
    fair_queue<int> queue;
    queue.push(-1, positionOf(2, "late", 10));
    queue.push(-2, positionOf(1, "late", 10));
    int lowAt = 0;
    int normalAt = 0;
    for (int pops = 1; pops <= 100; ++pops) {
        queue.push(pops, positionOf(0, "first", 10));
        const auto item = queue.pop();
        lowAt = item == -1 ? pops : lowAt;
        normalAt = item == -2 ? pops : normalAt;
    }
    CAPTURE(lowAt, normalAt);
    CHECK(normalAt > 1);
    CHECK(normalAt > 0);
    CHECK(lowAt > 0);
    CHECK(lowAt <= 8);
    CHECK(normalAt <= 8);
}

TEST_CASE("a customer's items in progress go first and then those with the least slack")
{
    fair_queue<int> queue;
    queue.push(1, positionOf(0, "a", 1));
    queue.push(2, positionOf(0, "a", 900, true));
    queue.push(3, positionOf(0, "a", 500, true));
    queue.push(4, positionOf(0, "a", 0));
    CHECK(queue.pop() == 3);
    CHECK(queue.pop() == 2);
    CHECK(queue.pop() == 4);
    CHECK(queue.pop() == 1);
    CHECK_FALSE(queue.pop().has_value());
}

TEST_CASE("items in progress of one customer do not delay those of another")
{
    fair_queue<int> queue;
    for (int item = 0; item < 100; ++item)
        queue.push(item, positionOf(0, "large", 10, true));
    queue.push(1000, positionOf(0, "small", 500, true));
    (void)queue.pop();
    CHECK(queue.pop() == 1000);
}

TEST_CASE("eviction takes a new item of the customer with the most items and never one in progress")
{
    fair_queue<int> queue;
    queue.push(7, positionOf(0, "large", 1, true));
    for (int item = 0; item < 10; ++item)
        queue.push(item, positionOf(0, "large", 100 * item));
    CHECK(queue.evictFor(0, customer_id{"small"}) == 9);
    CHECK_FALSE(queue.evictFor(0, customer_id{"large"}).has_value());
    CHECK(queue.size() == 10);
}

TEST_CASE("a removed item is not returned again")
{
    fair_queue<int> queue;
    const queue_position first = queue.push(1, positionOf(0, "a", 10));
    const queue_position inProgress = queue.push(2, positionOf(0, "a", 10, true));
    queue.push(3, positionOf(0, "a", 20));
    CHECK(queue.remove(first));
    CHECK_FALSE(queue.remove(first));
    CHECK(queue.remove(inProgress));
    CHECK(queue.pop() == 3);
    CHECK(queue.empty());
}
