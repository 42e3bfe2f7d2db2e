#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Text markers by which a caller recognises that an answer was made from its own request.
///
/// A caller puts `nonce:<16 hex digits>` into its input. Each stage stand-in puts
/// `proof:<stage>:<nonce>:<digest of its input>` into its output, and copies the markers that it
/// finds in the outputs of earlier stages. The whole answer then lists every stage that had a part
/// in it, and for whose input.
namespace orchidlead::standins {

/// One stage's mark in an answer.
struct proof_marker
{
    std::string stage;
    std::string nonce;
    std::string digest; ///< 16 hex digits

    friend auto operator<=>(const proof_marker &, const proof_marker &) = default;
};

/// Gives xxh64 as 16 hex digits.
[[nodiscard]] std::string contentDigest(std::string_view text);

/// Writes 16 hex digits.
[[nodiscard]] std::string toHex(std::uint64_t value);

/// Writes the text that a caller puts into its input.
[[nodiscard]] std::string nonceText(std::string_view nonce);

/// Finds the first nonce in a text, or "none".
[[nodiscard]] std::string findNonce(std::string_view text);

/// Writes a marker.
[[nodiscard]] std::string toText(const proof_marker &marker);

/// Finds all markers in a text, each once, in order of appearance.
[[nodiscard]] std::vector<proof_marker> findMarkers(std::string_view text);

} // namespace orchidlead::standins
