// Runs the register's node of a daemon on a thread of its own: a node syncs to disk before it sends, and the
// daemon's event loop must not wait for that.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "fleet/config.h"
#include "fleet/fleet.h"

namespace umberhoist::fleet {

// Listens before it returns. Callbacks run on the thread of `daemon`. Throws std::exception with one line of
// text if the folder or the address cannot be used.
std::unique_ptr<Fleet> join(boost::asio::io_context& daemon, const Config& config, uint64_t seed);

// The common settings of the register's version that this relay ran last. After a start they apply until the
// register names a newer version, and override the relay's own file. Empty: none.
std::string load_saved_version(const Config& config);

}  // namespace umberhoist::fleet
