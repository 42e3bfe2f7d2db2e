#pragma once

#include <orchidlead/clock.h>

#include <cstddef>
#include <cstdint>

/// HTTP statuses, times and sizes used by `exchange`.
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

[[nodiscard]] constexpr bool isSuccess(int code)
{
    return code >= Ok && code < FirstRedirect;
}
} // namespace status

/// Answers up to this size are buffered until complete, so that the request can be retried if the
/// answer breaks off.
inline constexpr std::size_t MaxBufferedAnswer = 128U << 10U;
/// Most bytes of the body of an answer that is not forwarded, such as a refusal. The body has to be
/// read to its end before the connection can be reused; a refusal has a few hundred bytes.
inline constexpr std::size_t MaxDiscardedAnswer = 64U << 10U;
/// Maximum size of an event of a stream.
inline constexpr std::size_t MaxEventBytes = 256U << 10U;
/// Bytes queued for a slow client beyond which reading from the server is paused.
inline constexpr std::size_t MaxQueuedBytes = 256U << 10U;
/// Most attempts of a request that reach no server. Each is for another server or on a connection
/// that had been closed.
inline constexpr std::uint32_t MaxUnsentAttempts = 4;
/// Number of such attempts to servers of another data centre after which that data centre is
/// treated as unreachable.
inline constexpr std::uint32_t MaxUnsentRemoteAttempts = 2;
/// A data centre from which a signal arrived this shortly before servers there refused connections
/// is reachable: the servers have crashed. A data centre that is cut off is silent at once.
inline constexpr milliseconds RecentSignalAge{100};
/// Retry delay sent with a refusal: the duration of a few calls of a stage.
inline constexpr milliseconds RetryDelay{400};
/// Retry delay if all servers for the request are evacuated, shutting down or unreachable, which
/// lasts seconds. Clients retry within a third of their timeout in any case.
inline constexpr milliseconds UnavailableRetryDelay{1500};
/// How much longer a request may wait for a stage in the data centre that caches its prompt than in
/// its own one: about the prefill time of 6,000 shared tokens.
inline constexpr milliseconds MaxExtraStageWait{150};
/// The answer is sent this long before the client's timeout.
inline constexpr milliseconds AnswerMargin{20};
/// A request whose answer has been arriving for this long is not the cause of a crash. A request
/// that crashes its server does so within tenths of a second of starting to run.
inline constexpr milliseconds StableAnswerTime{1000};
/// A part of a prompt does not crash servers if an answer to a request with it has been arriving
/// for this long: shorter than the time above, so that parts which many requests share are cleared
/// while servers crash one after the other.
inline constexpr milliseconds StablePartTime{500};
/// How much longer than its client waits it is kept where a stream began: requests of the client
/// that continues it may be under way.
inline constexpr milliseconds StreamOriginMargin{1000};
/// Shortest idle time of a stream after which it is continued on another server.
inline constexpr milliseconds MinStreamIdleTime{1000};
/// How often a request whose server is silent checks whether another one may get it.
inline constexpr milliseconds SilenceCheckInterval{250};
/// The interval doubles this often at most, each time that another server could not take over, so
/// that a request whose replacements fail doesn't use up the retry budget.
inline constexpr std::uint32_t MaxSilenceCheckDoublings = 3;
/// How long the call of a silent server stays open after its replacement was sent. A server that
/// refuses the request does so within milliseconds; beyond that, both would work on the request.
inline constexpr milliseconds MaxHandoverTime{200};
/// A server that sent bytes this shortly before responds, and gets no health check.
inline constexpr milliseconds RecentResponseAge{100};
/// Longest wait for the answer to a health check. A server that responds answers within
/// milliseconds.
inline constexpr milliseconds HealthCheckTimeout{200};
/// Fraction of the latency objective after which an unanswered repeatable request is sent to
/// another server.
inline constexpr double UnansweredShare = 1.0;
/// Multiple of the expected time to the first event before which no request is sent to another
/// server as unanswered: long prompts are read for longer than the latency objective.
inline constexpr double UnansweredFactor = 2.0;
/// Lowest priority that servers accept.
inline constexpr std::uint32_t LowestPriority = 9;

} // namespace orchidlead::gateway
