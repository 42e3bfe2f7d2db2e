#include "gateway/quarantine/request_digest.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;

TEST_CASE("request_digest: repeats of a request have the same digest")
{
    const std::string body(1U << 20U, 'x');
    const auto first = requestDigestOf({customer_id("c"), "h.example", "/p/x?y=1", body});
    const auto again = requestDigestOf({customer_id("c"), "h.example", "/p/x?y=1", body});
    CHECK(toText(first) == toText(again));
    CHECK(std::hash<request_digest>{}(first) == std::hash<request_digest>{}(again));
}

TEST_CASE("request_digest: a different customer, host, target or body changes the digest")
{
    const std::vector<request_identity> others{
        {customer_id("c"), "h.example", "/p/x", "body"},
        {customer_id("d"), "h.example", "/p/x", "body"},
        {customer_id("c"), "i.example", "/p/x", "body"},
        {customer_id("c"), "h.example", "/p/y", "body"},
        {customer_id("c"), "h.example", "/p/x?", "body"},
        {customer_id("c"), "h.example", "/p/x", "bodY"},
        {customer_id("c"), "h.example", "/p/x", ""},
        // The same concatenated bytes, split at other positions.
        {customer_id("c"), "h.example/p", "/x", "body"},
        {customer_id("ch"), ".example", "/p/x", "body"},
        {customer_id(), "ch.example", "/p/x", "body"},
    };
    for (std::size_t left = 0; left < others.size(); ++left) {
        for (std::size_t right = left + 1; right < others.size(); ++right) {
            INFO("identities " << left << " and " << right);
            CHECK(toText(requestDigestOf(others[left])) != toText(requestDigestOf(others[right])));
        }
    }
}

TEST_CASE("request_digest: toText returns the hexadecimal form")
{
    request_digest digest;
    digest.bytes.front() = 0x0f;
    digest.bytes.back() = 0xa1;
    CHECK(toText(digest) == "0f0000000000000000000000000000a1");
}
