#include "daemon/operator_api.h"

#include "daemon/operator_views.h"
#include "daemon/query_text.h"
#include "platform/json_text.h"

#include <charconv>
#include <utility>

namespace orchidlead::daemon {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusAccepted = 202;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusMethodNotAllowed = 405;
constexpr std::size_t MaxPage = 1000;
constexpr std::string_view RequestPrefix = "/v1/requests/";

void reply(const net::response_ptr &response, int status, const Json::Value &value)
{
    response->respond(status, {{"content-type", "application/json"}},
                      platform::writeJson(value) + "\n");
}

void refuse(const net::response_ptr &response, int status, const std::string &what)
{
    Json::Value error{Json::objectValue};
    error["error"] = what;
    reply(response, status, error);
}

std::optional<page> readPage(const std::string &query)
{
    page wanted;
    wanted.after = queryParameter(query, "after").value_or("");
    const auto limit = queryParameter(query, "limit");
    if (!limit)
        return wanted;
    const char *end = limit->data() + limit->size();
    const auto [stop, error] = std::from_chars(limit->data(), end, wanted.limit);
    if (error != std::errc{} || stop != end || wanted.limit < 1 || wanted.limit > MaxPage)
        return std::nullopt;
    return wanted;
}

using list_view = Json::Value (*)(const node &, const page &);

struct list_route
{
    std::string_view path;
    list_view view;
};

constexpr std::array ListRoutes{
    list_route{"/v1/servers", viewServers},
    list_route{"/v1/stages", viewStages},
    list_route{"/v1/customers", viewCustomers},
};

/// Answers when the path is one of the lists.
bool replyList(const node &state, const net::http_request &request,
               const net::response_ptr &response)
{
    for (const auto &route : ListRoutes) {
        if (request.path != route.path)
            continue;
        if (const auto wanted = readPage(request.query))
            reply(response, StatusOk, route.view(state, *wanted));
        else
            refuse(response, StatusBadRequest, "limit: expected a whole number from 1 to 1000");
        return true;
    }
    return false;
}

void replyPipelines(const node &state, const net::http_request &request,
                    const net::response_ptr &response)
{
    const auto customer = queryParameter(request.query, "customer");
    if (!customer || customer->empty()) {
        refuse(response, StatusBadRequest, "customer: missing");
        return;
    }
    if (const auto view = viewPipelines(state, customer_id{*customer}))
        reply(response, StatusOk, *view);
    else
        refuse(response, StatusNotFound, "customer: unknown");
}

void replyRequest(const node &state, const std::string &id, const net::response_ptr &response)
{
    if (const auto view = viewRequest(state, request_id{id}))
        reply(response, StatusOk, *view);
    else
        refuse(response, StatusNotFound, "request: not among the last ones of this node");
}

} // namespace

operator_api::operator_api(const node &state, const clock_source &clock, operator_hooks hooks)
    : m_node(state)
    , m_clock(clock)
    , m_hooks(std::move(hooks))
{ }

void operator_api::handle(net::http_request &&request, const net::response_ptr &response) const
{
    const bool isDrain = request.path == "/v1/drain";
    if (request.method != (isDrain ? "POST" : "GET")) {
        refuse(response, StatusMethodNotAllowed, isDrain ? "expected POST" : "expected GET");
    } else if (isDrain) {
        m_hooks.drain();
        Json::Value state{Json::objectValue};
        state["state"] = std::string(toName(node_phase::Stopping));
        reply(response, StatusAccepted, state);
    } else if (request.path == "/v1/status") {
        reply(response, StatusOk, viewStatus(m_node, m_hooks.status()));
    } else if (request.path == "/v1/configuration") {
        reply(response, StatusOk, viewConfiguration(m_node));
    } else if (request.path == "/v1/pipelines") {
        replyPipelines(m_node, request, response);
    } else if (request.path == "/metrics") {
        response->respond(StatusOk, {{"content-type", "text/plain; version=0.0.4"}},
                          m_hooks.metrics());
    } else if (request.path.starts_with(RequestPrefix)) {
        replyRequest(m_node, request.path.substr(RequestPrefix.size()), response);
    } else if (!replyList(m_node, request, response)) {
        refuse(response, StatusNotFound, "path: unknown");
    }
}

} // namespace orchidlead::daemon
