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

/// Kind of the backend servers of a service; determines the wire protocol.
enum class service_kind { Encoder, Retriever, Reranker, Engine, Plain };

template <>
inline constexpr std::array enumNames<service_kind>{
    enum_name<service_kind>{service_kind::Encoder, "encoder"},
    enum_name<service_kind>{service_kind::Retriever, "retriever"},
    enum_name<service_kind>{service_kind::Reranker, "reranker"},
    enum_name<service_kind>{service_kind::Engine, "engine"},
    enum_name<service_kind>{service_kind::Plain, "plain"},
};

/// Priority of requests; a lower value is served first.
enum class priority { High, Normal, Low };

template <>
inline constexpr std::array enumNames<priority>{
    enum_name<priority>{priority::High, "high"},
    enum_name<priority>{priority::Normal, "normal"},
    enum_name<priority>{priority::Low, "low"},
};

/// Bytes that are passed between stages without copying.
using payload = std::shared_ptr<const std::string>;

/// One stage of a rendered pipeline.
struct stage_plan
{
    stage_id id;
    service_id service;
    service_kind kind = service_kind::Plain;
    std::string path; ///< request path on the backend server
    bool repeatable = true; ///< whether the stage may run more than once
    /// Indices of the stages whose outputs it takes; all lower than its own.
    std::vector<std::uint32_t> inputs;
    milliseconds timeout{0}; ///< of one attempt; 0: only the request's deadline
    std::string model; ///< engines only
    std::uint32_t maxTokens = 0; ///< engines only
};

/// Limits of one customer on each node. 0: only the limits of the node apply.
struct customer_limits
{
    std::uint32_t maxOpenRequests = 0; ///< running and queued requests
};

/// A pipeline template rendered with one customer's parameters. Immutable; a request keeps its plan
/// to the end.
struct pipeline_plan
{
    pipeline_id id;
    customer_id customer;
    std::uint64_t configurationVersion = 0;
    std::vector<stage_plan> stages; ///< in topological order; the last one answers
    milliseconds deadline{0}; ///< default and maximum for requests
    orchidlead::priority priority = priority::Normal;
    std::uint32_t weight = 1; ///< relative share of the capacity
    customer_limits limits; ///< over all pipelines of the customer

    /// Returns whether every stage is repeatable.
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
