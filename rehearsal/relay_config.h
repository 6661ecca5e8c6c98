// The configuration of a relay under rehearsal, in the form that the daemon reads.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "rehearsal/plan.h"

namespace umberhoist::rehearsal {

// `known`: the list as JSON text, as the agent gives it.
nlohmann::json relay_config(const Scenario& scenario, const Plan& plan, int relay, uint64_t seed,
                            const std::string& listen, const std::string& discovery,
                            const std::string& known);

// fleet.toml of a relay. `addresses`: of all relays, in their order; `folder`: its register's.
std::string fleet_config(const Scenario& scenario, int relay, const std::vector<std::string>& addresses,
                         const std::string& folder);

std::string zone_name(int zone);

}  // namespace umberhoist::rehearsal
