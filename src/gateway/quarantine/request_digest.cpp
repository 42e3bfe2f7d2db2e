#include "gateway/quarantine/request_digest.h"

#include <openssl/evp.h>

#include <algorithm>
#include <cstring>
#include <memory>

namespace orchidlead::gateway {

namespace {

struct digest_context_deleter
{
    void operator()(EVP_MD_CTX *context) const { EVP_MD_CTX_free(context); }
};

// Hashes the length before the text, so that different identities never hash the same bytes.
void updateWithField(EVP_MD_CTX *context, std::string_view text)
{
    const std::uint64_t size = text.size();
    EVP_DigestUpdate(context, &size, sizeof size);
    EVP_DigestUpdate(context, text.data(), text.size());
}

} // namespace

// The quarantine state of one request applies to every request with the same digest. The customer
// is therefore hashed first, and the hash is cryptographic: no caller can construct a request with
// the digest of another customer's request.
request_digest requestDigestOf(const request_identity &identity)
{
    return digestOfTexts({identity.customer.value, identity.host, identity.target, identity.body});
}

request_digest digestOfTexts(std::initializer_list<std::string_view> texts)
{
    // Reused, because creating a context costs more than hashing a short request.
    static const std::unique_ptr<EVP_MD_CTX, digest_context_deleter> context(EVP_MD_CTX_new());
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const auto &text : texts)
        updateWithField(context.get(), text);
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> fullHash{};
    EVP_DigestFinal_ex(context.get(), fullHash.data(), nullptr);
    request_digest digest;
    std::copy_n(fullHash.begin(), request_digest::Size, digest.bytes.begin());
    return digest;
}

std::uint32_t drawFrom(const request_digest &digest, std::uint32_t total)
{
    constexpr std::size_t Bytes = 4;
    constexpr unsigned BitsPerByte = 8;
    constexpr unsigned Bits = 32;
    std::uint64_t bits = 0;
    for (std::size_t i = 0; i < Bytes; ++i)
        bits = bits << BitsPerByte | digest.bytes.at(i);
    return static_cast<std::uint32_t>((bits * total) >> Bits);
}

std::string toText(const request_digest &digest)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    constexpr unsigned NibbleBits = 4;
    constexpr unsigned LowNibble = 0xf;
    std::string text;
    text.reserve(2 * request_digest::Size);
    for (const unsigned each : digest.bytes) {
        text += Digits[each >> NibbleBits];
        text += Digits[each & LowNibble];
    }
    return text;
}

} // namespace orchidlead::gateway

std::size_t std::hash<orchidlead::gateway::request_digest>::operator()(
    const orchidlead::gateway::request_digest &digest) const noexcept
{
    std::size_t prefix = 0;
    std::memcpy(&prefix, digest.bytes.data(), sizeof prefix);
    return prefix;
}
