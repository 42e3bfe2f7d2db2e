#include "gateway/quarantine/request_digest.h"

#include <openssl/evp.h>

#include <algorithm>
#include <cstring>
#include <memory>

namespace orchidlead::gateway {

namespace {

struct context_deleter
{
    void operator()(EVP_MD_CTX *context) const { EVP_MD_CTX_free(context); }
};

// With its length before it, so that no two identities have the same bytes.
void add(EVP_MD_CTX *context, std::string_view text)
{
    const std::uint64_t size = text.size();
    EVP_DigestUpdate(context, &size, sizeof size);
    EVP_DigestUpdate(context, text.data(), text.size());
}

} // namespace

// What is believed of one request decides whether another one with its digest is served. So the
// customer is the first that is hashed, and the hash is a cryptographic one: no caller can make a
// request that has the digest of somebody else's.
request_digest requestDigestOf(const request_identity &identity)
{
    // Kept, as making one costs more than hashing a short request.
    static const std::unique_ptr<EVP_MD_CTX, context_deleter> context(EVP_MD_CTX_new());
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view part :
         {std::string_view(identity.customer.value), identity.host, identity.target, identity.body})
        add(context.get(), part);
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> full{};
    EVP_DigestFinal_ex(context.get(), full.data(), nullptr);
    request_digest digest;
    std::copy_n(full.begin(), request_digest::Size, digest.bytes.begin());
    return digest;
}

std::string toText(const request_digest &digest)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    constexpr unsigned HalfByte = 4;
    constexpr unsigned LowHalf = 0xf;
    std::string text;
    text.reserve(2 * request_digest::Size);
    for (const unsigned each : digest.bytes) {
        text += Digits[each >> HalfByte];
        text += Digits[each & LowHalf];
    }
    return text;
}

} // namespace orchidlead::gateway

std::size_t std::hash<orchidlead::gateway::request_digest>::operator()(
    const orchidlead::gateway::request_digest &digest) const noexcept
{
    std::size_t start = 0;
    std::memcpy(&start, digest.bytes.data(), sizeof start);
    return start;
}
