// Wire format of the simulator: decodes frames into events and encodes actions into frames.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "firspool/policy.h"

namespace firspool::wire {

// A malformed frame; the text says what is wrong and at which byte.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Starts an instance, or restarts it without its state.
struct PowerOn {
  uint64_t seed = 0;
  std::string settings;  // text for parse_settings
};

// Ends an instance without notice.
struct Kill {};

struct InstanceEvent {
  int instance = 0;
  std::variant<Event, PowerOn, Kill> event;
};

struct Header {
  uint32_t length = 0;   // bytes of the body that follows
  uint32_t records = 0;  // records in the body
  Time clock = 0;
};

constexpr size_t kHeaderBytes = 16;

// Throws WireError.
Header decode_header(std::string_view bytes);

// Decodes the records of batches, in order. Host lists are used across batches, so use one decoder per input.
// Throws WireError.
class Decoder {
 public:
  std::vector<InstanceEvent> decode(const Header& header, std::string_view body);

 private:
  std::map<uint32_t, std::shared_ptr<const std::vector<Member>>> lists_;
};

// Builds the frame of one reply.
class Encoder {
 public:
  void add_actions(int instance, std::span<const Action> actions);
  void add_panic(int instance, std::string_view text);
  std::string frame() const;

 private:
  void begin_instance(int instance);

  std::string body_;
  uint32_t records_ = 0;
};

}  // namespace firspool::wire
