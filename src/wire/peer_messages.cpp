#include "wire/peer_messages.h"

#include "wire/base64.h"

#include <algorithm>
#include <charconv>

namespace orchidlead::wire {

namespace {

constexpr std::string_view OriginField = "origin=";
constexpr std::string_view RemainingField = "&remaining_ms=";
constexpr milliseconds MaxRemaining{3'600'000};
constexpr std::size_t MaxVmBytes = 128;

bool isNameByte(char byte)
{
    const bool letter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    const bool digit = byte >= '0' && byte <= '9';
    return letter || digit || std::string_view{"-_.:"}.find(byte) != std::string_view::npos;
}

bool isVmName(std::string_view text)
{
    return !text.empty() && text.size() <= MaxVmBytes
        && std::all_of(text.begin(), text.end(), isNameByte);
}

std::optional<milliseconds> parseRemaining(std::string_view text)
{
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const milliseconds remaining{value};
    if (error != std::errc{} || end != text.data() + text.size() || remaining > MaxRemaining)
        return std::nullopt;
    return remaining;
}

} // namespace

Json::Value toJson(const configuration_fetch &message)
{
    Json::Value value;
    value["version"] = Json::Value::UInt64{message.version};
    return value;
}

std::optional<configuration_fetch> parseConfigurationFetch(const Json::Value &value)
{
    const auto version = unsignedMember(value, "version");
    if (!version)
        return std::nullopt;
    return configuration_fetch{*version};
}

Json::Value toJson(const configuration_content &message)
{
    Json::Value value;
    value["version"] = Json::Value::UInt64{message.version};
    value["content"] = message.content;
    return value;
}

std::optional<configuration_content> parseConfigurationContent(const Json::Value &value)
{
    const auto version = unsignedMember(value, "version");
    auto content = stringMember(value, "content");
    if (!version || *version == 0 || !content || content->size() > MaxConfigurationBytes)
        return std::nullopt;
    return configuration_content{*version, std::move(*content)};
}

Json::Value toJson(const gate_message &message)
{
    Json::Value value;
    value["from"] = message.from.value;
    value["bytes"] = encodeBase64(message.bytes);
    return value;
}

std::optional<gate_message> parseGateMessage(const Json::Value &value)
{
    auto from = stringMember(value, "from");
    const auto bytes = stringMember(value, "bytes");
    if (!from || !isVmName(*from) || !bytes)
        return std::nullopt;
    auto decoded = decodeBase64(*bytes);
    if (!decoded)
        return std::nullopt;
    return gate_message{vm_id{std::move(*from)}, std::move(*decoded)};
}

std::string composeForwardQuery(const forward_request &request)
{
    std::string query{OriginField};
    query += request.origin.value;
    query += RemainingField;
    query += std::to_string(request.remaining.count());
    return query;
}

std::optional<forward_request> parseForward(std::string_view query, std::string body)
{
    if (!query.starts_with(OriginField))
        return std::nullopt;
    query.remove_prefix(OriginField.size());
    const auto split = query.find(RemainingField);
    if (split == std::string_view::npos || !isVmName(query.substr(0, split)))
        return std::nullopt;
    const auto remaining = parseRemaining(query.substr(split + RemainingField.size()));
    if (!remaining)
        return std::nullopt;
    return forward_request{vm_id{std::string{query.substr(0, split)}}, *remaining, std::move(body)};
}

} // namespace orchidlead::wire
