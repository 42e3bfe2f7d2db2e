#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/key_home.h>
#include <orchidlead/key_home_messages.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace orchidlead {

/// Sends the records of a leaving node's shards to their next homes, until each part is
/// acknowledged or no candidate is left.
class handover_sender
{
public:
    explicit handover_sender(const clock_source &clock);

    /// Starts to send `parts` to the first of `successors` that accepts them.
    void begin(std::size_t shard, std::vector<shard_handover> parts, std::vector<vm_id> successors);

    /// A handover that has ended; without a successor if no candidate accepted it.
    struct ended_handover
    {
        std::size_t shard = 0;
        std::optional<shard_successor> successor;
    };

    /// Sends the parts that are due. Returns the handovers that have no candidate left.
    std::vector<ended_handover> tick(std::vector<key_home_outgoing> &out);

    /// Processes a successor's reply. Returns the handover if the reply completes it.
    std::optional<ended_handover> onReply(const vm_id &from, const handover_reply &reply);

    [[nodiscard]] bool idle() const { return m_shards.empty(); }
    [[nodiscard]] bool sends(std::size_t shard) const { return m_shards.contains(shard); }

private:
    struct outgoing_handover
    {
        std::vector<shard_handover> parts;
        std::vector<bool> acknowledged;
        std::vector<vm_id> successors; // the first is the current candidate
        steady_time lastProgressAt;
        steady_time nextSendAt;
    };

    static void sendParts(const outgoing_handover &handover, std::vector<key_home_outgoing> &out);
    void tryNextSuccessor(outgoing_handover &handover);

    const clock_source &m_clock;
    std::map<std::size_t, outgoing_handover> m_shards;
};

} // namespace orchidlead
