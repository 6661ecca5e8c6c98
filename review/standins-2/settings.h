// The object "settings" of a small deployment, with the names of the wire's page.
#pragma once

#include <string>

namespace play {

struct Deployment {
  // [{"name":...,"semantics":...},...]
  std::string classes;
  std::string discovery = "push";
  int relays = 1;
  int slots = 16;
  int open_cap = 200;
  int max_attempts = 6;
  bool may_probe = false;
  double connect_timeout_s = 1;
  double idle_s = 10;
};

inline std::string settings_of(const Deployment& d) {
  const auto number = [](double value) { return std::to_string(value); };
  return "{\"azs\":[\"a\"],\"kinds\":[\"std\"],\"categories\":" + d.classes +
         ",\"bounds\":{\"cancel\":true,\"conn_idle_s\":" + number(d.idle_s) +
         ",\"connect_timeout_s\":" + number(d.connect_timeout_s) +
         ",\"max_attempts\":" + std::to_string(d.max_attempts) +
         ",\"max_retry_after_s\":2.0,\"may_duplicate\":false,\"may_probe\":" +
         (d.may_probe ? "true" : "false") + ",\"open_cap\":" + std::to_string(d.open_cap) +
         ",\"peers\":false,\"retry_after\":true,\"streams_per_conn\":1}" +
         ",\"client_habits\":{\"marks_retry\":false},\"discovery\":\"" + d.discovery +
         "\",\"family_info\":{\"calls_out\":" + std::to_string(d.slots) +
         ",\"kind_apart\":[false],\"kind_batch\":[1],\"late\":\"halves\",\"refused_price\":0.0}" +
         ",\"me\":0,\"siblings\":" + std::to_string(d.relays) +
         ",\"obligations\":{\"answer_slack_s\":0.02,\"ask_every_s\":10.0,\"cold_s\":12.0,"
         "\"fall_multiple\":2.0,\"fall_s\":3.0,\"start_capacity\":0.21,\"stop_sending_within_s\":1.0}" +
         ",\"prices\":{\"handshake\":0.04,\"waste\":0.03},\"realms\":[],\"resolution_s\":0.005," +
         "\"telemetry\":{\"fields\":[],\"how\":\"silent\"},\"tier\":0,\"weights\":\"nominal\",\"zone\":0}";
}

}  // namespace play
