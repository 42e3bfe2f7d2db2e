#pragma once

#include "wire/published_reader.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace orchidlead::wire {

/// One version of the published configuration, unchecked.
struct configuration_content
{
    std::uint64_t version = 0; ///< from 1
    std::string content; ///< YAML
};

/// Longest content that is accepted, in bytes.
inline constexpr std::size_t MaxConfigurationBytes = 1U << 20U;

/// The published configuration as a document.
struct configuration_document
{
    using value = configuration_content;
    static constexpr std::string_view Path = "/v1/configuration";
    /// Each byte of the content may be escaped to six.
    static constexpr std::size_t MaxAnswerBytes = 6 * MaxConfigurationBytes + 4096;

    [[nodiscard]] static result<value, read_error> parse(std::string_view body);
    [[nodiscard]] static std::uint64_t version(const value &read) { return read.version; }
};

/// Reads and watches the configuration service.
using configuration_service_client = published_reader<configuration_document>;

extern template class published_reader<configuration_document>;

} // namespace orchidlead::wire
