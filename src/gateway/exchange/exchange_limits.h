#pragma once

#include <orchidlead/clock.h>

#include <cstddef>
#include <cstdint>

/// Statuses, times and sizes of exchanges.
namespace orchidlead::gateway {

namespace status {
inline constexpr int Ok = 200;
inline constexpr int FirstRedirect = 300;
inline constexpr int BadRequest = 400;
inline constexpr int Unauthorized = 401;
inline constexpr int NotFound = 404;
inline constexpr int Timeout = 408;
inline constexpr int Conflict = 409;
inline constexpr int Misdirected = 421;
inline constexpr int TooMany = 429;
inline constexpr int FirstServerError = 500;
inline constexpr int BadGateway = 502;
inline constexpr int Unavailable = 503;
inline constexpr int GatewayTimeout = 504;
} // namespace status

/// Answers up to this size are held until they are whole, so that a broken one can be tried again.
inline constexpr std::size_t MaxBufferedAnswer = 128U << 10U;
/// Longest event of a stream.
inline constexpr std::size_t MaxEventBytes = 256U << 10U;
/// Bytes that wait for a slow client before its server isn't read any more.
inline constexpr std::size_t MaxQueuedBytes = 256U << 10U;
/// Tries that never reached a server: each is another server, or a connection that had ended.
inline constexpr std::uint32_t MaxUnsent = 4;
/// So many of them to servers of another data centre show that it may be cut off.
inline constexpr std::uint32_t MaxUnsentAway = 2;
/// When a refused client is asked to come back: a few calls of a stage later.
inline constexpr milliseconds ComeBack{400};
/// The same where everything that could serve it is evacuated, leaves or can't be reached: that
/// lasts seconds, and clients come back within a third of the time they have anyway.
inline constexpr milliseconds ComeBackAbsent{1500};
/// How much longer a request may wait at a stage where its prompt is kept than in its own data
/// centre: about the time that reading a prompt of 6,000 shared tokens takes.
inline constexpr milliseconds LongestDetour{150};
/// The answer leaves this long before the client stops waiting.
inline constexpr milliseconds AnswerMargin{20};
/// A request whose answer has come for so long is running; one that crashes its server does so as
/// it begins to run, within tenths of a second.
inline constexpr milliseconds ProofOfRunning{1000};
/// Least silence of a stream after which another server goes on with it.
inline constexpr milliseconds MinStreamSilence{1000};
/// Part of the objective after which an unanswered request that may be repeated goes elsewhere.
inline constexpr double SilenceShare = 1.0;
/// Most urgent and least urgent rank that servers know.
inline constexpr std::uint32_t LeastUrgent = 9;

} // namespace orchidlead::gateway
