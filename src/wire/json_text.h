#pragma once

#include "core/settings/utf8.h"

#include <orchidlead/result.h>

#include <json/value.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace orchidlead::wire {

using orchidlead::isUtf8;

/// Says why a text isn't usable JSON.
struct json_error
{
    std::string what;
};

/// Bounds on JSON that comes from outside.
struct json_bounds
{
    std::size_t maxBytes = 8U << 20U;
    int maxDepth = 64; ///< nested arrays and objects
};

/// Parses strict JSON: one root that is an object or array, no doubled keys, nothing after it.
[[nodiscard]] result<Json::Value, json_error> parseJson(std::string_view text,
                                                        const json_bounds &bounds = {});

/// Writes a value on one line.
[[nodiscard]] std::string writeJson(const Json::Value &value);

/// Appends `text` as a JSON string, quotes included. Bytes that aren't UTF-8 become U+FFFD.
void appendJsonString(std::string &out, std::string_view text);

/// Returns the part of `text` that `value`, parsed from it, was read from.
[[nodiscard]] std::string_view sourceText(std::string_view text, const Json::Value &value);

/// Readers of a member that may be absent or of another type.
[[nodiscard]] const Json::Value *findMember(const Json::Value &object, std::string_view name);
[[nodiscard]] std::optional<std::string> stringMember(const Json::Value &object,
                                                      std::string_view name);
[[nodiscard]] std::optional<std::uint64_t> unsignedMember(const Json::Value &object,
                                                          std::string_view name);
[[nodiscard]] std::optional<std::uint32_t> unsigned32Member(const Json::Value &object,
                                                            std::string_view name);
[[nodiscard]] std::optional<bool> boolMember(const Json::Value &object, std::string_view name);

} // namespace orchidlead::wire
