// A host that serves several connections, in the calling thread.
#pragma once

#include "peers.h"

namespace firspool::testing {

class ConcurrentHost {
 public:
  struct Arrival {
    size_t connection = 0;
    Request request;
    std::string id() const { return request.headers.at("x-call-id"); }
  };

  std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
  uint16_t port() const { return listener_.port(); }
  Arrival next_request();  // on any open connection or on a new one
  void respond(size_t connection, const std::string& status, const std::string& headers = "");
  Socket& connection(size_t number) { return connections_.at(number); }
  size_t connections() const { return connections_.size(); }

 private:
  Socket listener_ = Socket::listen();
  std::vector<Socket> connections_;
};

}  // namespace firspool::testing
