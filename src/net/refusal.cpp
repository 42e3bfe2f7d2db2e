#include "net/refusal.h"

#include "net/header_fields.h"

namespace orchidlead::net {

namespace {

constexpr int Unavailable = 503;

} // namespace

std::string refusalBody(const refusal &why)
{
    std::string body = R"({"outcome":"not_run","reason":")";
    return body.append(why.reason).append(R"(","detail":")").append(why.detail).append("\"}");
}

std::string_view refusalRetryAfter(const refusal &why)
{
    return why.status == Unavailable ? "1" : "";
}

std::string refusalText(const refusal &why)
{
    const std::string body = refusalBody(why);
    const auto retryAfter = refusalRetryAfter(why);
    std::string text = "HTTP/1.1 " + std::to_string(why.status) + " ";
    text.append(statusText(why.status)).append("\r\ncontent-type: application/json\r\n");
    if (!retryAfter.empty())
        text.append("retry-after: ").append(retryAfter).append("\r\n");
    text.append("content-length: ").append(std::to_string(body.size()));
    return text.append("\r\nconnection: close\r\n\r\n").append(body);
}

} // namespace orchidlead::net
