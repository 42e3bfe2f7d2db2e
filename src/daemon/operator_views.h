#pragma once

#include "core/node/node.h"
#include "core/node/node_control.h"
#include "daemon/operator_api.h"

#include <json/value.h>

#include <cstddef>
#include <optional>
#include <string>

namespace orchidlead::daemon {

/// Which part of a list is wanted.
struct page
{
    std::string after; ///< empty: from the first
    std::size_t limit = 200;
};

[[nodiscard]] Json::Value viewStatus(const node &state, const process_status &process);
[[nodiscard]] Json::Value viewVms(const node &state, const page &wanted, steady_time now);
[[nodiscard]] Json::Value viewServers(const node &state, const page &wanted);
[[nodiscard]] Json::Value viewStages(const node &state, const page &wanted);
[[nodiscard]] Json::Value viewCustomers(const node &state, const page &wanted);
[[nodiscard]] Json::Value viewConfiguration(const node_control &control, bool withContent);

/// Gives a customer's rendered pipelines; nothing where the customer isn't known.
[[nodiscard]] std::optional<Json::Value> viewPipelines(const node &state,
                                                       const customer_id &customer);

/// Gives the trace of a recent request; nothing where it isn't kept.
[[nodiscard]] std::optional<Json::Value> viewRequest(const node &state, const request_id &request);

} // namespace orchidlead::daemon
