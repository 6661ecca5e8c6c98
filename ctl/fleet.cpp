#include "ctl/fleet.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "fleet/links.h"

namespace umberhoist::ctl {

FleetReply send_request(const std::string& address, register_pb::Ask question,
                        std::chrono::milliseconds wait) {
  using tcp = boost::asio::ip::tcp;
  const size_t colon = address.rfind(':');
  boost::system::error_code error;
  const auto host = boost::asio::ip::make_address_v4(address.substr(0, colon), error);
  const int port = colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
  if (error || port < 1 || port > 65535) {
    return {false, false, "'" + address + "' is no address; expected IPv4 and port, as 127.0.0.1:7101"};
  }
  register_pb::Frame frame;
  question.set_number(1);
  *frame.mutable_ask() = std::move(question);
  const std::string out = fleet::encode_frame(frame);

  boost::asio::io_context io;
  tcp::socket socket(io);
  FleetReply reply{false, false, "no answer from " + address + " in time"};
  std::string in;
  std::array<char, 65'536> bytes;
  std::function<void()> read = [&] {
    socket.async_read_some(boost::asio::buffer(bytes),
                           [&](const boost::system::error_code& failed, size_t got) {
                             if (failed) {
                               reply.text = address + ": " + failed.message();
                               return;
                             }
                             in.append(bytes.data(), got);
                             bool bad = false;
                             const auto told = fleet::decode_frame(in, bad);
                             if (bad) {
                               reply.text = address + " answers what is no frame";
                             } else if (!told) {
                               read();
                             } else {
                               reply = {true, told->told().done(), told->told().text()};
                             }
                           });
  };
  socket.async_connect({host, static_cast<uint16_t>(port)}, [&](const boost::system::error_code& failed) {
    if (failed) {
      reply.text = address + ": " + failed.message();
      return;
    }
    boost::asio::async_write(socket, boost::asio::buffer(out),
                             [&](const boost::system::error_code& lost, size_t) {
                               if (lost) reply.text = address + ": " + lost.message();
                             });
    read();
  });
  io.run_for(wait);
  return reply;
}

}  // namespace umberhoist::ctl
