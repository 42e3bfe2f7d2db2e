/// Forwards every request to a backend server, in turn, and its answer back: what any server on
/// `src/net` costs at least. The daemon is measured against it.

#include "net/http_client.h"
#include "net/http_server.h"
#include "standins/json_http.h"
#include "standins/program.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

ABSL_FLAG(std::vector<std::string>, backends, {}, "IP:PORT of the backend servers");
ABSL_FLAG(std::string, addresses, "", "file that the address is written to");

namespace {

using namespace orchidlead;

class forwarder
{
public:
    forwarder(net::http_client &client, std::vector<socket_address> backends)
        : m_client(client)
        , m_backends(std::move(backends))
    { }

    void forward(net::http_request &&request, const net::response_ptr &response)
    {
        net::http_call call;
        call.address = m_backends[m_next++ % m_backends.size()];
        call.method = request.method;
        call.path = request.path;
        call.headers = std::move(request.headers);
        call.body = std::move(request.body);
        const auto answer = std::make_shared<answer_state>();
        net::call_events events;
        events.onHead = [answer](int status, const net::header_list &) { answer->status = status; };
        events.onBody = [answer](std::string_view bytes) { answer->body += bytes; };
        events.onEnd = [answer, response](net::call_end end) {
            constexpr int BadGateway = 502;
            if (end == net::call_end::Complete)
                response->respond(answer->status, {}, std::move(answer->body));
            else
                response->respond(BadGateway, {}, "");
        };
        const auto id = m_client.start(std::move(call), std::move(events));
        response->onClosed([this, id] { m_client.cancel(id); });
    }

private:
    struct answer_state
    {
        int status = 0;
        std::string body;
    };

    net::http_client &m_client;
    std::vector<socket_address> m_backends;
    std::size_t m_next = 0;
};

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("bench-forwarder --backends=IP:PORT,...");
    absl::ParseCommandLine(argc, argv);
    std::vector<socket_address> backends;
    for (const std::string &text : absl::GetFlag(FLAGS_backends)) {
        const auto address = standins::parseAddress(text);
        if (!address)
            standins::exitWith("not an address: " + text);
        backends.push_back(*address);
    }
    if (backends.empty())
        standins::exitWith("no backend servers");
    const auto loop = standins::makeLoopOrExit();
    const auto client = net::http_client::create(*loop);
    forwarder parts(*client, std::move(backends));
    net::http_server_options options;
    options.listen = {"127.0.0.1", 0};
    auto server = net::http_server::create(
        *loop, options, [&parts](net::http_request &&request, const net::response_ptr &response) {
            parts.forward(std::move(request), response);
        });
    if (!server)
        standins::exitWith(server.error().what);
    Json::Value addresses;
    addresses["forwarder"] = standins::toText({"127.0.0.1", server.value()->port()});
    standins::announce(addresses, absl::GetFlag(FLAGS_addresses));
    loop->run();
    return 0;
}
