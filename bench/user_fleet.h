#pragma once

#include "standins/fleet.h"
#include "standins/workload.h"

#include <orchidlead/result.h>

#include <string>

namespace orchidlead::bench {

/// Everything of one user: its fleet, what is published, and its requests.
struct user_fleet
{
    standins::fleet_layout layout; ///< without ports
    std::string templatesAndCustomers; ///< YAML
    standins::workload work; ///< at 100 % load
};

/// Says which file couldn't be read.
struct user_fleet_error
{
    std::string what;
};

/// Makes the fleet of "vilistlasvork" or "ruta-lactea"; `directory` holds their files.
[[nodiscard]] result<user_fleet, user_fleet_error> makeUserFleet(const std::string &user,
                                                                 const std::string &directory);

} // namespace orchidlead::bench
