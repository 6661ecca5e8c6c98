// One question to a relay's fleet address, and its answer.
#pragma once

#include <chrono>
#include <string>

#include "register/register.pb.h"

namespace umberhoist::ctl {

struct FleetReply {
  bool received = false;  // false: nobody answered; `text` says why
  bool succeeded = false;
  std::string text;
};

// `address`: IPv4 and port. Waits for a connection and an answer no longer than `wait` in all.
FleetReply send_request(const std::string& address, register_pb::Ask question,
                        std::chrono::milliseconds wait = std::chrono::milliseconds(20'000));

}  // namespace umberhoist::ctl
