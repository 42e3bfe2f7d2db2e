#pragma once

#include "standins/json_http.h"

#include <orchidlead/enum_names.h>

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <functional>
#include <map>
#include <string>

/// Reads maps of YAML field by field into the members of a structure. Each function throws a
/// `YAML::Exception` that names the place; unknown keys are refused.
namespace orchidlead::standins {

using field_reader = std::function<void(const YAML::Node &)>;
using field_table = std::map<std::string, field_reader, std::less<>>;

/// Reads a map whose keys are those of the table; each may be left out.
void readFields(const YAML::Node &map, const field_table &fields);

/// Reads a value of a built-in type.
template <class Value>
[[nodiscard]] field_reader into(Value &target)
{
    return [&target](const YAML::Node &node) { target = node.as<Value>(); };
}

/// Reads a number of milliseconds, with fractions.
template <class Rep, class Period>
[[nodiscard]] field_reader intoMillis(std::chrono::duration<Rep, Period> &target)
{
    return [&target](const YAML::Node &node) {
        const std::chrono::duration<double, std::milli> value{node.as<double>()};
        target = std::chrono::duration_cast<std::chrono::duration<Rep, Period>>(value);
    };
}

/// Reads the name of an enumeration's value.
template <class Enum>
[[nodiscard]] field_reader intoEnum(Enum &target)
{
    return [&target](const YAML::Node &node) {
        const auto value = fromName<Enum>(node.as<std::string>());
        if (!value)
            throw YAML::RepresentationException(node.Mark(), "unknown name");
        target = *value;
    };
}

/// Reads `ip:port`.
[[nodiscard]] field_reader intoAddress(socket_address &target);

} // namespace orchidlead::standins
