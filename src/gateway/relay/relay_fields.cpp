#include "gateway/relay/relay_fields.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace orchidlead::gateway {

namespace {

constexpr std::string_view ServerField = "Orchidlead-Relay-To";
constexpr std::string_view StartField = "Orchidlead-Relay-Server-Start";
constexpr std::string_view AgeField = "Orchidlead-Relay-Age-Ms";
constexpr std::string_view RequestField = "Orchidlead-Relay-Request";
constexpr std::string_view RepeatableField = "Orchidlead-Relay-Repeatable";
constexpr std::string_view ResultField = "Orchidlead-Relay-Result";
constexpr std::string_view EndsWithConnectionField = "Orchidlead-Relay-Ends-With-Connection";
constexpr std::string_view Yes = "1";
constexpr std::string_view EndOfLine = "\r\n";

void append(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append(EndOfLine);
}

std::optional<std::uint64_t> readStart(std::string_view text)
{
    std::uint64_t number = 0;
    const auto end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    return error == std::errc{} && stop == end ? std::optional(number) : std::nullopt;
}

milliseconds readAge(std::string_view text)
{
    std::int64_t number = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return milliseconds{error == std::errc{} ? std::max<std::int64_t>(0, number) : 0};
}

} // namespace

void insertOrder(std::string &head, const relay_order &order)
{
    std::string fields;
    append(fields, ServerField, order.server.value);
    if (order.startedAt)
        append(fields, StartField, std::to_string(*order.startedAt));
    append(fields, AgeField, std::to_string(order.age.count()));
    if (!order.request.empty())
        append(fields, RequestField, order.request);
    if (order.repeatable)
        append(fields, RepeatableField, Yes);
    // Before the empty line. Of several fields of a name, the last one counts.
    const auto end = head.find("\r\n\r\n");
    if (end != std::string::npos)
        head.insert(end + EndOfLine.size(), fields);
}

std::optional<relay_order> takeOrder(http::field_list &fields)
{
    std::optional<std::string> server;
    relay_order read;
    std::erase_if(fields, [&](const http::field &each) {
        if (http::equalsIgnoringCase(each.name, ServerField))
            server = each.value;
        else if (http::equalsIgnoringCase(each.name, StartField))
            read.startedAt = readStart(each.value);
        else if (http::equalsIgnoringCase(each.name, AgeField))
            read.age = readAge(each.value);
        else if (http::equalsIgnoringCase(each.name, RequestField))
            read.request = each.value;
        else if (http::equalsIgnoringCase(each.name, RepeatableField))
            read.repeatable = each.value == Yes;
        else
            return false;
        return true;
    });
    if (!server)
        return std::nullopt;
    read.server = backend_server_id(*server);
    return read;
}

http::field toField(relay_result what)
{
    return {std::string(ResultField), std::string(toName(what))};
}

std::optional<relay_result> findResult(const http::field_list &fields)
{
    const auto value = http::findField(fields, ResultField);
    return value ? fromName<relay_result>(*value) : std::nullopt;
}

std::optional<relay_result> takeResult(http::field_list &fields)
{
    const auto found = findResult(fields);
    std::erase_if(fields, [](const http::field &each) {
        return http::equalsIgnoringCase(each.name, ResultField);
    });
    return found;
}

http::field endsWithConnectionField()
{
    return {std::string(EndsWithConnectionField), std::string(Yes)};
}

bool takeEndsWithConnection(http::field_list &fields)
{
    return std::erase_if(fields,
                         [](const http::field &each) {
                             return http::equalsIgnoringCase(each.name, EndsWithConnectionField);
                         })
        > 0;
}

} // namespace orchidlead::gateway
