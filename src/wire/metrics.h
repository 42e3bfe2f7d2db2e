#pragma once

#include "core/requests/engine_stats.h"
#include "core/requests/engine_types.h"
#include "wire/published_reader.h"

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>
#include <orchidlead/membership.h>
#include <orchidlead/outcome.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::wire {

/// How one request ended.
struct request_observation
{
    pipeline_id pipeline;
    customer_id customer;
    orchidlead::outcome outcome = outcome::NotRun;
    refusal_reason reason = refusal_reason::None;
    bool attained = false; ///< the whole answer was there within the deadline
    milliseconds elapsed{0};
    std::vector<stage_report> stages;
};

/// What the node is like now.
struct node_gauges
{
    bool ready = false;
    std::uint64_t openRequests = 0;
    std::uint64_t connections = 0;
    std::uint64_t heldBytes = 0; ///< inputs and stages' outputs of all open requests
    std::uint64_t configurationVersion = 0;
    std::uint64_t configurationHeard = 0; ///< highest version heard of
    std::array<std::uint64_t, enumNames<member_state>.size()> members{}; ///< by `member_state`
};

/// The ways on which nodes talk to each other.
enum class control_channel { Gossip, PeerRpc };

/// Traffic of one channel since the start.
struct control_totals
{
    std::uint64_t messagesOut = 0;
    std::uint64_t messagesIn = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t bytesIn = 0;
};

/// What the platform publishes, as read by this node.
enum class published_kind { Configuration, VmList };

/// Bounds on labels: beyond them, everything is counted under "other".
struct metrics_options
{
    std::size_t maxPipelines = 64;
    std::size_t maxStages = 512; ///< pairs of pipeline and stage
    std::size_t maxServices = 64;
    std::size_t maxCustomers = 20; ///< that get metrics of their own
};

/// Everything that `/metrics` shows. Counters never go back.
class metrics
{
public:
    explicit metrics(const metrics_options &options = {});
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    void observe(const request_observation &request);
    void observe(const log_decision &decision);

    /// These take what was counted elsewhere; to be called before `text`.
    void update(const engine_stats &stats);
    void update(const node_gauges &gauges);
    void update(control_channel channel, const control_totals &totals);
    void update(published_kind kind, const read_counts &counts);
    void updateDroppedLogLines(std::uint64_t total);

    /// Writes the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    struct families;
    std::unique_ptr<families> m_families;
};

} // namespace orchidlead::wire

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::wire::control_channel>{
    orchidlead::enum_name<orchidlead::wire::control_channel>{
        orchidlead::wire::control_channel::Gossip, "gossip"},
    orchidlead::enum_name<orchidlead::wire::control_channel>{
        orchidlead::wire::control_channel::PeerRpc, "peer_rpc"},
};

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::wire::published_kind>{
    orchidlead::enum_name<orchidlead::wire::published_kind>{
        orchidlead::wire::published_kind::Configuration, "configuration"},
    orchidlead::enum_name<orchidlead::wire::published_kind>{
        orchidlead::wire::published_kind::VmList, "vm_list"},
};
