#include "rehearsal/relay_config.h"

namespace umberhoist::rehearsal {

using nlohmann::json;

std::string zone_name(int zone) { return std::string(1, static_cast<char>('a' + zone)); }

json relay_config(const Scenario& scenario, const Plan& plan, int relay, uint64_t seed,
                  const std::string& listen, const std::string& discovery, const std::string& known) {
  json zones = json::array(), kinds = json::array(), independent_endpoints = json::array(),
       batch_sizes = json::array();
  for (int i = 0; i < scenario.zones; ++i) zones.push_back(zone_name(i));
  for (const KindSpec& kind : scenario.kinds) {
    kinds.push_back(kind.name);
    independent_endpoints.push_back(false);
    batch_sizes.push_back(1);
  }
  json classes = json::array();
  for (const ClassSpec& c : scenario.classes) {
    classes.push_back({{"name", c.name},
                       {"semantics", c.effect == Effect::kSafe    ? "safe"
                                     : c.effect == Effect::kKeyed ? "keyed"
                                                                  : "unsafe"},
                       {"key_scope", "all"},
                       {"key_ttl_s", c.key_window_s},
                       {"target_s", c.aim_s},
                       {"give_up_s", c.give_up_s},
                       {"worth", c.worth},
                       {"late_worth", c.late_worth}});
  }
  json tenants = json::array();
  for (const TenantSpec& t : scenario.tenants)
    tenants.push_back({{"name", t.name}, {"quota_per_s", t.quota_per_s}});
  const auto seconds = [](Time t) { return static_cast<double>(t) / 1e6; };
  const json settings = {{"me", relay},
                         {"siblings", scenario.relays},
                         {"zone", relay % scenario.zones},
                         {"azs", zones},
                         {"kinds", kinds},
                         {"categories", classes},
                         {"family_info",
                          {{"calls_out", plan.slots},
                           {"kind_apart", independent_endpoints},
                           {"kind_batch", batch_sizes},
                           {"late", scenario.late == LateWorthDecay::kLinear ? "line" : "halves"}}},
                         {"bounds",
                          {{"open_cap", plan.max_open},
                           {"max_attempts", scenario.max_attempts},
                           {"streams_per_conn", 1},
                           {"may_probe", scenario.probes},
                           {"peers", false},
                           {"cancel", true},
                           {"conn_idle_s", scenario.idle_s},
                           {"connect_timeout_s", scenario.connect_timeout_s},
                           {"max_retry_after_s", 2.0},
                           {"retry_after", true}}},
                         {"obligations",
                          {{"answer_slack_s", 0.1},
                           {"stop_sending_within_s", seconds(scenario.rule_parameters.drain_grace)},
                           {"cold_s", seconds(scenario.rule_parameters.slow_start)},
                           {"fall_s", seconds(scenario.rule_parameters.overload_window)},
                           {"fall_multiple", scenario.rule_parameters.overload_factor},
                           {"start_capacity", scenario.rule_parameters.start_capacity}}},
                         {"realms", tenants},
                         {"over_share_worth", scenario.over_share_worth},
                         {"discovery", "push"},
                         {"weights", "nominal"},
                         {"resolution_s", 0.005}};
  char hex_seed[17];
  std::snprintf(hex_seed, sizeof hex_seed, "%016llx", static_cast<unsigned long long>(seed));
  return {{"name", "n" + std::to_string(relay)},
          {"listen", listen},
          {"discovery", discovery},
          {"seed", hex_seed},
          {"durability", scenario.group_durability ? "group" : "process"},
          {"limits",
           {{"cores", scenario.cores > 0 ? scenario.cores : 1.0},
            {"memory_mb", scenario.memory_mb},
            {"sockets", scenario.sockets},
            {"disk_mb", scenario.disk_mb}}},
          {"known", json::parse(known)},
          {"settings", settings}};
}

std::string fleet_config(const Scenario& scenario, int relay, const std::vector<std::string>& addresses,
                         const std::string& folder) {
  const auto index = static_cast<size_t>(relay);
  std::string out = "name = \"n" + std::to_string(relay) + "\"\nid = " + std::to_string(relay + 1) +
                    "\nlisten = \"" + addresses[index] + "\"\nfolder = \"" + folder + "\"\nzone = \"" +
                    zone_name(relay % scenario.zones) + "\"\n";
  for (size_t i = 0; i < (addresses.size() >= 9 ? 5U : 3U); ++i) {
    out += "[[voter]]\nname = \"n" + std::to_string(i) + "\"\nid = " + std::to_string(i + 1) +
           "\naddress = \"" + addresses[i] + "\"\n";
  }
  // A rehearsal is short, so the times are a third of those of an installation.
  return out +
         "[timing]\nbeat_ms = 100\nlease_ms = 700\ndead_ms = 1000\nelection_ms = 400\nheartbeat_ms = 80\n"
         "settle_ms = 800\n";
}

}  // namespace umberhoist::rehearsal
