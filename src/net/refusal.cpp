#include "net/refusal.h"

#include "net/header_fields.h"

namespace orchidlead::net {

namespace {

constexpr int Unavailable = 503;

} // namespace

std::string refusalBody(const refusal &cause)
{
    std::string body = R"({"outcome":"not_run","reason":")";
    return body.append(cause.reason).append(R"(","detail":")").append(cause.detail).append("\"}");
}

std::string_view refusalRetryAfter(const refusal &cause)
{
    return cause.status == Unavailable ? "1" : "";
}

std::string refusalResponse(const refusal &cause)
{
    const std::string body = refusalBody(cause);
    const auto retryAfter = refusalRetryAfter(cause);
    std::string text = "HTTP/1.1 " + std::to_string(cause.status) + " ";
    text.append(statusText(cause.status)).append("\r\ncontent-type: application/json\r\n");
    if (!retryAfter.empty())
        text.append("retry-after: ").append(retryAfter).append("\r\n");
    text.append("content-length: ").append(std::to_string(body.size()));
    return text.append("\r\nconnection: close\r\n\r\n").append(body);
}

} // namespace orchidlead::net
