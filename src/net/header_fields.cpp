#include "net/header_fields.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace orchidlead::net {

namespace {

// False for tokens of the request line, HTTP/2 pseudo-header fields and internal tokens of
// libwebsockets.
bool isField(std::string_view name)
{
    const auto space = name.find(' ');
    return name.size() > 1 && name.front() != ':' && name.back() == ':'
        && space == std::string_view::npos;
}

std::string copyCustom(lws *wsi, const std::string &name)
{
    const std::string key = name + ":";
    const int length = lws_hdr_custom_length(wsi, key.c_str(), static_cast<int>(key.size()));
    if (length <= 0)
        return {};
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    const int copied = lws_hdr_custom_copy(wsi, value.data(), length + 1, key.c_str(),
                                           static_cast<int>(key.size()));
    value.resize(static_cast<std::size_t>(std::max(copied, 0)));
    while (!value.empty() && (value.back() == ' ' || value.back() == '\t'))
        value.pop_back();
    return value;
}

struct status_text
{
    int status;
    std::string_view text;
};

constexpr std::array StatusTexts{
    status_text{100, "Continue"},
    status_text{200, "OK"},
    status_text{201, "Created"},
    status_text{202, "Accepted"},
    status_text{204, "No Content"},
    status_text{304, "Not Modified"},
    status_text{400, "Bad Request"},
    status_text{401, "Unauthorized"},
    status_text{403, "Forbidden"},
    status_text{404, "Not Found"},
    status_text{405, "Method Not Allowed"},
    status_text{408, "Request Timeout"},
    status_text{409, "Conflict"},
    status_text{410, "Gone"},
    status_text{411, "Length Required"},
    status_text{413, "Content Too Large"},
    status_text{415, "Unsupported Media Type"},
    status_text{422, "Unprocessable Content"},
    status_text{429, "Too Many Requests"},
    status_text{431, "Request Header Fields Too Large"},
    status_text{500, "Internal Server Error"},
    status_text{501, "Not Implemented"},
    status_text{502, "Bad Gateway"},
    status_text{503, "Service Unavailable"},
    status_text{504, "Gateway Timeout"},
};

} // namespace

std::optional<std::string_view> findHeader(const header_list &headers, std::string_view name)
{
    for (const auto &header : headers) {
        if (header.name == name)
            return header.value;
    }
    return std::nullopt;
}

std::string copyHeader(lws *wsi, lws_token_indexes token)
{
    const int length = lws_hdr_total_length(wsi, token);
    if (length <= 0)
        return {};
    // For the separators of a field that occurs several times, and the terminating null character.
    constexpr int Spare = 64;
    std::string value(static_cast<std::size_t>(length) + Spare, '\0');
    const int copied = lws_hdr_copy(wsi, value.data(), length + Spare, token);
    value.resize(static_cast<std::size_t>(std::max(copied, 0)));
    return value;
}

header_list copyHeaders(lws *wsi, std::span<const std::string> custom)
{
    header_list headers;
    for (int token = 0; token < WSI_TOKEN_COUNT; ++token) {
        const auto index = static_cast<lws_token_indexes>(token);
        if (lws_hdr_total_length(wsi, index) <= 0)
            continue;
        const auto *text = lws_token_to_string(index);
        const std::string_view name = text ? reinterpret_cast<const char *>(text) : "";
        if (isField(name))
            headers.push_back(
                {std::string(name.substr(0, name.size() - 1)), copyHeader(wsi, index)});
    }
    for (const auto &name : custom) {
        if (auto value = copyCustom(wsi, name); !value.empty())
            headers.push_back({name, std::move(value)});
    }
    return headers;
}

std::string copyQuery(lws *wsi)
{
    std::string query;
    for (int i = 0;; ++i) {
        const int length = lws_hdr_fragment_length(wsi, WSI_TOKEN_HTTP_URI_ARGS, i);
        if (length <= 0)
            return query;
        std::string part(static_cast<std::size_t>(length) + 1, '\0');
        const int copied =
            lws_hdr_copy_fragment(wsi, part.data(), length + 1, WSI_TOKEN_HTTP_URI_ARGS, i);
        part.resize(static_cast<std::size_t>(std::max(copied, 0)));
        query += (query.empty() ? "" : "&") + part;
    }
}

std::optional<std::uint64_t> parseLength(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::size_t headerBytes(const header_list &headers)
{
    std::size_t bytes = 0;
    for (const auto &header : headers)
        bytes += header.name.size() + header.value.size();
    return bytes;
}

bool isValidField(const http_header &header)
{
    const auto breaksLine = [](char c) { return c == '\r' || c == '\n' || c == '\0'; };
    const auto isNameChar = [](unsigned char c) { return std::isgraph(c) != 0 && c != ':'; };
    return !header.name.empty() && std::ranges::all_of(header.name, isNameChar)
        && std::ranges::none_of(header.value, breaksLine);
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    const auto lower = [](unsigned char c) { return std::tolower(c); };
    return std::ranges::equal(a, b, {}, lower, lower);
}

std::string_view statusText(int status)
{
    const auto *row = std::ranges::find(StatusTexts, status, &status_text::status);
    return row == StatusTexts.end() ? "Status" : row->text;
}

} // namespace orchidlead::net
