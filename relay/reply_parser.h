// Parser of a host's reply. It keeps the few fields that the relay uses and drops the body, so that no reply
// takes more memory than its header is long.
#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace firspool::relay {

class ReplyParser : public boost::beast::http::basic_parser<false> {
 public:
  int status() const { return status_; }
  // Values of the first field of that name; empty if there is none.
  const std::string& retry_after() const { return retry_after_; }
  const std::string& load_report() const { return load_report_; }
  const std::string& egress_full() const { return egress_full_; }

 private:
  using Error = boost::system::error_code;
  using View = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb, View, View, int, Error&) override {}
  void on_response_impl(int code, View, int, Error&) override { status_ = code; }
  void on_field_impl(boost::beast::http::field name, View name_text, View value, Error&) override;
  void on_header_impl(Error&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>&, Error&) override {}
  std::size_t on_body_impl(View body, Error&) override { return body.size(); }
  void on_chunk_header_impl(std::uint64_t, View, Error&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, View body, Error&) override { return body.size(); }
  void on_finish_impl(Error&) override {}

  int status_ = 0;
  std::string retry_after_;
  std::string load_report_;
  std::string egress_full_;
};

}  // namespace firspool::relay
