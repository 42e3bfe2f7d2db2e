#pragma once

#include "gateway/codec.h"
#include "gateway/peers/admission_frames.h"
#include "gateway/peers/board_state_frame.h"
#include "gateway/peers/peer_process.h"
#include "gateway/peers/pool_load_frame.h"
#include "gateway/placement/placement_board.h"
#include "gateway/publication/evacuations.h"
#include "gateway/publication/list_digest.h"
#include "gateway/publication/text_compression.h"
#include "gateway/quarantine/request_digest.h"
#include "gateway/quarantine/request_quarantine.h"
#include "gateway/stages/stage_pool.h"
#include "gateway/streams/stream_origin.h"

#include <orchidlead/result.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Messages between gateways over TCP: typed frames and their MessagePack codec. Times are sent as
/// remaining or elapsed durations, since the clocks of machines differ.
namespace orchidlead::gateway {

/// Asks the receiver, which hosts the pool, to have a piece computed.
struct submit_piece_frame
{
    piece_token token = 0; ///< chosen by the sender
    pool_key pool;
    piece_request request;
    stage_rank rank;
    milliseconds softDeadlineLeft{0}; ///< time until the latency target; negative: target missed
    milliseconds deadlineLeft{0};
    data_center_id preferredDataCenter;
    std::uint64_t inputBytes = 0; ///< estimate
    std::uint64_t resultBytes = 0; ///< estimate
    bool mayBeRedirected = false; ///< the receiver may answer `piece_failure::Redirected`
    data_center_id redirectedFrom; ///< of the pool that redirected the piece; empty: none did
    peer_process submitter; ///< the sender
    bool mayBeHedged = false; ///< the receiver may have the piece computed twice
    std::optional<software_version> version; ///< as in `piece_task`
};

/// Cancels a piece that the sender no longer needs.
struct cancel_piece_frame
{
    piece_token token = 0;
};

/// Outcome of a piece that the receiver asked for.
struct piece_outcome_frame
{
    piece_token token = 0; ///< chosen by the receiver
    piece_report report;
};

/// Releases stage results that are no longer needed; the receiver hosts the stage pool of the
/// servers that hold them.
struct free_results_frame
{
    std::vector<std::string> handles;
};

/// Asks the receiver, which hosts the placement board of a service, to place a request on an
/// engine.
struct place_frame
{
    placement_id id = 0; ///< chosen by the sender
    placement_query query;
    /// Parts that the sender can report in a `board_state_frame`; 0 unless this is its first
    /// request to the receiver for the pool.
    std::uint32_t offeredParts = 0;
};

/// Answers a `place_frame`.
struct placed_frame
{
    placement_id id = 0; ///< chosen by the receiver
    backend_server_id server; ///< empty: no server was found
    milliseconds wait{0}; ///< as in `placement_result`
    bool allRateLimited = false;
    repeated_prefill repeated{}; ///< as in `placement_result`
    bool wantsParts = false; ///< the receiver is to send the `board_state_frame` that it offered
};

/// Reports the progress of a request that the receiver placed.
struct placement_progress_frame
{
    enum class event_type : std::uint8_t { FirstToken, Ended };
    placement_id id = 0; ///< chosen by the sender
    event_type kind = event_type::Ended;
    /// Signals of the answer that has just arrived, without those meant for its receiver alone.
    server_signals signals = NoSignals;
    /// As in `server_load`, if the answer reported it.
    std::optional<std::uint32_t> timePercent{};
    milliseconds timePercentAge{0}; ///< since the sender received `timePercent`
    /// The server refused the connection or broke off its answer.
    bool serverFailed = false;
};

/// Asks the receiver whether a request may start its stages.
struct admission_request
{
    placement_id id = 0; ///< chosen by the sender
    placement_query query; ///< without its prompt
};
struct admission_answer
{
    placement_id id = 0; ///< chosen by the receiver
    admission admissionDecision;
};

/// Reports the rate limits that servers stated in answers to the sender; the receiver hosts the
/// servers' pools.
struct rate_limits_frame
{
    struct server_rate_limit
    {
        server_start server;
        std::optional<double> perSecond; ///< empty: no limit any more
        milliseconds ago{0}; ///< since the server stated the limit
    };
    std::vector<server_rate_limit> limits;
};

/// Servers known to the sender that announced in an answer that they are leaving.
struct leaving_servers_frame
{
    std::vector<server_start> servers;
};

/// Servers that reported to the sender, or to a node that notified the sender, that they are
/// brittle.
struct brittle_servers_frame
{
    std::vector<brittle_server> servers;
};

/// Where streams began, for the receiver to keep.
struct stream_origin_frame
{
    std::vector<stream_origin_record> records;
};
/// Asks where a stream began.
struct stream_origin_query
{
    std::uint64_t id = 0; ///< chosen by the sender
    request_digest stream;
    service_id service; ///< service of the request that continues the stream
    milliseconds maxAge{0}; ///< longest time for which the stream may have existed
    request_digest run{}; ///< of the attempt that brought its first event
};
struct stream_origin_answer
{
    std::uint64_t id = 0; ///< chosen by the receiver
    std::optional<stream_origin> origin; ///< empty: unknown to the sender
    bool severalVersions = false; ///< servers of several versions have served within `maxAge`
    bool covered = false; ///< the sender knows all versions that have served within `maxAge`
    /// Computed version of the stream; empty: not certain, or the sender knows too little.
    std::optional<software_version> computed;
    std::uint64_t revision = 0; ///< store revision up to which the sender knows all changes
    std::uint64_t readyRevision = 0; ///< of the last change of ready servers that it knows
    bool inContact = false; ///< the store has answered the sender, or its reader, a moment ago
};

/// Reports that the sender, or a node that notified the sender, cannot reach a data centre. The
/// receiver is to probe the data centre itself.
struct lost_data_center_frame
{
    data_center_id dataCenter;
};

/// Liveness check; the receiver answers with a `pong_frame`.
struct ping_frame
{ };
struct pong_frame
{ };

/// Asks for the published state that the receiver knows.
struct publication_request
{
    std::uint64_t configurationVersion = 0; ///< in force on the sender
    list_digest known{}; ///< digest of the servers that the sender knows
    /// Chosen by the sender, which asks what has been published until now: the receiver is to read
    /// the latest changes from the store before it answers. 0: what it knows is enough.
    std::uint64_t confirmation = 0;
};
/// Published state as known to the sender: parts of the server list, changes, or, without content,
/// a heartbeat of a node that reads the store.
struct publication_frame
{
    std::uint64_t configurationVersion = 0; ///< latest version known to the sender
    bool current = false; ///< the sender reads the store now, or follows a node that does
    milliseconds age{0}; ///< since the state was current; 0: the sender itself reads the store
    milliseconds contactAge{0}; ///< since the store last answered the reader of this state
    /// With `listedParts` applied, the receiver knows all that the sender knows.
    bool fullSync = false;
    /// Parts of the server list (`digestPartOf`) of which all servers are listed, not only changes.
    std::vector<std::uint32_t> listedParts;
    std::uint64_t revision = 0; ///< store revision up to which the sender knows all changes
    std::vector<published_server> servers;
    std::vector<removed_server> removed; ///< applied after `servers`
    milliseconds removalsDeferred{0}; ///< removals take effect only after this time
    evacuation_list evacuations; ///< always complete: a few names at most
    std::uint64_t confirmation = 0; ///< of the request that this answers; 0: of none
    bool confirmed = false; ///< the store has answered the sender since that request arrived
    /// Changes up to this revision may be missing in the changes that the sender has sent. A
    /// follower that knows less asks for the difference between the lists.
    std::uint64_t gapUntil = 0;
};

/// Subscribes the sender to the receiver's published state: first to what the receiver knows beyond
/// the revision, then to each change.
struct follow_frame
{
    bool subscribes = false; ///< false: ends the subscription
    std::uint64_t revision = 0; ///< store revision up to which the sender knows all changes
    list_digest known{}; ///< digest of the servers that the sender knows
};

/// Sent when the sender's server list differs from what it has sent so far, up to a store revision.
/// A follower that knows a lower revision and another list asks for the differing parts.
struct list_digest_frame
{
    std::uint64_t revision = 0;
    list_digest known{}; ///< digest of the sender's list
};

/// Asks for the configuration in force on the receiver, once its version is at least this one.
struct configuration_request
{
    std::uint64_t version = 0;
};
/// The configuration in force on the sender, as published.
struct configuration_frame
{
    std::uint64_t version = 0;
    compressed_text text;
};

/// Reports crashed servers, and what was in flight to them, to the quarantine host.
struct server_crashes_frame
{
    /// As `crash_subject`.
    struct sent_subject
    {
        request_digest digest;
        milliseconds sentAgo{0};
        std::uint8_t breadth = 0;
        request_digest shared{};
    };
    struct crashed_server
    {
        backend_server_id server;
        milliseconds ago{0};
        std::vector<sent_subject> subjects;
    };
    std::vector<crashed_server> serverCrashes;
};

/// Quarantine state of requests, as known to the sender.
struct quarantine_frame
{
    struct entry_update
    {
        request_digest request;
        quarantine_level level = quarantine_level::Unrestricted;
        std::uint64_t version = 0;
        milliseconds remaining{0}; ///< until the entry expires
        std::uint32_t quarantineCount = 0; ///< quarantines since the request was last served
        bool isPart = false;
        milliseconds disputableAgo{0}; ///< since `quarantine_entry::disputableSince`
    };
    vm_id host; ///< the sender, if it is the quarantine host; empty: forwarded entries
    std::vector<entry_update> entries;
};

/// Asks for permission to send a suspected request to one server.
struct trial_request
{
    request_digest request;
};
struct trial_answer
{
    request_digest request;
    bool granted = false;
};
/// The sender has ended a trial that the receiver granted.
struct trial_end
{
    request_digest request;
};

using peer_frame = std::variant<
    submit_piece_frame, cancel_piece_frame, piece_outcome_frame, ping_frame, pong_frame,
    publication_request, publication_frame, free_results_frame, place_frame, placed_frame,
    placement_progress_frame, follow_frame, list_digest_frame, configuration_request,
    configuration_frame, server_crashes_frame, quarantine_frame, trial_request, trial_answer,
    trial_end, admission_request, admission_answer, rate_limits_frame, leaving_servers_frame,
    lost_data_center_frame, brittle_servers_frame, stream_origin_frame, stream_origin_query,
    stream_origin_answer, reserve_stage_frame, stage_reserved_frame, release_reservation_frame,
    pool_load_frame, board_state_frame>;

/// Reason why bytes could not be decoded as a frame.
struct frame_error
{
    std::string what;
};

/// Upper limit of the size of a frame, and of the text of a configuration.
inline constexpr std::size_t MaxFrameBytes = 16U << 20U;
/// Size of the length field that precedes each frame.
inline constexpr std::size_t FrameHeaderBytes = 4;

/// Encodes a frame with its length field.
[[nodiscard]] std::string encodeFrame(const peer_frame &frame);
/// Decodes a frame without its length field.
[[nodiscard]] result<peer_frame, frame_error> decodeFrame(std::string_view bytes);

/// Splits a stream of bytes into frames.
class frame_splitter
{
public:
    /// Appends bytes and returns the frames completed by them. After an error the stream cannot be
    /// read any further.
    [[nodiscard]] result<std::vector<peer_frame>, frame_error> feed(std::string_view bytes);

private:
    std::string m_buffer;
};

} // namespace orchidlead::gateway
