#include "wire/server_news_json.h"

#include "wire/json_text.h"

#include <json/value.h>

namespace orchidlead::wire {

namespace {

constexpr std::size_t MaxDatagramBytes = 8192;
constexpr std::size_t MaxIdBytes = 256;
constexpr const char *Leaving = "leaving";
constexpr const char *Back = "back";

/// Gives the bytes that a name takes at most, with its escapes, quotes and comma.
std::size_t roomFor(const leaving_update &news)
{
    constexpr std::size_t LongestEscape = 6;
    constexpr std::size_t QuotesAndComma = 3;
    return news.server.value.size() * LongestEscape + QuotesAndComma;
}

bool takeNames(const Json::Value &root, const char *name, bool leaving,
               std::vector<leaving_update> &out)
{
    const Json::Value *names = findMember(root, name);
    if (names == nullptr)
        return true;
    if (!names->isArray())
        return false;
    for (const auto &entry : *names) {
        if (!entry.isString() || entry.asString().empty() || entry.asString().size() > MaxIdBytes)
            return false;
        out.push_back({backend_server_id{entry.asString()}, leaving});
    }
    return true;
}

} // namespace

std::vector<std::string> writeServerNews(const std::vector<leaving_update> &news,
                                         std::size_t maxBytes)
{
    constexpr std::size_t Frame = 32;
    std::vector<std::string> out;
    Json::Value current{Json::objectValue};
    std::size_t bytes = Frame;
    for (const auto &entry : news) {
        if (bytes + roomFor(entry) > maxBytes && !current.empty()) {
            out.push_back(writeJson(current));
            current = Json::Value{Json::objectValue};
            bytes = Frame;
        }
        bytes += roomFor(entry);
        current[entry.leaving ? Leaving : Back].append(entry.server.value);
    }
    if (!current.empty())
        out.push_back(writeJson(current));
    return out;
}

std::optional<std::vector<leaving_update>> readServerNews(std::string_view text)
{
    const auto parsed = parseJson(text, {MaxDatagramBytes});
    if (!parsed || !parsed.value().isObject())
        return std::nullopt;
    std::vector<leaving_update> out;
    if (!takeNames(parsed.value(), Leaving, true, out)
        || !takeNames(parsed.value(), Back, false, out))
        return std::nullopt;
    return out;
}

} // namespace orchidlead::wire
