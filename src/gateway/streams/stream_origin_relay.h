#pragma once

#include "gateway/peers/peer_network.h"
#include "gateway/publication/published_state.h"
#include "gateway/streams/stream_origin_table.h"

#include <orchidlead/enum_names.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace orchidlead::gateway {

/// How a node found out at which version a stream began.
enum class origin_source : std::uint8_t {
    Own, ///< the node itself keeps the record
    Peer, ///< another node keeps it
    OnlyVersion, ///< no other version has served as far as the nodes asked know
    Unknown, ///< several versions have served, and no node that answered keeps the record
};

/// The result of a lookup; without an origin the source is `Unknown`.
struct origin_lookup
{
    std::optional<stream_origin> origin;
    origin_source source = origin_source::Unknown;
    std::size_t asked = 0; ///< number of nodes that were asked
    std::size_t answered = 0; ///< of these
};

/// Finds out, on any node, which software version began a stream.
///
/// The node that receives the first event of a stream keeps the record. While servers of several
/// versions serve, it also sends the record to a few nodes drawn from the stream's identifier, so
/// that the record outlives the node. A node that continues a stream of another node asks these
/// nodes. While all servers of a service have one version, nothing is sent.
class stream_origin_relay
{
public:
    using lookup_handler = std::function<void(const origin_lookup &)>;

    stream_origin_relay(http::io_loop &loop, peer_network &peers, const server_directory &directory,
                        const published_state &published);

    /// Records where a stream through this node began.
    void onStreamBegan(const stream_origin_record &record);
    /// Looks up where a stream began. `maxAge` is the longest time for which it may have existed.
    /// Calls `handler` once, possibly before this function returns.
    void find(const request_digest &stream, const service_id &service, milliseconds maxAge,
              lookup_handler handler);

    /// Sends the records of a service of which a second version has appeared.
    void onServersChanged(const service_id &service);
    /// Removes expired records; call about every 100 ms.
    void tick();
    /// Handles frames about origins of streams; other frames are ignored.
    void onFrame(const std::shared_ptr<peer_link> &link, const peer_frame &frame);
    void onLinkClosed(const std::shared_ptr<peer_link> &link);

    [[nodiscard]] std::size_t records() const { return m_table.size(); }

private:
    using link_ptr = std::shared_ptr<peer_link>;

    struct pending_lookup
    {
        service_id service;
        lookup_handler handler;
        std::vector<link_ptr> unanswered;
        std::size_t asked = 0;
        std::size_t answered = 0;
        bool severalVersions = false; ///< as far as this node and those that answered know
        http::timer_id timer = 0;
    };

    [[nodiscard]] bool hasSeveralVersions(const service_id &service) const;
    [[nodiscard]] stream_origin_answer answerTo(const stream_origin_query &query) const;
    void share(const std::vector<stream_origin_record> &records);
    void onAnswer(const link_ptr &link, const stream_origin_answer &answer);
    /// Ends a lookup without a record.
    void giveUp(std::uint64_t id);
    void complete(std::uint64_t id, origin_lookup found);

    http::io_loop &m_loop;
    peer_network &m_peers;
    const server_directory &m_directory;
    const published_state &m_published;
    stream_origin_table m_table;
    std::vector<request_digest> m_unshared; ///< streams of this node whose records were not sent
    std::unordered_map<std::uint64_t, pending_lookup> m_pending;
    std::uint64_t m_lastLookup = 0;
    std::optional<steady_time> m_listKnownSince;
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::origin_source>{
    orchidlead::enum_name<orchidlead::gateway::origin_source>{
        orchidlead::gateway::origin_source::Own, "own"},
    orchidlead::enum_name<orchidlead::gateway::origin_source>{
        orchidlead::gateway::origin_source::Peer, "peer"},
    orchidlead::enum_name<orchidlead::gateway::origin_source>{
        orchidlead::gateway::origin_source::OnlyVersion, "only_version"},
    orchidlead::enum_name<orchidlead::gateway::origin_source>{
        orchidlead::gateway::origin_source::Unknown, "unknown"},
};
