#pragma once

#include <orchidlead/ids.h>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace orchidlead::gateway {

/// Tells repeats of one request from other requests: equal for the same caller, host, target and
/// body, whatever id the attempt has, on every node.
struct request_digest
{
    static constexpr std::size_t Size = 16;
    std::array<std::uint8_t, Size> bytes{};

    // NOLINTNEXTLINE(modernize-use-nullptr): taken for a comparison with a null pointer
    friend auto operator<=>(const request_digest &, const request_digest &) = default;
};

/// What makes a request the same as another.
struct request_identity
{
    customer_id customer; ///< empty: anonymous
    std::string_view host;
    std::string_view target; ///< path and query
    std::string_view body;
};

[[nodiscard]] request_digest requestDigestOf(const request_identity &identity);
/// Gives the hexadecimal text, for logs.
[[nodiscard]] std::string toText(const request_digest &digest);

} // namespace orchidlead::gateway

template <>
struct std::hash<orchidlead::gateway::request_digest>
{
    std::size_t operator()(const orchidlead::gateway::request_digest &digest) const noexcept;
};
