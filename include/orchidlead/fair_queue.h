#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace orchidlead {

/// Position of an item in the queue. Also the handle for removing it.
struct queue_position
{
    std::uint32_t lane = 0; ///< 0 has the highest priority
    /// Work was already done for the item's request. Such items go before the customer's new items.
    bool inProgress = false;
    customer_id customer;
    steady_time latestStart; ///< orders the items of a customer
    std::uint64_t sequence = 0; ///< assigned by the queue
};

/// Priority queue with weighted fair sharing between customers.
///
/// Items are ordered by lane, then by the fair share of their customers, then the items in progress
/// of a customer before its new items, then by least slack. Each lower lane is served at least once
/// in `LowLaneInterval` items, so that it cannot starve.
///
/// Start-time fair queueing: an item's cost advances its customer's tag, and the customer with the
/// lowest tag is next. The state of a customer without items is removed when the virtual time has
/// reached its finish tag.
template <class Item>
class fair_queue
{
public:
    static constexpr std::uint32_t Lanes = 3;
    static constexpr std::uint32_t LowLaneInterval = 8;

    /// Adds an item. All costs are in the same unit, which the caller chooses.
    queue_position push(Item item, queue_position position, double cost = 1.0);

    /// Removes and returns the next item.
    [[nodiscard]] std::optional<Item> pop();

    /// Removes an item. Returns false if it is not in the queue.
    bool remove(const queue_position &position);

    /// Removes and returns the new item with the most slack of the customer with the most items, in
    /// the lowest-priority lane that is not empty and not above `lane`. Returns nothing if that
    /// customer has no new items. In `lane` itself, it must also have at least two items more than
    /// `customer`.
    [[nodiscard]] std::optional<Item> evictFor(std::uint32_t lane, const customer_id &customer);

    [[nodiscard]] std::size_t size() const { return m_size; }
    [[nodiscard]] bool empty() const { return m_size == 0; }

    /// Estimates how many items of the lane would go before a new one of `customer`, if that
    /// customer had `customerExpected` and all customers together `expected` more items in the
    /// queue.
    [[nodiscard]] std::size_t ahead(std::uint32_t lane, const customer_id &customer,
                                    std::size_t customerExpected = 0,
                                    std::size_t expected = 0) const;

private:
    /// Orders the items of one customer.
    struct slack_key
    {
        bool isNew = true; ///< items in progress go first
        steady_time latestStart;
        std::uint64_t sequence = 0;

        friend bool operator<(const slack_key &a, const slack_key &b)
        {
            return std::tie(a.isNew, a.latestStart, a.sequence)
                < std::tie(b.isNew, b.latestStart, b.sequence);
        }
    };

    static slack_key keyOf(const queue_position &position)
    {
        return {!position.inProgress, position.latestStart, position.sequence};
    }

    struct queued_item
    {
        Item item;
        double cost = 1.0;
    };

    struct customer_queue
    {
        customer_id customer;
        std::uint64_t index = 0; ///< breaks ties deterministically
        double start = 0.0;
        double finish = 0.0;
        std::map<slack_key, queued_item> items;
    };

    struct tagged_customer
    {
        double tag = 0.0;
        std::uint64_t index = 0;
        customer_queue *queue = nullptr;

        friend bool operator<(const tagged_customer &a, const tagged_customer &b)
        {
            return a.tag != b.tag ? a.tag < b.tag : a.index < b.index;
        }
    };

    struct lane_state
    {
        std::unordered_map<customer_id, customer_queue> customers;
        std::set<tagged_customer> active; ///< by start tag
        std::set<tagged_customer> activeByItemCount; ///< the active customers, by queued items
        std::set<tagged_customer> idle; ///< by finish tag
        std::size_t size = 0;
        double virtualTime = 0.0;
    };

    static tagged_customer byStart(customer_queue &queue)
    {
        return {queue.start, queue.index, &queue};
    }
    static tagged_customer byFinish(customer_queue &queue)
    {
        return {queue.finish, queue.index, &queue};
    }
    static tagged_customer byItemCount(customer_queue &queue)
    {
        return {static_cast<double>(queue.items.size()), queue.index, &queue};
    }

    customer_queue &customerQueue(lane_state &lane, const customer_id &customer);
    void activate(lane_state &lane, customer_queue &queue);
    void deactivate(lane_state &lane, customer_queue &queue);
    Item takeFirst(lane_state &lane, customer_queue &queue);
    Item popFrom(lane_state &lane);
    void removeIdleCustomers(lane_state &lane);
    [[nodiscard]] lane_state *nextLane();

    std::array<lane_state, Lanes> m_lanes;
    std::size_t m_size = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastCustomerIndex = 0;
    std::uint64_t m_popCount = 0;
};

/// Baseline: first in, first out, regardless of priority, slack and customer.
template <class Item>
class fifo_queue
{
public:
    queue_position push(Item item, queue_position position, double = 1.0)
    {
        position.sequence = ++m_sequence;
        m_items.emplace(position.sequence, std::move(item));
        return position;
    }

    [[nodiscard]] std::optional<Item> pop()
    {
        if (m_items.empty())
            return std::nullopt;
        std::optional<Item> first{std::move(m_items.begin()->second)};
        m_items.erase(m_items.begin());
        return first;
    }

    bool remove(const queue_position &position) { return m_items.erase(position.sequence) > 0; }
    [[nodiscard]] std::optional<Item> evictFor(std::uint32_t, const customer_id &)
    {
        return std::nullopt;
    }
    [[nodiscard]] std::size_t size() const { return m_items.size(); }
    [[nodiscard]] bool empty() const { return m_items.empty(); }
    [[nodiscard]] std::size_t ahead(std::uint32_t, const customer_id &, std::size_t = 0,
                                    std::size_t expected = 0) const
    {
        return m_items.size() + expected;
    }

private:
    std::map<std::uint64_t, Item> m_items;
    std::uint64_t m_sequence = 0;
};

template <class Item>
auto fair_queue<Item>::customerQueue(lane_state &lane, const customer_id &customer)
    -> customer_queue &
{
    const auto [it, isNew] = lane.customers.try_emplace(customer);
    if (isNew) {
        it->second.customer = customer;
        it->second.index = ++m_lastCustomerIndex;
    }
    return it->second;
}

template <class Item>
void fair_queue<Item>::activate(lane_state &lane, customer_queue &queue)
{
    queue.start = std::max(lane.virtualTime, queue.finish);
    lane.active.insert(byStart(queue));
}

template <class Item>
void fair_queue<Item>::deactivate(lane_state &lane, customer_queue &queue)
{
    lane.idle.insert(byFinish(queue));
    removeIdleCustomers(lane);
}

template <class Item>
queue_position fair_queue<Item>::push(Item item, queue_position position, double cost)
{
    position.lane = std::min(position.lane, Lanes - 1);
    position.sequence = ++m_sequence;
    lane_state &lane = m_lanes[position.lane];
    const slack_key key = keyOf(position);
    ++lane.size;
    ++m_size;
    customer_queue &queue = customerQueue(lane, position.customer);
    if (queue.items.empty()) {
        lane.idle.erase(byFinish(queue));
        activate(lane, queue);
    }
    lane.activeByItemCount.erase(byItemCount(queue));
    queue.items.emplace(key, queued_item{std::move(item), cost});
    lane.activeByItemCount.insert(byItemCount(queue));
    return position;
}

template <class Item>
auto fair_queue<Item>::nextLane() -> lane_state *
{
    ++m_popCount;
    // Each lower lane has its own turn in the interval.
    const std::uint64_t turn = m_popCount % LowLaneInterval;
    if (turn == 0 && m_lanes[2].size > 0)
        return &m_lanes[2];
    if (turn == LowLaneInterval / 2 && m_lanes[1].size > 0)
        return &m_lanes[1];
    for (lane_state &lane : m_lanes) {
        if (lane.size > 0)
            return &lane;
    }
    return nullptr;
}

template <class Item>
std::optional<Item> fair_queue<Item>::pop()
{
    lane_state *lane = nextLane();
    if (lane == nullptr)
        return std::nullopt;
    --lane->size;
    --m_size;
    return popFrom(*lane);
}

template <class Item>
Item fair_queue<Item>::popFrom(lane_state &lane)
{
    customer_queue &queue = *lane.active.begin()->queue;
    lane.active.erase(lane.active.begin());
    lane.virtualTime = queue.start;
    lane.activeByItemCount.erase(byItemCount(queue));
    Item item = takeFirst(lane, queue);
    if (queue.items.empty()) {
        deactivate(lane, queue);
        return item;
    }
    lane.activeByItemCount.insert(byItemCount(queue));
    activate(lane, queue);
    return item;
}

template <class Item>
Item fair_queue<Item>::takeFirst(lane_state &, customer_queue &queue)
{
    const auto first = queue.items.begin();
    queue.finish = queue.start + first->second.cost;
    Item item = std::move(first->second.item);
    queue.items.erase(first);
    return item;
}

template <class Item>
bool fair_queue<Item>::remove(const queue_position &position)
{
    lane_state &lane = m_lanes[std::min(position.lane, Lanes - 1)];
    const slack_key key = keyOf(position);
    const auto it = lane.customers.find(position.customer);
    if (it == lane.customers.end() || it->second.items.count(key) == 0)
        return false;
    customer_queue &queue = it->second;
    lane.activeByItemCount.erase(byItemCount(queue));
    queue.items.erase(key);
    --lane.size;
    --m_size;
    if (!queue.items.empty()) {
        lane.activeByItemCount.insert(byItemCount(queue));
        return true;
    }
    lane.active.erase(byStart(queue));
    deactivate(lane, queue);
    return true;
}

template <class Item>
std::optional<Item> fair_queue<Item>::evictFor(std::uint32_t laneNumber,
                                               const customer_id &customer)
{
    laneNumber = std::min(laneNumber, Lanes - 1);
    for (std::uint32_t number = Lanes; number-- > laneNumber;) {
        lane_state &lane = m_lanes[number];
        if (lane.activeByItemCount.empty())
            continue;
        customer_queue &largest = *lane.activeByItemCount.rbegin()->queue;
        const auto own = lane.customers.find(customer);
        const std::size_t ownItems = own == lane.customers.end() ? 0 : own->second.items.size();
        const bool sameLane = number == laneNumber;
        if (sameLane && largest.items.size() <= ownItems + 1)
            return std::nullopt;
        const auto last = std::prev(largest.items.end());
        if (!last->first.isNew)
            return std::nullopt;
        queue_position position{number, false, largest.customer, last->first.latestStart,
                                last->first.sequence};
        std::optional<Item> item{std::move(last->second.item)};
        remove(position);
        return item;
    }
    return std::nullopt;
}

// A new item waits for all items of its own customer. With fair sharing, at most as many items of
// each other customer go before it.
template <class Item>
std::size_t fair_queue<Item>::ahead(std::uint32_t laneNumber, const customer_id &customer,
                                    std::size_t customerExpected, std::size_t expected) const
{
    const lane_state &lane = m_lanes[std::min(laneNumber, Lanes - 1)];
    const auto own = lane.customers.find(customer);
    const std::size_t ownItems = own == lane.customers.end() ? 0 : own->second.items.size();
    const std::size_t isNew = ownItems == 0 ? 1 : 0;
    const std::size_t fairShare =
        (ownItems + customerExpected + 1) * (lane.active.size() + isNew) - 1;
    return std::min(lane.size + expected, fairShare);
}

template <class Item>
void fair_queue<Item>::removeIdleCustomers(lane_state &lane)
{
    while (!lane.idle.empty()) {
        const tagged_customer oldest = *lane.idle.begin();
        const bool caughtUp = lane.active.empty() || oldest.tag <= lane.virtualTime;
        if (!caughtUp)
            return;
        lane.idle.erase(lane.idle.begin());
        lane.customers.erase(customer_id{oldest.queue->customer});
    }
}

} // namespace orchidlead
