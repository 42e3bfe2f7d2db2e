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

/// How old an answer of the store may be.
enum class read_freshness {
    Latest,
    MayBeOld, ///< by seconds; a tenth of the price, and not counted against the store's rate
};

/// What a client's request says about itself.
struct request_marks
{
    std::string attempt; ///< names this attempt of the client; servers echo it
    std::string host;
    std::optional<milliseconds> patience; ///< how long the client waits
    std::string key; ///< of a customer
    std::optional<std::uint64_t> lastEvent; ///< the stream goes on behind this event
    std::vector<prompt_part> prompt; ///< parts in order
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0; ///< at most
    std::vector<std::uint32_t> pieceCounts; ///< of each stage
    std::string pieceKey; ///< what the pieces without inputs are made from
    std::uint32_t forgedFields = 0; ///< that only the system may set; they go to no server
};

/// What the system says to a server about a request that it sends.
struct server_marks
{
    milliseconds patience{0}; ///< what is left
    backend_server_id instance; ///< another server must refuse it
    customer_id customer;
    std::optional<std::uint32_t> priority;
    std::optional<std::uint64_t> lastEvent;
    std::optional<std::vector<std::string>> inputs; ///< handles; only of routes with stages
};

/// What a server's answer says about itself.
struct answer_marks
{
    std::string attempt; ///< of the request that it answers; empty: it doesn't say
    bool signedByServer = false;
    bool notRun = false; ///< the server says that it has not run the request
    server_signals server;
};

/// One piece of a stage, as a server is asked for it.
struct piece_request
{
    std::string attempt; ///< the client's request
    std::uint32_t stage = 0;
    std::uint32_t piece = 0; ///< from 0
    std::optional<milliseconds> patience; ///< the server doesn't begin later
    std::string key; ///< for stages without inputs
    std::vector<std::string> inputs; ///< handles
    request_digest digest{}; ///< of the client's request; stays between the nodes
};

/// Why a server didn't do a piece.
enum class piece_failure {
    Late, ///< its patience was over
    InputGone,
    NoRoom,
    Error,
    Evacuated, ///< no server gave it up: those of its pool get nothing new
    ServersLeaving, ///< likewise: those of its pool end soon
    ServersBackedOff, ///< likewise: those of its pool asked the host for time
    HostUnready, ///< likewise: the host has just started and knows no servers yet
    Unreached, ///< the servers of its pool that were tried couldn't be reached
};

/// Whether a host gave the piece up since no server of its pool gets anything new: another pool's
/// may.
[[nodiscard]] constexpr bool poolIsClosed(piece_failure failure)
{
    return failure == piece_failure::Evacuated || failure == piece_failure::ServersLeaving
        || failure == piece_failure::ServersBackedOff;
}

/// A handle of the result, or why there is none.
using piece_result = std::variant<std::string, piece_failure>;

/// Says why a text from outside can't be used.
struct codec_error
{
    std::string what;
};

/// One change of what the platform publishes.
struct published_server
{
    server_record record;
    milliseconds coldFor{0}; ///< from the moment at which this was told
};
struct removed_server
{
    backend_server_id id;
};
struct published_configuration
{
    configuration content;
    std::string text; ///< as published, to be handed to peers
};
/// Operators evacuate a data centre, or give it back.
struct published_evacuation
{
    data_center_id dataCenter;
    bool evacuated = true;
    std::uint64_t revision = 0; ///< of the store, at which that was written
};
/// An item that can't be read. The state before it stays.
struct unreadable_item
{
    std::string key;
    std::string what;
};
using published_item = std::variant<published_server, removed_server, published_configuration,
                                    published_evacuation, unreadable_item>;

/// A page of the store, or the changes that a watch brought.
struct published_page
{
    std::vector<published_item> items;
    std::uint64_t revision = 0; ///< of the store
    std::string lastKey; ///< where the next page begins
    bool more = false;
};

/// Translates between the gateway's values and one platform's formats. Has no state and takes no
/// decision.
template <class Codec>
concept gateway_codec = requires(const http::request_head &request,
                                 const http::response_head &answer, http::field_list &fields,
                                 const server_marks &marks,
                                 const std::vector<piece_request> &pieces, std::string_view text,
                                 const std::vector<std::string> &handles, std::uint64_t revision,
                                 milliseconds wait)
{
    {
        Codec::readRequest(request)
        } -> std::same_as<request_marks>;
    {
        Codec::writeServerFields(request, marks)
        } -> std::same_as<http::field_list>;
    {
        Codec::readAnswer(answer)
        } -> std::same_as<answer_marks>;
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
        Codec::stageFields(marks.instance)
        } -> std::same_as<http::field_list>;
    {
        Codec::writePieces(pieces)
        } -> std::same_as<std::string>;
    {
        Codec::readPieces(text)
        } -> std::same_as<result<std::vector<piece_result>, codec_error>>;
    {
        Codec::freePath()
        } -> std::same_as<std::string_view>;
    {
        Codec::writeHandles(handles)
        } -> std::same_as<std::string>;
    {
        Codec::configurationTarget()
        } -> std::same_as<std::string>;
    {
        Codec::operationsTarget(text)
        } -> std::same_as<std::string>;
    {
        Codec::serversTarget(text, read_freshness::Latest)
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
        orchidlead::gateway::piece_failure::ServersBackedOff, "servers_backed_off"},
    orchidlead::enum_name<orchidlead::gateway::piece_failure>{
        orchidlead::gateway::piece_failure::HostUnready, "host_unready"},
    orchidlead::enum_name<orchidlead::gateway::piece_failure>{
        orchidlead::gateway::piece_failure::Unreached, "unreached"},
};
template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::read_freshness>{
    orchidlead::enum_name<orchidlead::gateway::read_freshness>{
        orchidlead::gateway::read_freshness::Latest, "latest"},
    orchidlead::enum_name<orchidlead::gateway::read_freshness>{
        orchidlead::gateway::read_freshness::MayBeOld, "may_be_old"},
};
