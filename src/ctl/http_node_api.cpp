#include "ctl/http_node_api.h"

#include "net/event_loop.h"
#include "net/http_client.h"

#include <optional>

namespace orchidlead::ctl {

namespace {

constexpr std::string_view StreamType = "text/event-stream";

/// What has arrived of one answer.
struct arriving_answer
{
    api_answer answer;
    bool isStream = false;
    std::optional<net::call_end> end;
};

net::http_call toCall(const api_request &request)
{
    net::http_call call;
    call.address = request.address;
    call.method = request.method;
    call.path = request.path;
    call.body = request.body;
    if (!request.body.empty())
        call.headers.push_back({"content-type", "application/json"});
    call.timeout = request.timeout;
    call.reuseConnection = false;
    return call;
}

net::call_events eventsInto(arriving_answer &into, const api_request &request,
                            net::event_loop &loop)
{
    net::call_events events;
    events.onHead = [&](int status, const net::header_list &headers) {
        into.answer.status = status;
        const auto type = net::findHeader(headers, "content-type");
        into.isStream = request.onStream && type && type->starts_with(StreamType);
    };
    events.onBody = [&](std::string_view bytes) {
        if (into.isStream)
            request.onStream(bytes);
        else
            into.answer.body += bytes;
    };
    events.onEnd = [&](net::call_end end) {
        into.end = end;
        loop.stop();
    };
    return events;
}

std::string describe(net::call_end end)
{
    switch (end) {
    case net::call_end::NotSent:
        return "can't connect; nothing was sent";
    case net::call_end::Broken:
        return "the answer isn't whole";
    case net::call_end::TimedOut:
        return "no whole answer in time";
    case net::call_end::TooLarge:
        return "the answer is too large";
    case net::call_end::Complete:
        break;
    }
    return "";
}

} // namespace

result<api_answer, api_error> callOverHttp(const api_request &request)
{
    auto loop = net::event_loop::create();
    if (!loop)
        return api_error{loop.error().what};
    const auto client = net::http_client::create(*loop.value());
    arriving_answer arriving;
    client->start(toCall(request), eventsInto(arriving, request, *loop.value()));
    loop.value()->run();
    const net::call_end end = arriving.end.value_or(net::call_end::Broken);
    if (end != net::call_end::Complete)
        return api_error{describe(end)};
    return std::move(arriving.answer);
}

} // namespace orchidlead::ctl
