// The fleet's side of a daemon: a thread of its own, as what lasts is synced before anything is said, and the
// daemon's loop is not to wait for a disk that it did not choose.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "fleet/config.h"
#include "fleet/fleet.h"

namespace umberhoist::fleet {

// Listens before it returns. Answers come on `daemon`'s thread. Throws std::exception with one line if the
// folder or the address cannot be used.
std::unique_ptr<Fleet> join(boost::asio::io_context& daemon, const Config& config, uint64_t seed);

// The common part of the version that this relay ran last, as the register told it: what a start runs until
// it hears of a newer one, whatever the relay's own file says. Empty: none.
std::string load_saved_version(const Config& config);

}  // namespace umberhoist::fleet
