// Wiring and signals.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <exception>

#include "config.h"
#include "relay.h"

int main() {
  try {
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    firspool::relay::Relay relay(io, firspool::relay::load_config(), [](const auto& address) {
      std::fprintf(stderr, "listening on %s:%u\n", address.address().to_string().c_str(), address.port());
    });
    signals.async_wait([&relay](const boost::system::error_code& error, int) {
      if (!error) relay.stop();
    });
    io.run();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "umberhoist: %s\n", error.what());
    return 1;
  }
}
