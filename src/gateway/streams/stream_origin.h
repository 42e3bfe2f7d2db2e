#pragma once

#include "gateway/quarantine/request_digest.h"

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <string_view>

namespace orchidlead::gateway {

/// What wrote the first event of a stream. The stream may continue only on servers of this version.
struct stream_origin
{
    service_id service;
    software_version version;

    bool operator==(const stream_origin &) const = default;
};

/// The origin of one stream, as gateways send it to each other.
struct stream_origin_record
{
    request_digest stream;
    stream_origin origin;
    milliseconds lifetime{0}; ///< after which no client can continue the stream
};

/// Identifies a stream by the attempt that brought its first event, on every node alike. Attempts
/// of different customers never have the same identifier, so no customer learns anything about the
/// streams of another one.
[[nodiscard]] inline request_digest streamDigestOf(const customer_id &customer,
                                                   std::string_view firstAttempt)
{
    return digestOfTexts({customer.value, firstAttempt});
}

/// Identifies the runs of an attempt, as servers report them: without its customer.
[[nodiscard]] inline request_digest runDigestOf(std::string_view attempt)
{
    return digestOfTexts({attempt});
}

/// Identifies a stream in records of nodes and in reports of servers.
struct stream_name
{
    request_digest stream;
    request_digest run;
};

} // namespace orchidlead::gateway
