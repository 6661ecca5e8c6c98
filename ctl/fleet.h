// Sends one operator request to a relay's fleet address and waits for the reply.
#pragma once

#include <chrono>
#include <string>

#include "register/register.pb.h"

namespace umberhoist::ctl {

struct FleetReply {
  bool received = false;  // false: there was no reply; `text` says why
  bool succeeded = false;
  std::string text;
};

// `address` is an IPv4 address and port. Connecting and waiting for the reply take at most `timeout` in
// total.
FleetReply send_request(const std::string& address, register_pb::Ask request,
                        std::chrono::milliseconds timeout = std::chrono::milliseconds(20'000));

}  // namespace umberhoist::ctl
