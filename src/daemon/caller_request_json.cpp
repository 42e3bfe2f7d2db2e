#include "daemon/caller_request_json.h"

#include "wire/json_text.h"

#include <json/value.h>

#include <algorithm>
#include <array>
#include <memory>

namespace orchidlead::daemon {

namespace {

constexpr std::array<std::string_view, 8> KnownFields{"customer",        "pipeline",   "input",
                                                      "deadline_ms",     "repeatable", "ticket",
                                                      "idempotency_key", "stream"};

constexpr std::size_t MaxQuotedBytes = 64;

using checked = result<void, caller_error>;

caller_error invalid(std::string detail)
{
    return {refusal_reason::InvalidRequest, std::move(detail)};
}

std::string quoted(std::string_view text)
{
    std::string out;
    wire::appendJsonString(out, text.substr(0, MaxQuotedBytes));
    return out;
}

checked checkFields(const Json::Value &root)
{
    for (const auto &name : root.getMemberNames()) {
        if (std::find(KnownFields.begin(), KnownFields.end(), name) == KnownFields.end())
            return failure(invalid("unknown field " + quoted(name)));
    }
    return success();
}

/// Reads a string of 1 to `maxBytes` bytes; absent where the field is.
result<std::optional<std::string>, caller_error>
optionalText(const Json::Value &root, std::string_view name, std::size_t maxBytes)
{
    const Json::Value *member = wire::findMember(root, name);
    if (member == nullptr)
        return std::optional<std::string>{};
    if (!member->isString())
        return failure(invalid(std::string(name) + ": expected a string"));
    std::string text = member->asString();
    if (text.empty() || text.size() > maxBytes) {
        return failure(
            invalid(std::string(name) + ": expected 1 to " + std::to_string(maxBytes) + " bytes"));
    }
    // An escaped lone surrogate passes the check of the body and decodes to bytes that aren't text.
    if (!wire::isUtf8(text) || text.find('\0') != std::string::npos)
        return failure(invalid(std::string(name) + ": expected Unicode text"));
    return std::optional<std::string>{std::move(text)};
}

result<std::string, caller_error> requiredText(const Json::Value &root, std::string_view name)
{
    BOOST_OUTCOME_TRY(text, optionalText(root, name, MaxNameBytes));
    if (!text)
        return failure(invalid(std::string(name) + ": missing"));
    return std::move(*text);
}

result<std::optional<bool>, caller_error> optionalFlag(const Json::Value &root,
                                                       std::string_view name)
{
    const Json::Value *member = wire::findMember(root, name);
    if (member == nullptr)
        return std::optional<bool>{};
    if (!member->isBool())
        return failure(invalid(std::string(name) + ": expected true or false"));
    return std::optional<bool>{member->asBool()};
}

result<std::optional<milliseconds>, caller_error> optionalDeadline(const Json::Value &root)
{
    const Json::Value *member = wire::findMember(root, "deadline_ms");
    if (member == nullptr)
        return std::optional<milliseconds>{};
    // A double that happens to be whole, such as 1e3, isn't taken: what is meant must be plain.
    const bool whole = member->type() == Json::intValue || member->type() == Json::uintValue;
    if (!whole || !member->isInt64() || member->asInt64() < 1
        || member->asInt64() > MaxDeadline.count()) {
        return failure(invalid("deadline_ms: expected a whole number from 1 to "
                               + std::to_string(MaxDeadline.count())));
    }
    return std::optional<milliseconds>{milliseconds{member->asInt64()}};
}

result<payload, caller_error> requiredInput(std::string_view body, const Json::Value &root)
{
    const Json::Value *member = wire::findMember(root, "input");
    if (member == nullptr)
        return failure(invalid("input: missing"));
    // The text is handed on as it was written: parsing and writing it anew would change numbers.
    return payload{std::make_shared<const std::string>(wire::sourceText(body, *member))};
}

result<Json::Value, caller_error> parseBody(std::string_view body, const caller_bounds &bounds)
{
    if (body.size() > bounds.maxBodyBytes) {
        return failure(
            caller_error{refusal_reason::TooLarge,
                         "body: larger than " + std::to_string(bounds.maxBodyBytes) + " bytes"});
    }
    auto parsed = wire::parseJson(body, {bounds.maxBodyBytes, bounds.maxDepth});
    if (!parsed)
        return failure(invalid("body: malformed JSON: " + parsed.error().what));
    if (!parsed.value().isObject())
        return failure(invalid("body: expected a JSON object"));
    return std::move(parsed.value());
}

/// Reads what is to be run.
result<caller_request, caller_error> readWork(std::string_view body, const Json::Value &root)
{
    BOOST_OUTCOME_TRY(customer, requiredText(root, "customer"));
    BOOST_OUTCOME_TRY(pipeline, requiredText(root, "pipeline"));
    BOOST_OUTCOME_TRY(input, requiredInput(body, root));
    caller_request request;
    request.customer = customer_id{std::move(customer)};
    request.pipeline = pipeline_id{std::move(pipeline)};
    request.input = std::move(input);
    return request;
}

/// Reads the name that makes copies of a request one.
checked readIdentity(const Json::Value &root, caller_request &request)
{
    BOOST_OUTCOME_TRY(ticket, optionalText(root, "ticket", MaxTicketBytes));
    BOOST_OUTCOME_TRY(key, optionalText(root, "idempotency_key", MaxIdempotencyKeyBytes));
    if (ticket && key)
        return failure(invalid("idempotency_key: not together with ticket"));
    request.ticket = std::move(ticket);
    request.idempotencyKey = std::move(key);
    return success();
}

/// Reads how it is to be run.
checked readTerms(const Json::Value &root, caller_request &request)
{
    BOOST_OUTCOME_TRY(deadline, optionalDeadline(root));
    BOOST_OUTCOME_TRY(repeatable, optionalFlag(root, "repeatable"));
    BOOST_OUTCOME_TRY(stream, optionalFlag(root, "stream"));
    request.deadline = deadline;
    request.repeatable = repeatable;
    request.stream = stream.value_or(false);
    return readIdentity(root, request);
}

} // namespace

result<caller_request, caller_error> parseCallerRequest(std::string_view body,
                                                        const caller_bounds &bounds)
{
    BOOST_OUTCOME_TRY(root, parseBody(body, bounds));
    BOOST_OUTCOME_TRY(checkFields(root));
    BOOST_OUTCOME_TRY(request, readWork(body, root));
    BOOST_OUTCOME_TRY(readTerms(root, request));
    if (request.hasTicketOrKey())
        request.body = std::make_shared<const std::string>(body);
    return std::move(request);
}

} // namespace orchidlead::daemon
