#include "wire.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace firspool::wire {
namespace {

constexpr size_t kMemberBytes = 24;
constexpr uint32_t kMaxLists = 16;  // host lists are numbered below this
constexpr size_t kMaxTextBytes = 0xffff;

// Reads big-endian fields and tracks the position for error messages.
class Reader {
 public:
  Reader(std::string_view bytes, size_t origin) : bytes_(bytes), origin_(origin) {}

  size_t remaining() const { return bytes_.size() - at_; }
  size_t position() const { return origin_ + at_; }

  std::string_view read_bytes(size_t count, const char* field) {
    if (count > remaining()) fail(std::string(field) + " is cut short");
    at_ += count;
    return bytes_.substr(at_ - count, count);
  }

  template <typename T>
  T read_number(const char* field) {
    T value = 0;
    for (const char byte : read_bytes(sizeof(T), field)) {
      value = static_cast<T>((static_cast<uint64_t>(value) << 8) | static_cast<uint8_t>(byte));
    }
    return value;
  }

  uint8_t u8(const char* field) { return read_number<uint8_t>(field); }
  uint16_t u16(const char* field) { return read_number<uint16_t>(field); }
  uint32_t u32(const char* field) { return read_number<uint32_t>(field); }
  uint64_t u64(const char* field) { return read_number<uint64_t>(field); }
  float f32(const char* field) { return std::bit_cast<float>(u32(field)); }

  Time time(const char* field) {
    const double seconds = std::bit_cast<double>(u64(field));
    if (!(std::abs(seconds) < 1e12)) fail(std::string(field) + " is out of range");
    return std::llround(seconds * 1e6);
  }

  Endpoint endpoint() {
    Endpoint out;
    out.address = u32("host");
    out.port = u16("host");
    return out;
  }

  std::vector<float> report() {
    const size_t count = u8("metrics");
    if (count * sizeof(float) > remaining()) fail("metrics is cut short");
    std::vector<float> out(count);
    for (float& value : out) value = f32("metrics");
    return out;
  }

  [[noreturn]] void fail(const std::string& message) const {
    throw WireError(message + " at byte " + std::to_string(position()));
  }

 private:
  std::string_view bytes_;
  size_t origin_;
  size_t at_ = 0;
};

Member read_member(Reader& in) {
  Member out;
  const uint8_t state = in.u8("readiness");
  if (state > 2) in.fail("unknown readiness");
  out.state = state == 1 ? HostState::kReady : state == 2 ? HostState::kDraining : HostState::kRemoved;
  out.zone = in.u8("area");
  out.weight = in.f32("power_hint");
  if (!std::isfinite(out.weight)) out.weight = 0;
  out.endpoint = in.endpoint();
  out.destination = in.u16("cell");
  in.time("start_time_s");
  out.kind = in.u16("hw");
  return out;
}

Arrival read_arrival(Reader& in) {
  Arrival out;
  out.id = in.u64("op_id");
  out.message_class = in.u8("category");
  out.tenant = in.u16("customer");
  out.key = in.u64("entity");
  out.due = in.time("due_s");
  in.time("effort_s");
  const float destination = in.f32("terminates_at");
  if (!(destination >= 0 && destination <= 0xffff)) in.fail("terminates_at is out of range");
  out.destination = static_cast<int>(destination);
  in.u8("options");
  return out;
}

Outcome read_outcome(Reader& in) {
  constexpr Outcome kByCode[] = {
      Outcome::kError,         Outcome::kOk,    Outcome::kRefused,   Outcome::kTimeout,
      Outcome::kConnectFailed, Outcome::kReset, Outcome::kCancelled, Outcome::kNotStarted};
  const uint8_t code = in.u8("state_code");
  if (code >= std::size(kByCode)) in.fail("unknown state_code");
  return kByCode[code];
}

AttemptEnded read_attempt_ended(Reader& in) {
  AttemptEnded out;
  out.id = in.u64("op_id");
  out.endpoint = in.endpoint();
  out.duration = in.time("took_s");
  out.outcome = read_outcome(in);
  out.final = in.u8("final") != 0;
  const uint32_t note = in.u32("note");
  if (out.outcome == Outcome::kRefused) out.retry_after = Time{note} * 1000;
  out.attempt = in.u8("hop");
  out.report = in.report();
  return out;
}

ProbeEnded read_probe_ended(Reader& in) {
  ProbeEnded out;
  out.endpoint = in.endpoint();
  out.ok = read_outcome(in) == Outcome::kOk;
  out.duration = in.time("took_s");
  out.report = in.report();
  return out;
}

PeerMessage read_peer_message(Reader& in) {
  PeerMessage out;
  out.from = in.u16("by");
  const uint16_t count = in.u16("octets");
  out.bytes = in.read_bytes(count, "octets");
  return out;
}

template <typename T>
void put(std::string& out, T value) {
  for (int shift = 8 * (static_cast<int>(sizeof(T)) - 1); shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((static_cast<uint64_t>(value) >> shift) & 0xff));
  }
}

void put_time(std::string& out, Time value) {
  put(out, std::bit_cast<uint64_t>(static_cast<double>(value) / 1e6));
}

void put_endpoint(std::string& out, const Endpoint& endpoint) {
  put(out, endpoint.address);
  put(out, endpoint.port);
}

void put_text(std::string& out, std::string_view text) {
  text = text.substr(0, kMaxTextBytes);
  put(out, static_cast<uint16_t>(text.size()));
  out.append(text);
}

// Writes the code and the fields of one action.
struct ActionWriter {
  std::string& out;

  void operator()(const Send& a) const {
    put<uint8_t>(out, 7);
    put(out, a.id);
    put_endpoint(out, a.endpoint);
    put_time(out, a.timeout);
  }
  void operator()(const Refuse& a) const {
    put<uint8_t>(out, 2);
    put(out, a.id);
    put_time(out, a.retry_after);
  }
  void operator()(const Fail& a) const {
    put<uint8_t>(out, 12);
    put(out, a.id);
  }
  void operator()(const Cancel& a) const {
    put<uint8_t>(out, 5);
    put(out, a.id);
    put(out, static_cast<uint8_t>(a.attempt));
  }
  void operator()(const Probe& a) const {
    put<uint8_t>(out, 13);
    put_endpoint(out, a.endpoint);
  }
  void operator()(const CloseIdleConnections& a) const {
    put<uint8_t>(out, 1);
    put_endpoint(out, a.endpoint);
  }
  void operator()(const SetTimer& a) const {
    put<uint8_t>(out, 3);
    put(out, a.token);
    put_time(out, a.at);
  }
  void operator()(const WatchList&) const {
    put<uint8_t>(out, 8);
    put<uint8_t>(out, 1);
  }
  void operator()(const NotifyPeers& a) const {
    put<uint8_t>(out, 11);
    put<uint16_t>(out, 0xffff);
    put_text(out, a.bytes);
  }
  void operator()(const SaveDestinationState&) const {}
  void operator()(const Log& a) const {
    put<uint8_t>(out, 10);
    put_text(out, a.text);
  }
};

}  // namespace

Header decode_header(std::string_view bytes) {
  Reader in(bytes, 0);
  Header out;
  out.length = in.u32("length");
  out.records = in.u32("number of records");
  if (out.records > out.length) in.fail("number of records is impossible");
  out.clock = in.time("clock");
  return out;
}

std::vector<InstanceEvent> Decoder::decode(const Header& header, std::string_view body) {
  Reader in(body, kHeaderBytes);
  std::vector<InstanceEvent> out;
  int instance = -1;
  const auto add = [&](std::variant<Event, PowerOn, Kill> event) {
    if (instance < 0) in.fail("event before switch_to");
    out.push_back({instance, std::move(event)});
  };
  for (uint32_t i = 0; i < header.records; ++i) {
    const size_t start = in.position();
    const uint8_t code = in.u8("event code");
    switch (code) {
      case 1: {
        PowerOn event;
        event.seed = in.u64("prng");
        const uint32_t count = in.u32("facts");
        event.settings = in.read_bytes(count, "facts");
        add(std::move(event));
        break;
      }
      case 2: {
        const uint32_t ref = in.u32("ref");
        const uint8_t form = in.u8("form");
        in.u32("gen");
        MembersChanged event;
        if (form == 3) {
          event.form = MembersChanged::Form::kFailed;
        } else if (form == 0 || form == 2 || form == 4) {
          event.form = form == 0 ? MembersChanged::Form::kDelta : MembersChanged::Form::kFull;
          const auto list = lists_.find(ref);
          if (list == lists_.end()) in.fail("view of an undefined list");
          event.members = list->second;
        } else {
          in.fail("unknown form");
        }
        add(Event(std::move(event)));
        break;
      }
      case 3:
        add(Event(read_arrival(in)));
        break;
      case 4:  // the first part of a streamed answer: not used by this service type
        in.read_bytes(23, "first");
        break;
      case 5:
        add(Event(read_attempt_ended(in)));
        break;
      case 6:
        add(Event(Withdrawn{in.u64("op_id")}));
        break;
      case 7:
        add(Event(TimerFired{in.u64("mark")}));
        break;
      case 8:
        add(Event(read_probe_ended(in)));
        break;
      case 9:
        add(Event(read_peer_message(in)));
        break;
      case 10:
        add(Kill{});
        break;
      case 11: {
        const uint32_t ref = in.u32("ref");
        const uint32_t count = in.u32("nodes_list");
        if (ref >= kMaxLists) in.fail("list number is out of range");
        if (count > in.remaining() / kMemberBytes) in.fail("nodes_list is cut short");
        auto list = std::make_shared<std::vector<Member>>();
        list->reserve(count);
        for (uint32_t k = 0; k < count; ++k) list->push_back(read_member(in));
        lists_[ref] = std::move(list);
        break;
      }
      case 12:
        instance = in.u16("relay_id");
        break;
      default:
        throw WireError("unknown event code " + std::to_string(code) + " at byte " + std::to_string(start));
    }
  }
  if (in.remaining() > 0) in.fail("bytes left over");
  return out;
}

void Encoder::begin_instance(int instance) {
  put<uint8_t>(body_, 4);
  put(body_, static_cast<uint16_t>(instance));
  ++records_;
}

void Encoder::add_actions(int instance, std::span<const Action> actions) {
  const auto is_internal = [](const Action& action) {
    return std::holds_alternative<SaveDestinationState>(action);
  };
  if (std::all_of(actions.begin(), actions.end(), is_internal)) return;
  begin_instance(instance);
  for (const Action& action : actions) {
    if (std::holds_alternative<SaveDestinationState>(action)) continue;  // a simulated relay keeps no state
    std::visit(ActionWriter{body_}, action);
    ++records_;
  }
}

void Encoder::add_panic(int instance, std::string_view text) {
  begin_instance(instance);
  put<uint8_t>(body_, 6);
  put_text(body_, text);
  ++records_;
}

std::string Encoder::frame() const {
  std::string out;
  put(out, static_cast<uint32_t>(body_.size()));
  put(out, records_);
  return out + body_;
}

}  // namespace firspool::wire
