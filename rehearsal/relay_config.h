// Writes the configuration files of a relay under rehearsal, in the format that the daemon reads.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "rehearsal/plan.h"

namespace umberhoist::rehearsal {

// `known` is the host list as JSON text, as returned by the discovery agent.
nlohmann::json relay_config(const Scenario& scenario, const Plan& plan, int relay, uint64_t seed,
                            const std::string& listen, const std::string& discovery,
                            const std::string& known);

// Returns the contents of fleet.toml for one relay. `addresses` holds the fleet addresses of all relays by
// number; `folder` is the folder of its register.
std::string fleet_config(const Scenario& scenario, int relay, const std::vector<std::string>& addresses,
                         const std::string& folder);

std::string zone_name(int zone);

}  // namespace umberhoist::rehearsal
