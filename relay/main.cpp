// Entry point of the daemon: start-up and signals.
#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <exception>

#include "config.h"
#include "fleet/fleet.h"
#include "relay.h"
#ifdef UMBERHOIST_FLEET
#include "fleet/service.h"
#endif

namespace {

// If the process's own limit of descriptors is lower than the configured one, the lower one applies.
// Otherwise idle clients would take the descriptors that the watch, notices, calls and journal need.
constexpr size_t kMinDescriptors = 32;

firspool::relay::Config with_process_limit(firspool::relay::Config config) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= config.max_sockets) return config;
  if (limit.rlim_cur < kMinDescriptors) {
    throw std::invalid_argument("the process may hold " + std::to_string(limit.rlim_cur) +
                                " descriptors; expected " + std::to_string(kMinDescriptors) + " or more");
  }
  config.max_sockets = limit.rlim_cur;
  return config;
}

#ifdef UMBERHOIST_FLEET
constexpr size_t kFleetDescriptors = 12;  // listener, event loop, log, peers, folder, one file being read
constexpr size_t kMinSockets = 64;        // the same minimum as in the configuration
#endif

// A file that cannot be read or is invalid changes nothing.
void reload(firspool::relay::Relay& relay) {
  try {
    relay.reload(firspool::relay::load_config(),
                 [](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); });
  } catch (const std::exception& error) {
    std::fprintf(stderr, "configuration stays as it was: %s\n", error.what());
  }
}

void await_signal(boost::asio::signal_set& signals, firspool::relay::Relay& relay) {
  signals.async_wait([&](const boost::system::error_code& error, int number) {
    if (error) return;
    number == SIGHUP ? reload(relay) : relay.stop();
    await_signal(signals, relay);
  });
}

// Throws std::invalid_argument with one line if the fleet's file is invalid. Called before the listener
// opens.
std::unique_ptr<umberhoist::fleet::Fleet> join_fleet([[maybe_unused]] boost::asio::io_context& io,
                                                     firspool::relay::Config& config) {
  if (config.fleet_file.empty()) return nullptr;
#ifdef UMBERHOIST_FLEET
  const auto fleet = umberhoist::fleet::load_config(config.fleet_file);
  if (const std::string version = umberhoist::fleet::load_saved_version(fleet); !version.empty()) {
    config = with_process_limit(firspool::relay::with_common_settings(config, version));
  }
  // The fleet layer uses descriptors of this process too.
  const size_t fleet_descriptors = fleet.max_connections + fleet.voters.size() + kFleetDescriptors;
  if (config.max_sockets < fleet_descriptors + kMinSockets) {
    throw std::invalid_argument(config.fleet_file + ":1: connections are too many for limits.sockets of " +
                                std::to_string(config.max_sockets) + "; expected " +
                                std::to_string(fleet_descriptors + kMinSockets) + " sockets or more");
  }
  config.max_sockets -= fleet_descriptors;
  return umberhoist::fleet::join(io, fleet, config.seed);
#else
  throw std::invalid_argument(
      config.fleet_file + ":1: this build has no fleet support; expected one built with UMBERHOIST_FLEET");
#endif
}

}  // namespace

int main() {
  try {
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);  // a write over the file size limit fails like any other
    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    firspool::relay::Config config = with_process_limit(firspool::relay::load_config());
    std::unique_ptr<umberhoist::fleet::Fleet> fleet;
    try {
      fleet = join_fleet(io, config);
    } catch (const std::invalid_argument& error) {
      std::fprintf(stderr, "%s\n", error.what());
      return 2;
    }
    firspool::relay::Relay relay(
        io, config,
        [](const auto& address) {
          std::fprintf(stderr, "listening on %s:%u\n", address.address().to_string().c_str(), address.port());
        },
        nullptr, std::move(fleet));
    await_signal(signals, relay);
    io.run();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "umberhoist: %s\n", error.what());
    return 1;
  }
}
