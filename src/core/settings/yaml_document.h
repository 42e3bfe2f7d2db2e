#pragma once

#include "core/settings/configuration_error.h"

#include <orchidlead/result.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead {

enum class yaml_kind { Null, Scalar, Sequence, Mapping };

/// One value of a YAML document, with where it stands.
struct yaml_value
{
    yaml_kind kind = yaml_kind::Null;
    bool quoted = false; ///< scalars: written in quotes, so it can only be a text
    int line = 0; ///< from 1
    int column = 0; ///< from 1
    std::string scalar;
    std::vector<yaml_value> items; ///< of a sequence; of a mapping: key, value, key, value …
};

/// Finds a key of a mapping, or returns null.
[[nodiscard]] const yaml_value *findKey(const yaml_value &mapping, std::string_view key);

/// Bounds on a document that arrives from outside.
struct yaml_limits
{
    std::size_t maxBytes = std::size_t{1} << 20;
    std::size_t maxValues = 400'000;
    std::size_t maxDepth = 12;
};

/// Whether a document has to end with the line `...`.
enum class end_marker { Optional, Required };

/// Reads one document into a tree. Aliases, anchors and tags are refused: nothing here needs them,
/// and aliases let a short text stand for a huge one.
[[nodiscard]] result<yaml_value, configuration_error> parseYaml(std::string_view text,
                                                                std::string_view file,
                                                                end_marker marker,
                                                                const yaml_limits &limits = {});

} // namespace orchidlead
