#include "wire/json_text.h"

#include "wire/json_strictness.h"

#include <json/reader.h>
#include <json/writer.h>

#include <array>
#include <exception>
#include <limits>
#include <map>
#include <memory>

namespace orchidlead::wire {

namespace {

std::unique_ptr<Json::CharReader> makeStrictReader(int maxDepth)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = maxDepth;
    return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

// Making a reader takes longer than reading an entry of a list, and it may be used again. A program
// has a few bounds.
Json::CharReader &strictReader(const json_bounds &bounds)
{
    thread_local std::map<int, std::unique_ptr<Json::CharReader>> readers;
    auto &reader = readers[bounds.maxDepth];
    if (!reader)
        reader = makeStrictReader(bounds.maxDepth);
    return *reader;
}

constexpr std::size_t MaxErrorBytes = 200;

json_error shortened(std::string text)
{
    if (text.size() > MaxErrorBytes)
        text.resize(MaxErrorBytes);
    return {std::move(text)};
}

void appendControl(std::string &out, unsigned char byte)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    out += "\\u00";
    out += Digits[byte >> 4U];
    out += Digits[byte & 0xfU];
}

void appendAscii(std::string &out, char byte)
{
    constexpr unsigned char Delete = 0x7f;
    const auto code = static_cast<unsigned char>(byte);
    if (byte == '"' || byte == '\\') {
        out += '\\';
        out += byte;
    } else if (byte == '\n') {
        out += "\\n";
    } else if (code < ' ' || code == Delete) {
        appendControl(out, code);
    } else {
        out += byte;
    }
}

} // namespace

result<Json::Value, json_error> parseJson(std::string_view text, const json_bounds &bounds)
{
    if (text.size() > bounds.maxBytes)
        return failure(json_error{"larger than " + std::to_string(bounds.maxBytes) + " bytes"});
    if (const auto fault = findLenientJson(text))
        return failure(json_error{std::string(*fault)});
    Json::Value value;
    std::string errors;
    // The library throws when its nesting limit is passed; nothing else of it is let through.
    try {
        if (!strictReader(bounds).parse(text.data(), text.data() + text.size(), &value, &errors))
            return failure(shortened(std::move(errors)));
    } catch (const std::exception &error) {
        return failure(shortened(error.what()));
    }
    return value;
}

std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

void appendJsonString(std::string &out, std::string_view text)
{
    constexpr std::string_view Replacement = "\xef\xbf\xbd";
    out.reserve(out.size() + text.size() + 2);
    out += '"';
    while (!text.empty()) {
        const std::size_t length = utf8Length(text);
        if (length == 1)
            appendAscii(out, text.front());
        else if (length == 0)
            out += Replacement;
        else
            out += text.substr(0, length);
        text.remove_prefix(length == 0 ? 1 : length);
    }
    out += '"';
}

std::string_view sourceText(std::string_view text, const Json::Value &value)
{
    const auto begin = static_cast<std::size_t>(value.getOffsetStart());
    const auto end = static_cast<std::size_t>(value.getOffsetLimit());
    if (begin > end || end > text.size())
        return {};
    return text.substr(begin, end - begin);
}

const Json::Value *findMember(const Json::Value &object, std::string_view name)
{
    if (!object.isObject())
        return nullptr;
    return object.find(name.data(), name.data() + name.size());
}

std::optional<std::string> stringMember(const Json::Value &object, std::string_view name)
{
    const Json::Value *member = findMember(object, name);
    if (member == nullptr || !member->isString())
        return std::nullopt;
    return member->asString();
}

std::optional<std::uint64_t> unsignedMember(const Json::Value &object, std::string_view name)
{
    const Json::Value *member = findMember(object, name);
    if (member == nullptr || !member->isUInt64())
        return std::nullopt;
    return member->asUInt64();
}

std::optional<std::uint32_t> unsigned32Member(const Json::Value &object, std::string_view name)
{
    const auto value = unsignedMember(object, name);
    if (!value || *value > std::numeric_limits<std::uint32_t>::max())
        return std::nullopt;
    return static_cast<std::uint32_t>(*value);
}

std::optional<bool> boolMember(const Json::Value &object, std::string_view name)
{
    const Json::Value *member = findMember(object, name);
    if (member == nullptr || !member->isBool())
        return std::nullopt;
    return member->asBool();
}

} // namespace orchidlead::wire
