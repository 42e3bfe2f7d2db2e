#include "standins/proof_marker.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace orchidlead::standins {

namespace {

constexpr std::string_view NoncePrefix = "nonce:";
constexpr std::string_view ProofPrefix = "proof:";
constexpr std::string_view NoNonce = "none";
constexpr std::size_t HexDigits = 16;

bool isHex(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

bool isNameCharacter(char c)
{
    return isHex(c) || (c >= 'g' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' || c == '_'
        || c == '.';
}

/// Takes the characters up to the next colon, or up to the first that can't be in a name.
std::string_view takeName(std::string_view &text)
{
    const auto end = std::find_if_not(text.begin(), text.end(), isNameCharacter);
    const std::string_view name = text.substr(0, static_cast<std::size_t>(end - text.begin()));
    text.remove_prefix(name.size());
    return name;
}

bool takeColon(std::string_view &text)
{
    if (text.empty() || text.front() != ':')
        return false;
    text.remove_prefix(1);
    return true;
}

std::optional<proof_marker> parseMarker(std::string_view text)
{
    const std::string_view stage = takeName(text);
    if (stage.empty() || !takeColon(text))
        return std::nullopt;
    const std::string_view nonce = takeName(text);
    if (nonce.empty() || !takeColon(text))
        return std::nullopt;
    const std::string_view digest = text.substr(0, HexDigits);
    if (digest.size() != HexDigits || !std::all_of(digest.begin(), digest.end(), isHex))
        return std::nullopt;
    return proof_marker{std::string(stage), std::string(nonce), std::string(digest)};
}

} // namespace

std::string toHex(std::uint64_t value)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    constexpr unsigned BitsOfDigit = 4;
    std::string text(HexDigits, '0');
    for (std::size_t i = HexDigits; i-- > 0; value >>= BitsOfDigit)
        text[i] = Digits[value & 0xfU];
    return text;
}

std::string contentDigest(std::string_view text)
{
    return toHex(XXH64(text.data(), text.size(), 0));
}

std::string nonceText(std::string_view nonce)
{
    return std::string(NoncePrefix) + std::string(nonce);
}

std::string findNonce(std::string_view text)
{
    for (std::size_t at = text.find(NoncePrefix); at != std::string_view::npos;
         at = text.find(NoncePrefix, at + 1)) {
        const std::string_view nonce = text.substr(at + NoncePrefix.size(), HexDigits);
        if (nonce.size() == HexDigits && std::all_of(nonce.begin(), nonce.end(), isHex))
            return std::string(nonce);
    }
    return std::string(NoNonce);
}

std::string toText(const proof_marker &marker)
{
    return std::string(ProofPrefix) + marker.stage + ":" + marker.nonce + ":" + marker.digest;
}

std::vector<proof_marker> findMarkers(std::string_view text)
{
    std::vector<proof_marker> markers;
    for (std::size_t at = text.find(ProofPrefix); at != std::string_view::npos;
         at = text.find(ProofPrefix, at + 1)) {
        const auto marker = parseMarker(text.substr(at + ProofPrefix.size()));
        if (marker && std::find(markers.begin(), markers.end(), *marker) == markers.end())
            markers.push_back(*marker);
    }
    return markers;
}

} // namespace orchidlead::standins
