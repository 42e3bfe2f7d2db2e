#pragma once

#include <cstddef>

/// Measures the parts of one node whose cost hangs on the published sizes instead of the fleet.
namespace orchidlead::bench {

/// What one published configuration costs a node.
struct configuration_cost
{
    double contentBytes = 0;
    double parseSeconds = 0; ///< processor time
    double heldBytes = 0; ///< of the parsed configuration, text excluded
    double peakBytes = 0; ///< while parsing, above what was there before
};

/// `shared`: customers with the same settings stand in one entry; otherwise each has its own.
[[nodiscard]] configuration_cost measureConfiguration(std::size_t customers, bool shared);

/// What routing costs at one size of a pool.
struct routing_cost
{
    double pickSeconds = 0; ///< processor time of a decision with its bookkeeping
    double poolBytes = 0;
};

[[nodiscard]] routing_cost measureRouting(std::size_t servers);

/// What remembering calls that may not be repeated costs.
struct record_cost
{
    double recordBytes = 0; ///< of all records, answers of 200 bytes included
    double ticketBytes = 0; ///< of the ledger
    double addSeconds = 0; ///< processor time, all records with their tickets
};

[[nodiscard]] record_cost measureRecords(std::size_t records);

/// What the leases of the key homes of one data centre cost a node.
struct lease_cost
{
    double messagesPerSecond = 0; ///< a node, sent and received
    double bytesPerSecond = 0; ///< a node, sent and received, with IP and UDP headers
    double processorShare = 0; ///< of a core
};

[[nodiscard]] lease_cost measureLeases(std::size_t nodesInDataCenter);

} // namespace orchidlead::bench
