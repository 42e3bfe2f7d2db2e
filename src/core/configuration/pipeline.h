#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace orchidlead {

/// What kind of backend server a service has; decides the wire protocol.
enum class service_kind { Encoder, Retriever, Reranker, Engine, Plain };

template <>
inline constexpr std::array enumNames<service_kind>{
    enum_name<service_kind>{service_kind::Encoder, "encoder"},
    enum_name<service_kind>{service_kind::Retriever, "retriever"},
    enum_name<service_kind>{service_kind::Reranker, "reranker"},
    enum_name<service_kind>{service_kind::Engine, "engine"},
    enum_name<service_kind>{service_kind::Plain, "plain"},
};

/// Order between requests: a lower value goes first.
enum class priority { High, Normal, Low };

template <>
inline constexpr std::array enumNames<priority>{
    enum_name<priority>{priority::High, "high"},
    enum_name<priority>{priority::Normal, "normal"},
    enum_name<priority>{priority::Low, "low"},
};

/// Bytes that are handed from stage to stage without being copied.
using payload = std::shared_ptr<const std::string>;

/// One stage of a rendered pipeline.
struct stage_plan
{
    stage_id id;
    service_id service;
    service_kind kind = service_kind::Plain;
    std::string path; ///< request path on the backend server
    bool repeatable = true; ///< whether a second run does no harm
    std::vector<std::uint32_t>
        inputs; ///< indices of the stages it waits for; all lower than its own
    milliseconds timeout{0}; ///< longest time for one attempt; 0: the request's deadline alone
    std::string model; ///< engines only
    std::uint32_t maxTokens = 0; ///< engines only
};

/// Bounds on what one customer may have in the system, on each node. 0: none but the node's own.
struct customer_limits
{
    std::uint32_t maxOpenRequests = 0; ///< running and waiting ones
};

/// A pipeline template rendered with one customer's parameters. Immutable; a request keeps the
/// plan that it began with.
struct pipeline_plan
{
    pipeline_id id;
    customer_id customer;
    std::uint64_t configurationVersion = 0;
    std::vector<stage_plan> stages; ///< in topological order; the last one gives the answer
    milliseconds deadline{0}; ///< default and upper bound of a request's deadline
    orchidlead::priority priority = priority::Normal;
    std::uint32_t weight = 1; ///< the customer's share of the capacity against other customers
    customer_limits limits; ///< of the customer, over all its pipelines

    /// Tells whether every stage may be run again.
    [[nodiscard]] bool repeatable() const
    {
        for (const auto &stage : stages) {
            if (!stage.repeatable)
                return false;
        }
        return true;
    }
};

} // namespace orchidlead
