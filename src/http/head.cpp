#include "http/head.h"

// clang-format off: Boost 1.74's header uses std::ostream without including it.
#include <boost/beast/http/status.hpp>

#include <ostream>
// clang-format on

#include <algorithm>
#include <array>

namespace orchidlead::http {

namespace {

constexpr std::array<std::string_view, 9> ConnectionFields{
    "connection", "keep-alive",        "proxy-connection", "te", "trailer", "upgrade",
    "expect",     "transfer-encoding", "content-length",
};

char lower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Blank = " \t";
    const auto begin = text.find_first_not_of(Blank);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(Blank) - begin + 1);
}

/// Returns the field names listed in the `Connection` fields.
std::vector<std::string_view> connectionOptions(const field_list &fields)
{
    std::vector<std::string_view> names;
    for (const auto &each : fields) {
        if (!equalsIgnoringCase(each.name, "connection"))
            continue;
        std::string_view rest = each.value;
        while (!rest.empty()) {
            const auto comma = rest.find(',');
            names.push_back(trimmed(rest.substr(0, comma)));
            rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
        }
    }
    return names;
}

void appendFields(std::string &out, const field_list &fields)
{
    for (const auto &each : fields)
        out.append(each.name).append(": ").append(each.value).append("\r\n");
    out.append("\r\n");
}

} // namespace

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, {}, lower, lower);
}

std::optional<std::string_view> findField(const field_list &fields, std::string_view name)
{
    for (const auto &each : fields) {
        if (equalsIgnoringCase(each.name, name))
            return each.value;
    }
    return std::nullopt;
}

bool isConnectionField(std::string_view name)
{
    return std::ranges::any_of(
        ConnectionFields, [&](std::string_view each) { return equalsIgnoringCase(each, name); });
}

field_list forwardedFields(const field_list &fields)
{
    const auto named = connectionOptions(fields);
    field_list forwarded;
    forwarded.reserve(fields.size() + 4);
    for (const auto &each : fields) {
        const bool isNamed = std::ranges::any_of(
            named, [&](std::string_view name) { return equalsIgnoringCase(name, each.name); });
        if (!isNamed && !isConnectionField(each.name))
            forwarded.push_back(each);
    }
    return forwarded;
}

std::string_view statusText(int status)
{
    const auto text = boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    return {text.data(), text.size()};
}

std::string formatHead(const request_head &head)
{
    std::string out;
    out.reserve(512);
    out.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
    appendFields(out, head.fields);
    return out;
}

std::string formatHead(const response_head &head)
{
    std::string out;
    out.reserve(256);
    out.append("HTTP/1.1 ").append(std::to_string(head.status)).append(" ").append(head.reason);
    out.append("\r\n");
    appendFields(out, head.fields);
    return out;
}

} // namespace orchidlead::http
