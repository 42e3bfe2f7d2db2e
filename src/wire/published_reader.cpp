#include "wire/published_reader.h"

namespace orchidlead::wire {

std::optional<read_error> readErrorOf(net::call_end end)
{
    std::string detail{toName(end)};
    switch (end) {
    case net::call_end::Complete:
        return std::nullopt;
    case net::call_end::TimedOut:
        return read_error{read_failure::TimedOut, std::move(detail)};
    case net::call_end::TooLarge:
        return read_error{read_failure::TooLarge, std::move(detail)};
    case net::call_end::NotSent:
    case net::call_end::Broken:
        break;
    }
    return read_error{read_failure::Unreachable, std::move(detail)};
}

net::http_call composeRead(const published_reader_options &options, const read_request &request,
                           std::string_view path, std::size_t maxBytes)
{
    net::http_call call;
    call.address = options.address;
    call.method = "GET";
    call.path = path;
    if (request.wait > milliseconds{0}) {
        call.path += "?after=" + std::to_string(request.after)
            + "&wait_ms=" + std::to_string(request.wait.count());
    }
    call.connectTimeout = options.connectTimeout;
    call.timeout = request.wait + options.answerTimeout;
    call.maxResponseBytes = maxBytes;
    return call;
}

} // namespace orchidlead::wire
