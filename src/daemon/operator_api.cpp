#include "daemon/operator_api.h"

#include "daemon/operator_views.h"
#include "daemon/query_text.h"
#include "wire/json_text.h"

#include <charconv>
#include <map>
#include <string_view>
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
                      wire::writeJson(value) + "\n");
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

operator_api::operator_api(const node &state, const node_control &control,
                           const clock_source &clock, operator_hooks hooks)
    : m_node(state)
    , m_control(control)
    , m_clock(clock)
    , m_hooks(std::move(hooks))
{ }

void operator_api::handle(net::http_request &&request, const net::response_ptr &response) const
{
    const bool isDrain = request.path == "/v1/drain";
    if (request.method != (isDrain ? "POST" : "GET"))
        refuse(response, StatusMethodNotAllowed, isDrain ? "expected POST" : "expected GET");
    else if (isDrain)
        handleDrain(response);
    else if (!replyList(request, response))
        handleGet(request, response);
}

void operator_api::handleDrain(const net::response_ptr &response) const
{
    m_hooks.drain();
    Json::Value state{Json::objectValue};
    state["state"] = std::string(toName(node_phase::Stopping));
    reply(response, StatusAccepted, state);
}

void operator_api::handleGet(const net::http_request &request,
                             const net::response_ptr &response) const
{
    if (request.path == "/v1/status") {
        reply(response, StatusOk, viewStatus(m_node, m_hooks.status()));
    } else if (request.path == "/v1/configuration") {
        const bool withContent = queryParameter(request.query, "content") == "1";
        reply(response, StatusOk, viewConfiguration(m_control, withContent));
    } else if (request.path == "/v1/pipelines") {
        replyPipelines(m_node, request, response);
    } else if (request.path == "/metrics") {
        response->respond(StatusOk, {{"content-type", "text/plain; version=0.0.4"}},
                          m_hooks.metrics());
    } else if (request.path.starts_with(RequestPrefix)) {
        replyRequest(m_node, request.path.substr(RequestPrefix.size()), response);
    } else {
        refuse(response, StatusNotFound, "path: unknown");
    }
}

bool operator_api::replyList(const net::http_request &request,
                             const net::response_ptr &response) const
{
    using view = std::function<Json::Value(const page &)>;
    const std::map<std::string_view, view> views{
        {"/v1/vms", [this](const page &wanted) { return viewVms(m_node, wanted, m_clock.now()); }},
        {"/v1/servers", [this](const page &wanted) { return viewServers(m_node, wanted); }},
        {"/v1/stages", [this](const page &wanted) { return viewStages(m_node, wanted); }},
        {"/v1/customers", [this](const page &wanted) { return viewCustomers(m_node, wanted); }},
    };
    const auto found = views.find(request.path);
    if (found == views.end())
        return false;
    if (const auto wanted = readPage(request.query))
        reply(response, StatusOk, found->second(*wanted));
    else
        refuse(response, StatusBadRequest, "limit: expected a whole number from 1 to 1000");
    return true;
}

} // namespace orchidlead::daemon
