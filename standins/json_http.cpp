#include "standins/json_http.h"

#include <charconv>
#include <memory>
#include <utility>

namespace orchidlead::standins {

namespace {

constexpr int MaxJsonDepth = 64;

template <class Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace

std::optional<Json::Value> parseJson(std::string_view text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = MaxJsonDepth;
    builder["strictRoot"] = false;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr))
            return std::nullopt;
    } catch (const Json::Exception &) { // thrown where the nesting passes the limit
        return std::nullopt;
    }
    return value;
}

std::string toCompactJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

void respondJson(net::response_writer &response, int status, const Json::Value &body,
                 net::header_list headers)
{
    headers.push_back({"content-type", "application/json"});
    response.respond(status, headers, toCompactJson(body) + "\n");
}

void respondError(net::response_writer &response, int status, std::string_view message)
{
    Json::Value body;
    body["error"] = std::string(message);
    respondJson(response, status, body);
}

std::optional<std::string_view> queryParameter(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(pair.size() + 1, query.size()));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return pair.substr(equals + 1);
    }
    return std::nullopt;
}

std::optional<std::uint64_t> queryNumber(std::string_view query, std::string_view name)
{
    const auto text = queryParameter(query, name);
    if (!text)
        return std::nullopt;
    return parseNumber<std::uint64_t>(*text);
}

std::optional<socket_address> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
    if (!port)
        return std::nullopt;
    return socket_address{std::string(text.substr(0, colon)), *port};
}

std::string toText(const socket_address &address)
{
    return address.ip + ":" + std::to_string(address.port);
}

} // namespace orchidlead::standins
