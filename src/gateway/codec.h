#pragma once

#include "gateway/publication/configuration.h"
#include "gateway/quarantine/request_digest.h"
#include "gateway/servers/server_directory.h"
#include "http/head.h"

#include <orchidlead/result.h>

#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace orchidlead::gateway {

/// A part of a prompt that several requests may share.
struct prompt_part
{
    std::string id;
    std::uint32_t tokens = 0;
};

/// Consistency of a read from the store.
enum class read_consistency {
    Latest,
    MayBeStale, ///< stale by seconds; costs the store a tenth of a read of the latest state and
                ///< does not count against the store's rate limit
};

/// Metadata of a client's request.
struct request_metadata
{
    std::string attempt; ///< the client's identifier of this attempt; servers echo it
    std::string host;
    std::optional<milliseconds> clientTimeout; ///< how long the client waits
    std::string key; ///< the customer's API key
    bool continuesStream = false; ///< the client names the last event that it has, readable or not
    std::optional<std::uint64_t> lastEvent; ///< the stream resumes after this event
    /// Attempt that brought the stream's first event to the client; empty: not stated.
    std::string firstAttempt;
    std::vector<prompt_part> prompt; ///< parts in order
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0; ///< upper limit
    std::vector<std::uint32_t> pieceCounts; ///< per stage
    std::string pieceKey; ///< what the pieces of first stages are computed from, which have no
                          ///< results of other stages as inputs
    std::uint32_t reservedFields = 0; ///< fields that only the system may set; sent to no server
};

/// Metadata that the gateway sends to a server with a request.
struct forwarded_metadata
{
    milliseconds clientTimeout{0}; ///< time left until the client gives up
    backend_server_id instance; ///< intended server; any other server must refuse the request
    customer_id customer;
    std::optional<std::uint32_t> priority;
    std::optional<std::uint64_t> lastEvent;
    std::optional<std::vector<std::string>> inputs; ///< result handles; only for routes with stages
};

/// Metadata of a server's answer.
struct response_metadata
{
    std::string attempt; ///< attempt identifier of the answered request; empty: not stated
    bool signedByServer = false;
    bool notExecuted = false; ///< the server states that it has not run the request
    server_signals server;
};

/// One piece of a stage, as requested from a server.
struct piece_request
{
    std::string attempt; ///< attempt identifier of the client's request
    std::uint32_t stage = 0;
    std::uint32_t piece = 0; ///< index from 0
    /// The server does not start the piece after this time.
    std::optional<milliseconds> clientTimeout;
    /// `pieceKey`, for first stages only; all others are computed from their inputs.
    std::optional<std::string> key;
    /// Result handles; empty for first stages, and if the request omits the stages before.
    std::vector<std::string> inputs;
    request_digest digest{}; ///< of the client's request; sent between nodes only, not to servers
};

/// Why a piece has no result. Gateways, not servers, set the reasons from `Evacuated` on.
enum class piece_failure {
    Late, ///< the client timeout of the piece has passed
    InputGone,
    NoRoom, ///< the server had no room for the result
    Error,
    Evacuated, ///< the servers of the pool get no new work: their data centre is evacuated
    ServersLeaving, ///< the servers of the pool are leaving
    ServersBackingOff, ///< the servers of the pool asked the host to back off
    HostNotReady, ///< the host has just started and knows no servers yet
    ServersUnreachable, ///< the servers of the pool that were tried could not be reached
    Redirected, ///< the piece waits for less time in another pool; no server has started it
    NoServerOfVersion, ///< no server of the pool with the required version gets new work
};

/// Whether a host rejected the piece because no server of its pool gets new work. Servers of
/// another pool may still take it.
[[nodiscard]] constexpr bool poolRefusesWork(piece_failure failure)
{
    return failure == piece_failure::Evacuated || failure == piece_failure::ServersLeaving
        || failure == piece_failure::ServersBackingOff
        || failure == piece_failure::NoServerOfVersion;
}

/// The handle of a result, or the reason why there is none.
using piece_result = std::variant<std::string, piece_failure>;

/// A request that a server is running.
struct open_run
{
    std::string attempt; ///< attempt identifier of the client's request
    std::uint64_t events = 0; ///< made so far
};

/// Largest report of a server.
inline constexpr std::size_t MaxReportBytes = 1U << 20U;

/// What a server reports of itself, some hundred milliseconds old.
struct server_report
{
    std::optional<std::uint64_t> startedAt; ///< Unix time in ms; empty: not stated
    std::vector<open_run> runs;
};

/// Reason why a text from a client, server or the store could not be parsed.
struct codec_error
{
    std::string what;
};

/// A server was published or changed.
struct published_server
{
    server_record record;
    milliseconds coldTimeLeft{0}; ///< remaining cold time when this was sent
    std::uint64_t revision = 0; ///< store revision of the change; 0: unknown
    std::uint64_t created = 0; ///< store revision at which the entry was created; 0: unknown
};
struct removed_server
{
    backend_server_id id;
    std::uint64_t revision = 0; ///< store revision of the removal or a later one; 0: unknown

    friend bool operator==(const removed_server &, const removed_server &) = default;
};
struct published_configuration
{
    configuration content;
    std::string text; ///< as published, for sending to peers
};
/// Operators evacuated a data centre, or ended its evacuation.
struct published_evacuation
{
    data_center_id dataCenter;
    bool evacuated = true;
    std::uint64_t revision = 0; ///< store revision of the change
};
/// An item that cannot be parsed. The state before it stays in force.
struct unreadable_item
{
    std::string key;
    std::string what;
};
using published_item = std::variant<published_server, removed_server, published_configuration,
                                    published_evacuation, unreadable_item>;

/// A page of a list read from the store, or the changes returned by a watch.
struct published_page
{
    std::vector<published_item> items;
    std::uint64_t revision = 0; ///< of the store
    std::string lastKey; ///< the next page begins after this key
    bool more = false;
};

/// Translates between the gateway's types and one platform's wire formats. Stateless, and free of
/// decisions.
template <class Codec>
concept gateway_codec = requires(const http::request_head &request,
                                 const http::response_head &answer, http::field_list &fields,
                                 const forwarded_metadata &metadata,
                                 const std::vector<piece_request> &pieces, std::string_view text,
                                 const std::vector<std::string> &handles, std::uint64_t revision,
                                 milliseconds wait)
{
    {
        Codec::readRequest(request)
        } -> std::same_as<request_metadata>;
    {
        Codec::writeServerFields(request, metadata)
        } -> std::same_as<http::field_list>;
    {
        Codec::readAnswer(answer)
        } -> std::same_as<response_metadata>;
    {
        Codec::reduceTimeout(fields, wait)
        } -> std::same_as<bool>;
    {
        Codec::retryAfter(wait)
        } -> std::same_as<http::field>;
    {
        Codec::readinessPath()
        } -> std::same_as<std::string_view>;
    {
        Codec::stagePath()
        } -> std::same_as<std::string_view>;
    {
        Codec::stageFields(metadata.instance)
        } -> std::same_as<http::field_list>;
    {
        Codec::writePieces(pieces)
        } -> std::same_as<std::string>;
    {
        Codec::readPieces(text)
        } -> std::same_as<result<std::vector<piece_result>, codec_error>>;
    {
        Codec::freeResultsPath()
        } -> std::same_as<std::string_view>;
    {
        Codec::writeHandles(handles)
        } -> std::same_as<std::string>;
    {
        Codec::reportPath()
        } -> std::same_as<std::string_view>;
    {
        Codec::readReport(text)
        } -> std::same_as<result<server_report, codec_error>>;
    {
        Codec::configurationTarget()
        } -> std::same_as<std::string>;
    {
        Codec::operationsTarget(text)
        } -> std::same_as<std::string>;
    {
        Codec::serversTarget(text, read_consistency::Latest)
        } -> std::same_as<std::string>;
    {
        Codec::watchTarget(revision, wait)
        } -> std::same_as<std::string>;
    {
        Codec::readItem(text)
        } -> std::same_as<result<published_page, codec_error>>;
    {
        Codec::readPage(text)
        } -> std::same_as<result<published_page, codec_error>>;
    {
        Codec::readChanges(text)
        } -> std::same_as<result<published_page, codec_error>>;
    {
        Codec::readConfiguration(text)
        } -> std::same_as<result<configuration, codec_error>>;
};

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::piece_failure>{
    orchidlead::enum_name<orchidlead::gateway::piece_failure>{
        orchidlead::gateway::piece_failure::Late, "late"},
    orchidlead::enum_name<orchidlead::gateway::piece_failure>{
        orchidlead::gateway::piece_failure::InputGone, "input_gone"},
    orchidlead::enum_name<orchidlead::gateway::piece_failure>{
        orchidlead::gateway::piece_failure::NoRoom, "no_room"},
    orchidlead::enum_name<orchidlead::gateway::piece_failure>{
        orchidlead::gateway::piece_failure::Error, "error"},
    orchidlead::enum_name<orchidlead::gateway::piece_failure>{
        orchidlead::gateway::piece_failure::Evacuated, "evacuated"},
    orchidlead::enum_name<orchidlead::gateway::piece_failure>{
        orchidlead::gateway::piece_failure::ServersLeaving, "servers_leaving"},
    orchidlead::enum_name<orchidlead::gateway::piece_failure>{
        orchidlead::gateway::piece_failure::ServersBackingOff, "servers_backed_off"},
    orchidlead::enum_name<orchidlead::gateway::piece_failure>{
        orchidlead::gateway::piece_failure::HostNotReady, "host_unready"},
    orchidlead::enum_name<orchidlead::gateway::piece_failure>{
        orchidlead::gateway::piece_failure::ServersUnreachable, "unreached"},
    orchidlead::enum_name<orchidlead::gateway::piece_failure>{
        orchidlead::gateway::piece_failure::Redirected, "redirected"},
    orchidlead::enum_name<orchidlead::gateway::piece_failure>{
        orchidlead::gateway::piece_failure::NoServerOfVersion, "no_server_of_version"},
};
template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::read_consistency>{
    orchidlead::enum_name<orchidlead::gateway::read_consistency>{
        orchidlead::gateway::read_consistency::Latest, "latest"},
    orchidlead::enum_name<orchidlead::gateway::read_consistency>{
        orchidlead::gateway::read_consistency::MayBeStale, "may_be_old"},
};
