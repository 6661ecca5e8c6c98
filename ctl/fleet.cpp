#include "ctl/fleet.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "fleet/links.h"

namespace umberhoist::ctl {
namespace {

constexpr uint64_t kRequestNumber = 1;  // the connection carries one request

}  // namespace

FleetReply send_request(const std::string& address, register_pb::Ask request,
                        std::chrono::milliseconds timeout) {
  using tcp = boost::asio::ip::tcp;
  const size_t colon = address.rfind(':');
  boost::system::error_code error;
  const auto host = boost::asio::ip::make_address_v4(address.substr(0, colon), error);
  const int port = colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
  if (error || port < 1 || port > 65535) {
    return {false, false, "'" + address + "' is no address; expected IPv4 and port, as 127.0.0.1:7101"};
  }
  register_pb::Frame frame;
  request.set_number(kRequestNumber);
  *frame.mutable_ask() = std::move(request);
  const std::string request_bytes = fleet::encode_frame(frame);

  boost::asio::io_context io;
  tcp::socket socket(io);
  FleetReply reply{false, false, "no answer from " + address + " in time"};
  std::string received;
  std::array<char, 65'536> buffer;
  std::function<void()> read = [&] {
    socket.async_read_some(
        boost::asio::buffer(buffer), [&](const boost::system::error_code& failure, size_t bytes_received) {
          if (failure) {
            reply.text = address + ": " + failure.message();
            return;
          }
          received.append(buffer.data(), bytes_received);
          bool malformed = false;
          const auto reply_frame = fleet::decode_frame(received, malformed);
          if (malformed) {
            reply.text = address + " answers what is no frame";
          } else if (!reply_frame) {
            read();
          } else if (!reply_frame->has_told() || reply_frame->told().number() != kRequestNumber) {
            reply.text = address + " answers another request";
          } else {
            reply = {true, reply_frame->told().done(), reply_frame->told().text()};
          }
        });
  };
  socket.async_connect({host, static_cast<uint16_t>(port)}, [&](const boost::system::error_code& failure) {
    if (failure) {
      reply.text = address + ": " + failure.message();
      return;
    }
    boost::asio::async_write(socket, boost::asio::buffer(request_bytes),
                             [&](const boost::system::error_code& write_error, size_t) {
                               if (write_error) reply.text = address + ": " + write_error.message();
                             });
    read();
  });
  io.run_for(timeout);
  return reply;
}

}  // namespace umberhoist::ctl
