#pragma once

#include "core/settings/configuration_error.h"

#include <orchidlead/result.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead {

enum class yaml_kind { Null, Scalar, Sequence, Mapping };

/// A value of a YAML document and its position.
struct yaml_value
{
    yaml_kind kind = yaml_kind::Null;
    bool quoted = false; ///< scalars: in quotes, hence always a string
    int line = 0; ///< from 1
    int column = 0; ///< from 1
    std::string scalar;
    /// Items of a sequence, or alternating keys and values of a mapping.
    std::vector<yaml_value> items;
};

/// Returns the value of a key of a mapping, or null if there is none.
[[nodiscard]] const yaml_value *findKey(const yaml_value &mapping, std::string_view key);

/// Limits on the size of an untrusted document.
struct yaml_limits
{
    std::size_t maxBytes = std::size_t{1} << 20;
    std::size_t maxValues = 400'000;
    std::size_t maxDepth = 12;
};

/// Whether a document must end with the line `...`, which shows that it is not truncated.
enum class end_marker { Optional, Required };

/// Parses one document into a tree. Aliases, anchors and tags are rejected: no document needs them,
/// and a short text with aliases can expand to a huge document.
[[nodiscard]] result<yaml_value, configuration_error> parseYaml(std::string_view text,
                                                                std::string_view file,
                                                                end_marker marker,
                                                                const yaml_limits &limits = {});

} // namespace orchidlead
