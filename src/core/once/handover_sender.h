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
/// acknowledged or nobody is left to take them.
class handover_sender
{
public:
    explicit handover_sender(const clock_source &clock);

    /// Starts to send `parts`, to the first of `successors` that takes them.
    void begin(std::size_t shard, std::vector<shard_handover> parts, std::vector<vm_id> successors);

    /// A shard that no longer needs sending: taken by a successor, or by none.
    struct ended
    {
        std::size_t shard = 0;
        std::optional<successor_holder> successor;
    };

    /// Sends what is due; gives the shards that found no successor.
    std::vector<ended> tick(std::vector<key_home_outgoing> &out);

    /// Takes a successor's reply; gives the shard if that ends its handover.
    std::optional<ended> onReply(const vm_id &from, const handover_reply &reply);

    [[nodiscard]] bool idle() const { return m_shards.empty(); }
    [[nodiscard]] bool sends(std::size_t shard) const { return m_shards.contains(shard); }

private:
    struct outgoing
    {
        std::vector<shard_handover> parts;
        std::vector<bool> acknowledged;
        std::vector<vm_id> successors; // the first one is being tried
        steady_time triedSince;
        steady_time nextSend;
    };

    static void sendParts(const outgoing &handover, std::vector<key_home_outgoing> &out);
    void tryNext(outgoing &handover);

    const clock_source &m_clock;
    std::map<std::size_t, outgoing> m_shards;
};

} // namespace orchidlead
