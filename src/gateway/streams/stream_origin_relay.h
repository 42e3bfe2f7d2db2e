#pragma once

#include "gateway/peers/peer_network.h"
#include "gateway/publication/published_state.h"
#include "gateway/publication/store_history.h"
#include "gateway/streams/stream_origin_table.h"

#include <orchidlead/enum_names.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace orchidlead::gateway {

/// How a node found out at which version a stream began.
enum class origin_source : std::uint8_t {
    Own, ///< the node itself keeps the record
    Server, ///< a server reported that it was running the stream
    Peer, ///< another node keeps the record
    OnlyVersion, ///< no other version can have served while the stream existed
    Computed, ///< by the versions that served at that time; no node that answered keeps a record
    Unknown, ///< no node keeps the record, and the version can't be computed with certainty
};

/// The result of a lookup; without an origin the source is `Unknown`.
struct origin_lookup
{
    std::optional<stream_origin> origin;
    origin_source source = origin_source::Unknown;
    std::size_t asked = 0; ///< number of nodes that were asked
    std::size_t answered = 0; ///< of these
    bool confirmed = false; ///< the list of servers was confirmed after the request
    std::uint64_t listRevision = 0; ///< store revision up to which this node knows all changes
};

/// Finds out, on any node, which software version began a stream.
///
/// The node that receives the first event of a stream keeps the record. While servers of several
/// versions serve, it also sends the record to a few nodes drawn from the stream's identifier, so
/// that the record outlives the node. A node that continues a stream of another node asks these
/// nodes. While all servers of a service have one version, only nodes that have just started send
/// records.
///
/// Records end with the nodes. A server goes on with a stream for some time if its node loses
/// power, so a node that has started asks the servers what they are running; that is as certain as
/// a record.
///
/// What neither shows is computed. The version on which a stream begins is a function of the
/// stream and of the published servers (`version_history`). A node without a record computes it
/// again. It is certain if it was the same for all lists that were published while the stream may
/// have begun. A node that has just started learns these lists from other nodes, or from the
/// history of the store.
///
/// The stream may have begun a moment before its client continues it, on a server that this node
/// doesn't know yet, however recent its list is. So a computed version counts only if the list was
/// confirmed after the request arrived (`list_confirmer`). What another node has computed counts
/// only if its list has all that the confirmed list shows.
class stream_origin_relay
{
public:
    using lookup_handler = std::function<void(const origin_lookup &)>;
    using history_handler = std::function<void(std::optional<store_history>)>;
    /// Reads the history of the store; the handler gets nothing if it could not be read.
    using history_reader = std::function<void(history_handler)>;
    /// Confirms that the list of servers includes everything that was published before the call;
    /// the handler gets whether it does.
    using list_confirmation = std::function<void(std::function<void(bool)>)>;

    stream_origin_relay(http::io_loop &loop, peer_network &peers, const server_directory &directory,
                        published_state &published);

    /// Sets how the history of the store is read, how long the store keeps it, and how much later
    /// than the store a node may have a list.
    void setHistory(history_reader reader, milliseconds keptFor, milliseconds listDelay);
    /// Sets how the list of servers is confirmed, and the function that returns the store revision
    /// up to which this node knows all changes.
    void setList(list_confirmation confirm, std::function<std::uint64_t()> revision);
    /// Returns the version on which a new stream must begin; empty if no server is ready.
    [[nodiscard]] std::optional<software_version> versionForNew(const request_digest &stream,
                                                                const service_id &service) const;
    /// Asks for a confirmation of the list of servers; `done` gets whether it succeeded.
    void confirmList(std::function<void(bool)> done);
    /// Calls `begin` when a new stream may begin: at once or, if the list of servers may be old,
    /// after it was confirmed or could not be.
    void beginNew(std::function<void()> begin);
    /// Records where a stream through this node began.
    void onStreamBegan(const stream_origin_record &record);
    /// Begins to collect what servers report; lookups wait until `endReports`.
    void beginReports() { m_readsReports = true; }
    /// Records that a server was running an attempt and had made events for it.
    void onRunReported(std::string_view attempt, const stream_origin &origin);
    void endReports();
    /// Looks up where a stream began. `maxAge` is the longest time for which it may have existed.
    /// Without a stream the result has an origin only if there was no choice of versions. Calls
    /// `handler` once, possibly before this function returns.
    void find(const std::optional<stream_name> &stream, const service_id &service,
              milliseconds maxAge, lookup_handler handler);

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

    /// What a node knows of the version of a stream without a record.
    struct computed_version
    {
        bool covered = false; ///< all versions since the stream may have begun are known
        bool isOnly = false; ///< there was no other one
        std::optional<software_version> version; ///< empty: not certain
    };
    /// What a node that knows all versions since a stream may have begun has computed.
    struct covering_answer
    {
        std::uint64_t revision = 0; ///< of its list
        std::optional<software_version> version; ///< empty: not certain
    };
    struct pending_lookup
    {
        std::optional<stream_name> stream; ///< empty: the client does not name it
        service_id service;
        steady_time askedAt;
        milliseconds maxAge{0}; ///< at `askedAt`; includes the delay of lists
        lookup_handler handler;
        std::vector<link_ptr> unanswered;
        std::size_t candidates = 0; ///< nodes that may keep the record
        std::size_t asked = 0;
        std::size_t answered = 0;
        bool peersDone = false; ///< all have answered, or too late
        std::optional<bool> confirmed; ///< empty: the list is being confirmed
        std::optional<stream_origin> found; ///< a record, of a version without a known server
        origin_source foundBy = origin_source::Peer;
        std::vector<covering_answer> covering;
        bool severalVersions = false; ///< as far as the nodes that answered know
        std::uint64_t latestChange = 0; ///< revision of the last change of ready servers they know
        bool inContact = false; ///< the store has answered one of them a moment ago
        http::timer_id timer = 0;

        [[nodiscard]] steady_time earliestBegin() const { return askedAt - maxAge; }
    };

    /// A lookup that waits for the reports of the servers.
    struct waiting_lookup
    {
        std::optional<stream_name> stream;
        service_id service;
        milliseconds maxAge{0};
        steady_time since; ///< time of the request
        lookup_handler handler;
    };

    [[nodiscard]] bool hasSeveralVersions(const service_id &service) const;
    /// Returns where a stream began according to a server that was running it.
    [[nodiscard]] std::optional<stream_origin> reportedOrigin(const request_digest &run) const;
    /// Returns the nodes that may keep a record of a stream or of its run.
    [[nodiscard]] std::vector<vm_id> candidatesFor(const std::optional<stream_name> &stream) const;
    /// Sends the nodes that keep records what servers reported, once these nodes are known.
    void shareReports();
    [[nodiscard]] stream_origin_answer answerTo(const stream_origin_query &query) const;
    /// Returns how long this node has run.
    [[nodiscard]] milliseconds age() const;
    /// Computes the version of a stream from the published servers that this node knows of.
    [[nodiscard]] computed_version compute(const request_digest &stream, const service_id &service,
                                           steady_time since) const;
    [[nodiscard]] computed_version compute(const pending_lookup &asked, steady_time since) const;
    /// Returns whether the list may lack what others have known for some time: this node had no
    /// contact with the store, own or relayed, or its process stood still.
    [[nodiscard]] bool mayListBeOld() const;
    /// Returns whether the store has answered this node, or its reader, a moment ago.
    [[nodiscard]] bool isInContact() const;
    [[nodiscard]] std::uint64_t listRevision() const;
    /// Returns whether no server of the service is younger than the stream may be.
    [[nodiscard]] bool hasNoYoungServer(const pending_lookup &asked) const;
    /// Returns whether another node's answer accounts for all changes that this node knows.
    [[nodiscard]] bool isComplete(const covering_answer &answer) const;
    /// Returns whether this node, with the nodes that have answered, knows all versions since the
    /// stream may have begun.
    [[nodiscard]] bool isCovered(const pending_lookup &asked) const;
    /// Returns the result of a lookup without a record.
    [[nodiscard]] origin_lookup conclude(const pending_lookup &asked) const;
    /// Returns the versions that this node and the covering nodes have computed; empty if one of
    /// them isn't certain or they know too little.
    [[nodiscard]] std::set<software_version> computedVersions(const pending_lookup &asked) const;
    void onListConfirmed(std::uint64_t id, bool confirmed);
    /// Ends a lookup if enough is known.
    void proceed(std::uint64_t id);
    void readHistory();
    /// Adds the versions of a history that was read at these times.
    void addHistory(const store_history &history, steady_time readAt, wall_time readAtWall);
    void share(const std::vector<stream_origin_record> &records);
    void onAnswer(const link_ptr &link, const stream_origin_answer &answer);
    /// Records that no peer answers any more.
    void onPeersDone(std::uint64_t id);
    void complete(std::uint64_t id, origin_lookup found);

    http::io_loop &m_loop;
    peer_network &m_peers;
    const server_directory &m_directory;
    published_state &m_published;
    steady_time m_startedAt;
    stream_origin_table m_table;
    stream_origin_table m_runs; ///< reported by servers
    std::vector<request_digest> m_unshared; ///< streams of this node whose records were not sent
    std::set<request_digest> m_conflictingRuns; ///< reported at several versions
    std::vector<request_digest> m_unsharedRuns;
    std::optional<steady_time> m_shareRunsAt;
    bool m_readsReports = false;
    std::vector<waiting_lookup> m_awaitingReports;
    std::unordered_map<std::uint64_t, pending_lookup> m_pending;
    std::uint64_t m_lastLookup = 0;
    list_confirmation m_confirmList;
    steady_time m_lastTickAt;
    std::optional<steady_time> m_stoodStillAt; ///< the process, until the list is confirmed
    steady_time m_nextConfirmation{}; ///< for a new stream, after one that failed
    std::function<std::uint64_t()> m_listRevision;
    history_reader m_readHistory;
    milliseconds m_historyKeptFor{0};
    milliseconds m_listDelay{0};
    bool m_historyDropped = false; ///< as of the last reading
    std::vector<std::uint64_t> m_awaitingHistory; ///< lookups, while the history is being read
    steady_time m_nextHistoryRead{};
    std::size_t m_historyRereads = 0;
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::origin_source>{
    orchidlead::enum_name<orchidlead::gateway::origin_source>{
        orchidlead::gateway::origin_source::Own, "own"},
    orchidlead::enum_name<orchidlead::gateway::origin_source>{
        orchidlead::gateway::origin_source::Server, "server"},
    orchidlead::enum_name<orchidlead::gateway::origin_source>{
        orchidlead::gateway::origin_source::Peer, "peer"},
    orchidlead::enum_name<orchidlead::gateway::origin_source>{
        orchidlead::gateway::origin_source::OnlyVersion, "only_version"},
    orchidlead::enum_name<orchidlead::gateway::origin_source>{
        orchidlead::gateway::origin_source::Computed, "computed"},
    orchidlead::enum_name<orchidlead::gateway::origin_source>{
        orchidlead::gateway::origin_source::Unknown, "unknown"},
};
