// Wiring and signals.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <exception>

#include "config.h"
#include "relay.h"

namespace {

// A file that cannot be read whole or is not valid changes nothing.
void reload(firspool::relay::Relay& relay) {
  try {
    relay.reload(firspool::relay::load_config());
    std::fprintf(stderr, "configuration read again\n");
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

}  // namespace

int main() {
  try {
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);  // a file that may not grow is a write that fails, like any other
    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    firspool::relay::Relay relay(io, firspool::relay::load_config(), [](const auto& address) {
      std::fprintf(stderr, "listening on %s:%u\n", address.address().to_string().c_str(), address.port());
    });
    await_signal(signals, relay);
    io.run();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "umberhoist: %s\n", error.what());
    return 1;
  }
}
