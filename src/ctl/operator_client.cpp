#include "ctl/operator_client.h"

#include "core/settings/socket_address_text.h"
#include "ctl/table.h"
#include "wire/json_text.h"

#include <algorithm>

namespace orchidlead::ctl {

namespace {

constexpr std::size_t PageRows = 1000;
constexpr std::size_t MaxPages = 200; // a node that never ends a list doesn't hold the tool
constexpr int FirstSuccess = 200;
constexpr int FirstRedirect = 300;

std::string errorText(const api_answer &answer)
{
    const auto value = wire::parseJson(answer.body);
    const auto message =
        value ? wire::stringMember(value.value(), "error") : std::optional<std::string>();
    return "the node answered " + std::to_string(answer.status)
        + (message ? ": " + *message : std::string());
}

std::string pagePath(const std::string &path, std::size_t rows, const std::string &after)
{
    std::string full = path + "?limit=" + std::to_string(rows);
    if (!after.empty())
        full += "&after=" + urlEncoded(after);
    return full;
}

} // namespace

std::string urlEncoded(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    constexpr std::string_view Plain =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
    std::string encoded;
    for (const char each : text) {
        if (Plain.find(each) != std::string_view::npos) {
            encoded += each;
            continue;
        }
        const auto byte = static_cast<unsigned char>(each);
        encoded += '%';
        encoded += Digits[byte >> 4U];
        encoded += Digits[byte & 0xfU];
    }
    return encoded;
}

result<Json::Value, operator_error> askNode(const command_context &context, std::string_view method,
                                            const std::string &path)
{
    const flag_values &flags = context.line.flags;
    api_request request;
    request.address = flags.operators;
    request.method = method;
    request.path = path;
    request.timeout = flags.timeout;
    const auto answer = context.call(request);
    if (!answer)
        return operator_error{exit_code::Unreachable,
                              toText(flags.operators) + ": " + answer.error().what};
    if (answer.value().status < FirstSuccess || answer.value().status >= FirstRedirect)
        return operator_error{exit_code::Refused, errorText(answer.value())};
    auto value = wire::parseJson(answer.value().body);
    if (!value)
        return operator_error{exit_code::Unreachable,
                              toText(flags.operators)
                                  + ": the answer isn't JSON: " + value.error().what};
    return std::move(value).value();
}

result<Json::Value, operator_error> askList(const command_context &context, const std::string &path,
                                            const std::string &listName)
{
    const std::size_t wanted = context.line.flags.limit;
    Json::Value rows{Json::arrayValue};
    std::string after;
    for (std::size_t pages = 0; pages < MaxPages; ++pages) {
        const std::size_t left = wanted == 0 ? PageRows : wanted - rows.size();
        BOOST_OUTCOME_TRY(page,
                          askNode(context, "GET", pagePath(path, std::min(left, PageRows), after)));
        for (const auto &row : page[listName])
            rows.append(row);
        const auto next = wire::stringMember(page, "next");
        const bool enough = wanted != 0 && rows.size() >= wanted;
        if (!next || next->empty() || *next == after || enough) {
            page[listName] = std::move(rows);
            return std::move(page);
        }
        after = *next;
    }
    return operator_error{exit_code::Unreachable, "the list has no end"};
}

exit_code report(const command_context &context, const operator_error &error)
{
    context.to.error << "orchidctl: " << printable(error.message) << '\n';
    return error.code;
}

} // namespace orchidlead::ctl
