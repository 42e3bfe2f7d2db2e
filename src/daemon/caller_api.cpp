#include "daemon/caller_api.h"

#include "daemon/answer_json.h"
#include "daemon/caller_connection.h"
#include "wire/json_text.h"

#include <array>
#include <utility>

namespace orchidlead::daemon {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusMethodNotAllowed = 405;
constexpr int StatusUnavailable = 503;
constexpr milliseconds TicketRetry{1000};

struct route
{
    std::string_view method;
    std::string_view path;
};

constexpr route RunRequest{"POST", "/v1/requests"};
constexpr route MintTicket{"POST", "/v1/tickets"};
constexpr route Health{"GET", "/healthz"};
constexpr route Ready{"GET", "/readyz"};
constexpr std::array Routes{RunRequest, MintTicket, Health, Ready};

bool matches(const net::http_request &request, const route &wanted)
{
    return request.method == wanted.method && request.path == wanted.path;
}

void refuse(const net::response_ptr &response, int status, refusal_reason reason,
            std::string detail)
{
    const final_answer answer = refusal(reason, std::move(detail));
    response->respond(status, answerHeaders(answer), writeAnswer(answer));
}

void refuseRoute(const net::http_request &request, const net::response_ptr &response)
{
    for (const auto &known : Routes) {
        if (request.path == known.path) {
            refuse(response, StatusMethodNotAllowed, refusal_reason::InvalidRequest,
                   "method: expected " + std::string(known.method));
            return;
        }
    }
    refuse(response, StatusNotFound, refusal_reason::InvalidRequest, "path: unknown");
}

} // namespace

caller_api::caller_api(node_shell &shell, const caller_api_options &options, readiness notReady)
    : m_shell(shell)
    , m_options(options)
    , m_notReady(std::move(notReady))
{ }

void caller_api::handle(net::http_request &&request, const net::response_ptr &response)
{
    if (matches(request, RunRequest))
        runRequest(request, response);
    else if (matches(request, MintTicket))
        mintTicket(response);
    else if (matches(request, Health))
        response->respond(StatusOk, {{"content-type", "application/json"}}, R"({"alive":true})");
    else if (matches(request, Ready))
        reportReadiness(response);
    else
        refuseRoute(request, response);
}

void caller_api::runRequest(const net::http_request &request, const net::response_ptr &response)
{
    auto parsed = parseCallerRequest(request.body, m_options.bounds);
    if (!parsed) {
        const caller_error &error = parsed.error();
        refuse(response, httpStatus(outcome::NotRun, error.reason), error.reason, error.detail);
        return;
    }
    // The number is known only after `submit`, which may answer at once.
    const auto id = std::make_shared<request_id>();
    const auto connection = std::make_shared<caller_connection>(
        response, m_options.maxStreamQueueBytes,
        [this, id](bool reading) { m_shell.setReading(*id, reading); });
    answer_sink sink;
    sink.onChunk = [connection](const std::string &text) { connection->onChunk(text); };
    sink.onAnswer = [connection](const final_answer &answer) { connection->onAnswer(answer); };
    *id = m_shell.submit(std::move(parsed.value()), std::move(sink));
    response->onClosed([this, id] { m_shell.cancel(*id); });
}

void caller_api::mintTicket(const net::response_ptr &response)
{
    const auto ticket = m_shell.mintTicket();
    if (!ticket) {
        const final_answer answer =
            refusal(refusal_reason::Overloaded, "no ticket can be given now", TicketRetry);
        response->respond(StatusUnavailable, answerHeaders(answer), writeAnswer(answer));
        return;
    }
    std::string body = R"({"ticket":)";
    wire::appendJsonString(body, *ticket);
    body += R"(,"expires_ms":)" + std::to_string(m_options.ticketWindow.count()) + "}";
    response->respond(StatusOk, {{"content-type", "application/json"}}, std::move(body));
}

void caller_api::reportReadiness(const net::response_ptr &response) const
{
    const auto reason = m_notReady();
    std::string body = R"({"ready":true})";
    if (reason) {
        body = R"({"ready":false,"reason":)";
        wire::appendJsonString(body, *reason);
        body += '}';
    }
    response->respond(reason ? StatusUnavailable : StatusOk, {{"content-type", "application/json"}},
                      std::move(body));
}

} // namespace orchidlead::daemon
