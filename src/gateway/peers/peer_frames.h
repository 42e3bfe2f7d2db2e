#pragma once

#include "gateway/codec.h"
#include "gateway/placement/placement_board.h"
#include "gateway/publication/evacuations.h"
#include "gateway/publication/list_digest.h"
#include "gateway/publication/text_compression.h"
#include "gateway/quarantine/request_digest.h"
#include "gateway/quarantine/request_quarantine.h"
#include "gateway/stages/stage_pool.h"

#include <orchidlead/result.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// What gateways say to each other over TCP: typed frames and their MessagePack codec. Times travel
/// as what is left, since clocks of machines differ.
namespace orchidlead::gateway {

/// Asks the receiver to have a piece done.
struct piece_frame
{
    piece_token token = 0; ///< of the sender
    pool_key pool;
    piece_request request;
    stage_rank rank;
    milliseconds aimLeft{0}; ///< negative: it is over
    milliseconds deadlineLeft{0};
    data_center_id near;
    std::uint64_t inputBytes = 0; ///< about
    std::uint64_t resultBytes = 0; ///< about
};

/// The sender doesn't need the piece any more.
struct withdraw_frame
{
    piece_token token = 0;
};

/// What became of a piece of the receiver.
struct outcome_frame
{
    piece_token token = 0; ///< of the receiver
    piece_report report;
};

/// Gives results up; the receiver hosts their service.
struct free_frame
{
    std::vector<std::string> handles;
};

/// Asks the receiver, which hosts the board of a service, to place a request on an engine.
struct place_frame
{
    placement_id id = 0; ///< of the sender
    placement_wish wish;
};

struct placed_frame
{
    placement_id id = 0; ///< of the receiver
    backend_server_id server; ///< empty: there is none
    milliseconds wait{0}; ///< as in `placed_request`
    bool allBounded = false;
};

/// What has become of a request that the receiver placed.
struct progress_frame
{
    enum class what : std::uint8_t { FirstAnswer, Ended };
    placement_id id = 0; ///< of the sender
    what kind = what::Ended;
    /// Of an answer that has just come, less what binds the node that got it alone.
    server_signals signals = NoSignals;
};

/// Asks the receiver whether a request may go on to its stages.
struct admission_request
{
    placement_id id = 0; ///< of the sender
    placement_wish wish; ///< without its prompt
};
struct admission_answer
{
    placement_id id = 0; ///< of the receiver
    admission told;
};

/// Tells the receiver, which hosts their pools, what servers' answers said to the sender.
struct rate_limits_frame
{
    struct told_limit
    {
        server_start server;
        std::optional<double> perSecond; ///< empty: none any more
        milliseconds ago{0};
    };
    std::vector<told_limit> limits;
};

/// Servers that said in answers that they leave, as the sender knows.
struct leaving_servers_frame
{
    std::vector<server_start> servers;
};

/// The sender, or a node that told it, reaches a data centre no longer: the receiver is to look for
/// itself.
struct lost_data_center_frame
{
    data_center_id dataCenter;
};

/// Asks whether the receiver is there.
struct ping_frame
{ };
struct pong_frame
{ };

/// Asks for what the receiver knows to be published.
struct publication_request
{
    std::uint64_t configurationVersion = 0; ///< that the sender has in force
    list_digest known{}; ///< of the servers that the sender knows
};
/// What is published, as the sender knows it: parts of the list of servers, changes, or, without
/// content, a heartbeat of a reader of the store.
struct publication_frame
{
    std::uint64_t configurationVersion = 0; ///< the latest that the sender knows of
    bool current = false; ///< the sender reads the store right now, or follows a node that does
    milliseconds age{0}; ///< since that was so; 0: the sender itself reads it
    bool compared = false; ///< with `parts`, the receiver knows all that the sender does
    std::vector<std::uint32_t> parts; ///< of which all servers are told, not only changes
    std::uint64_t revision = 0; ///< of the store, up to which the sender knows everything
    std::vector<published_server> servers;
    std::vector<backend_server_id> removed; ///< taken after `servers`
    milliseconds removalsDeferred{0}; ///< removals aren't believed for so long
    evacuation_list evacuations; ///< always whole: a few names at most
};

/// Asks the receiver to send what it knows beyond that revision, and then each change, or to end
/// that.
struct follow_frame
{
    bool begins = false;
    std::uint64_t revision = 0; ///< of the store, up to which the sender knows everything
    list_digest known{}; ///< of the servers that the sender knows
};

/// The sender knows another list than it told, up to a revision of the store: a follower that knows
/// less and another list asks for what differs.
struct compare_frame
{
    std::uint64_t revision = 0;
    list_digest known{};
};

/// Asks for the configuration in force on the receiver once it has at least this version.
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

/// Tells the receiver, which decides on requests under which servers end, what the sender saw.
struct server_ends_frame
{
    struct told_request
    {
        request_digest digest;
        milliseconds sentAgo{0};
    };
    struct told_end
    {
        backend_server_id server;
        milliseconds ago{0};
        std::vector<told_request> requests;
    };
    std::vector<told_end> ends;
};

/// How requests are treated, by the sender's knowledge.
struct quarantine_frame
{
    struct told_entry
    {
        request_digest request;
        quarantine_level level = quarantine_level::Free;
        std::uint64_t version = 0;
        milliseconds left{0}; ///< until the entry ends
        std::uint32_t times = 0;
    };
    vm_id host; ///< the sender, where it decides; empty: it tells what it knows
    std::vector<told_entry> entries;
};

/// Asks for the right to send a suspected request to one server.
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

using peer_frame =
    std::variant<piece_frame, withdraw_frame, outcome_frame, ping_frame, pong_frame,
                 publication_request, publication_frame, free_frame, place_frame, placed_frame,
                 progress_frame, follow_frame, compare_frame, configuration_request,
                 configuration_frame, server_ends_frame, quarantine_frame, trial_request,
                 trial_answer, trial_end, admission_request, admission_answer, rate_limits_frame,
                 leaving_servers_frame, lost_data_center_frame>;

/// Says why bytes aren't a frame.
struct frame_error
{
    std::string what;
};

/// Longest frame, and longest text of a configuration.
inline constexpr std::size_t MaxFrameBytes = 16U << 20U;
/// Bytes before a frame that hold its length.
inline constexpr std::size_t FrameHeaderBytes = 4;

/// Writes a frame with its length before it.
[[nodiscard]] std::string encodeFrame(const peer_frame &frame);
/// Reads a frame without its length.
[[nodiscard]] result<peer_frame, frame_error> decodeFrame(std::string_view bytes);

/// Takes a stream of bytes apart into frames.
class frame_splitter
{
public:
    /// Adds bytes. After an error the stream can't be read on.
    [[nodiscard]] result<std::vector<peer_frame>, frame_error> feed(std::string_view bytes);

private:
    std::string m_rest;
};

} // namespace orchidlead::gateway
