#include "wire/peer_server.h"

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include <exception>

namespace orchidlead::wire {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int NotHeldCode = -32001; // the application's own range begins at -32000

const net::header_list jsonHeaders{{"content-type", "application/json"}};

/// Feeds the library with texts and takes its answers; the transport is the HTTP server.
class text_connector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }

    bool SendResponse(const std::string &response, void *addInfo) override
    {
        *static_cast<std::string *>(addInfo) = response;
        return true;
    }
};

} // namespace

/// The methods that are answered at once. A request that is forwarded isn't among them: the
/// library answers before it returns, and it would take the caller's payload apart.
class peer_server::implementation final
    : private text_connector
    , public jsonrpc::AbstractServer<peer_server::implementation>
{
public:
    explicit implementation(peer_handlers handlers);

    void handle(net::http_request &&request, const net::response_ptr &response);
    [[nodiscard]] const peer_counts &counts() const { return m_counts; }

private:
    void handleRpc(const std::string &body, const net::response_ptr &response);
    void handleForward(net::http_request &&request, const net::response_ptr &response);
    void refuse(int status, const net::response_ptr &response);
    void fetchConfiguration(const Json::Value &parameters, Json::Value &result);
    void takeGateMessage(const Json::Value &parameters, Json::Value &result);

    peer_handlers m_handlers;
    peer_counts m_counts;
};

peer_server::implementation::implementation(peer_handlers handlers)
    : AbstractServer(static_cast<text_connector &>(*this), jsonrpc::JSONRPC_SERVER_V2)
    , m_handlers(std::move(handlers))
{
    using jsonrpc::Procedure;
    bindAndAddMethod(Procedure(std::string{FetchConfigurationMethod}, jsonrpc::PARAMS_BY_NAME,
                               jsonrpc::JSON_OBJECT, "version", jsonrpc::JSON_INTEGER, nullptr),
                     &implementation::fetchConfiguration);
    bindAndAddMethod(Procedure(std::string{GateMessageMethod}, jsonrpc::PARAMS_BY_NAME,
                               jsonrpc::JSON_OBJECT, "from", jsonrpc::JSON_STRING, "bytes",
                               jsonrpc::JSON_STRING, nullptr),
                     &implementation::takeGateMessage);
}

void peer_server::implementation::handle(net::http_request &&request,
                                         const net::response_ptr &response)
{
    ++m_counts.messages;
    m_counts.bytesIn += request.body.size();
    if (request.method != "POST")
        refuse(StatusBadRequest, response);
    else if (request.path == RpcPath)
        handleRpc(request.body, response);
    else if (request.path == ForwardPath)
        handleForward(std::move(request), response);
    else
        refuse(StatusNotFound, response);
}

// The library takes batches of any length and lets exceptions of the JSON parser through.
void peer_server::implementation::handleRpc(const std::string &body,
                                            const net::response_ptr &response)
{
    const auto start = body.find_first_not_of(" \t\r\n");
    if (start == std::string::npos || body[start] != '{')
        return refuse(StatusBadRequest, response);
    std::string answer;
    try {
        OnRequest(body, &answer);
    } catch (const std::exception &) {
        return refuse(StatusBadRequest, response);
    }
    m_counts.bytesOut += answer.size();
    response->respond(StatusOk, jsonHeaders, std::move(answer));
}

void peer_server::implementation::handleForward(net::http_request &&request,
                                                const net::response_ptr &response)
{
    auto forward = parseForward(request.query, std::move(request.body));
    if (!forward || !m_handlers.onForward)
        return refuse(StatusBadRequest, response);
    m_handlers.onForward(std::move(*forward), std::make_shared<forward_reply>(response));
}

void peer_server::implementation::refuse(int status, const net::response_ptr &response)
{
    ++m_counts.refused;
    response->respond(status, jsonHeaders, "{}");
}

void peer_server::implementation::fetchConfiguration(const Json::Value &parameters,
                                                     Json::Value &result)
{
    const auto fetch = parseConfigurationFetch(parameters);
    if (!fetch || !m_handlers.fetchConfiguration)
        throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS);
    const auto content = m_handlers.fetchConfiguration(*fetch);
    if (!content)
        throw jsonrpc::JsonRpcException(NotHeldCode, "version not held");
    result = toJson(*content);
}

void peer_server::implementation::takeGateMessage(const Json::Value &parameters,
                                                  Json::Value &result)
{
    const auto message = parseGateMessage(parameters);
    if (!message || !m_handlers.onAtMostOnceMessage)
        throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS);
    m_handlers.onAtMostOnceMessage(*message);
    result = Json::Value{Json::objectValue};
}

void forward_reply::answer(const forward_answer &answer)
{
    m_response->respond(answer.status, {{"content-type", std::string{ForwardAnswerType}}},
                        answer.body);
}

peer_server::peer_server(peer_handlers handlers)
    : m_implementation(std::make_unique<implementation>(std::move(handlers)))
{ }

peer_server::~peer_server() = default;

void peer_server::handle(net::http_request &&request, const net::response_ptr &response)
{
    m_implementation->handle(std::move(request), response);
}

const peer_counts &peer_server::counts() const
{
    return m_implementation->counts();
}

} // namespace orchidlead::wire
