#pragma once

#include "standins/fleet.h"
#include "standins/workload.h"

#include <string>
#include <vector>

namespace orchidlead::standins {

/// Size of a fleet that serves both kinds of users.
struct demo_size
{
    std::vector<fleet_data_center> dataCenters;
    std::uint32_t vmsOfDataCenter = 3;
    std::uint32_t serversOfDataCenter = 2; ///< of each service
};

/// Makes the layout, ports included.
[[nodiscard]] fleet_layout makeDemoLayout(const demo_size &size);

/// Gives the pipeline templates and customers; customers' home data centres are taken in turn.
[[nodiscard]] std::string demoTemplatesAndCustomers(const demo_size &size);

/// Gives the requests of both kinds of users, `rate` a second in all. Sign-ups have
/// `signUpIdentity`: key homes are sure of themselves only in a fleet of some age, tickets are good
/// at once.
[[nodiscard]] workload makeDemoWorkload(double rate, request_identity signUpIdentity);

} // namespace orchidlead::standins
