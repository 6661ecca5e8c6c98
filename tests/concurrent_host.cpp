#include "concurrent_host.h"

#include <poll.h>

#include <stdexcept>

namespace firspool::testing {

ConcurrentHost::Arrival ConcurrentHost::next_request() {
  while (true) {
    std::vector<pollfd> waiting = {{listener_.fd(), POLLIN, 0}};
    for (const Socket& connection : connections_) waiting.push_back({connection.fd(), POLLIN, 0});
    if (::poll(waiting.data(), waiting.size(), kDeadlineMs) <= 0) throw std::runtime_error("no call came");
    for (size_t i = 0; i < connections_.size(); ++i) {
      if (!connections_[i].is_open() || waiting[i + 1].revents == 0) continue;
      if (auto request = read_request(connections_[i])) return {i, *request};
      connections_[i].close();
    }
    if (waiting[0].revents != 0) connections_.push_back(listener_.accept());
  }
}

void ConcurrentHost::respond(size_t connection, const std::string& status, const std::string& headers) {
  ASSERT_TRUE(connections_.at(connection)
                  .send("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: 2\r\n\r\nhi"));
}

}  // namespace firspool::testing
