#include "reply_parser.h"

namespace firspool::relay {

void ReplyParser::on_field_impl(boost::beast::http::field name, View name_text, View value, Error&) {
  std::string* kept = nullptr;
  if (name == boost::beast::http::field::retry_after) kept = &retry_after_;
  if (boost::beast::iequals(name_text, "X-Load-Report")) kept = &load_report_;
  if (boost::beast::iequals(name_text, "X-Egress-Full")) kept = &egress_full_;
  if (kept != nullptr && kept->empty()) kept->assign(value.data(), value.size());
}

}  // namespace firspool::relay
