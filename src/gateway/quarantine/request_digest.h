#pragma once

#include <orchidlead/ids.h>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace orchidlead::gateway {

/// A digest of texts, equal on every node. As `requestDigestOf` it identifies repeats of the same
/// request, whatever the attempt id; it also identifies parts of prompts and streams.
struct request_digest
{
    static constexpr std::size_t Size = 16;
    std::array<std::uint8_t, Size> bytes{};

    // NOLINTNEXTLINE(modernize-use-nullptr): misdetected as a comparison with a null pointer
    friend auto operator<=>(const request_digest &, const request_digest &) = default;
};

/// The parts of a request by which its repeats are recognized.
struct request_identity
{
    customer_id customer; ///< empty: anonymous
    std::string_view host;
    std::string_view target; ///< path and query
    std::string_view body;
};

[[nodiscard]] request_digest requestDigestOf(const request_identity &identity);
/// Returns a cryptographic hash of a list of texts; different lists have different ones.
[[nodiscard]] request_digest digestOfTexts(std::initializer_list<std::string_view> texts);
/// Returns a number below `total` that is drawn from the digest, alike on every node.
[[nodiscard]] std::uint32_t drawFrom(const request_digest &digest, std::uint32_t total);
/// Returns the hexadecimal form, for logs.
[[nodiscard]] std::string toText(const request_digest &digest);

} // namespace orchidlead::gateway

template <>
struct std::hash<orchidlead::gateway::request_digest>
{
    std::size_t operator()(const orchidlead::gateway::request_digest &digest) const noexcept;
};
