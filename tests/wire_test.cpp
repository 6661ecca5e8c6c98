#include "wire.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace firspool::wire {
namespace {

std::string bytes(const std::string& hex) {
  std::string out;
  std::string digits;
  for (const char c : hex) {
    if (c != ' ') digits.push_back(c);
  }
  for (size_t i = 0; i + 1 < digits.size(); i += 2) {
    out.push_back(static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16)));
  }
  return out;
}

std::vector<InstanceEvent> decode(Decoder& decoder, uint32_t records, const std::string& hex) {
  const std::string body = bytes(hex);
  return decoder.decode({static_cast<uint32_t>(body.size()), records, 0}, body);
}

std::string error_of(uint32_t records, const std::string& hex) {
  Decoder decoder;
  try {
    decode(decoder, records, hex);
  } catch (const WireError& error) {
    return error.what();
  }
  return "";
}

template <typename T>
const T& event(const InstanceEvent& item) {
  return std::get<T>(std::get<Event>(item.event));
}

TEST(Wire, ReadsAHeader) {
  const Header header = decode_header(bytes("00000041 00000005 4020d3126e978d50"));
  EXPECT_EQ(header.length, 65u);
  EXPECT_EQ(header.records, 5u);
  EXPECT_EQ(header.clock, 8'412'250);
}

TEST(Wire, ReadsEventsOfTwoInstances) {
  Decoder decoder;
  const auto events = decode(decoder, 5,
                             "0c 0003"
                             "03 000ae1aa5d3a91c4 00 0000 91f03b7c55d20a64 40214df3b645a1cb 3f889374bc6a7efa"
                             "42640000 01"
                             "07 000000000000004d"
                             "0c 0005"
                             "06 000a0de90e6f2b19");
  ASSERT_EQ(events.size(), 3u);
  EXPECT_EQ(events[0].instance, 3);
  const auto& arrival = event<Arrival>(events[0]);
  EXPECT_EQ(arrival.id, 0x000ae1aa5d3a91c4u);
  EXPECT_EQ(arrival.key, 0x91f03b7c55d20a64u);
  EXPECT_EQ(arrival.due, 8'652'250);
  EXPECT_EQ(arrival.destination, 57);
  EXPECT_EQ(event<TimerFired>(events[1]).token, 77u);
  EXPECT_EQ(events[2].instance, 5);
  EXPECT_EQ(event<Withdrawn>(events[2]).id, 0x000a0de90e6f2b19u);
}

TEST(Wire, ReadsAnOutcomeWithAWaitAndAReport) {
  Decoder decoder;
  const auto events = decode(decoder, 2,
                             "0c 0003"
                             "05 000ae1aa5d3a91c4 0a124a07 1b5b 3f92f1a9fbe76c8b 02 00 000001f4 02"
                             "02 3f000000 40a00000");
  const auto& ended = event<AttemptEnded>(events.at(0));
  EXPECT_EQ(ended.endpoint, (Endpoint{0x0a124a07, 0x1b5b}));
  EXPECT_EQ(ended.duration, 18'500);
  EXPECT_EQ(ended.outcome, Outcome::kRefused);
  EXPECT_FALSE(ended.final);
  EXPECT_EQ(ended.retry_after, 500'000);
  EXPECT_EQ(ended.attempt, 2);
  EXPECT_EQ(ended.report, (std::vector<float>{0.5f, 5.0f}));
}

const char kEntryA[] = "01 00 3f800000 0a124a07 1b5b 0039 0000000000000000 0000";
const char kEntryB[] = "02 01 3fc00000 0a9011f2 1b84 0039 4018666666666666 0001";

TEST(Wire, ListNumbersAreResolvedInOrder) {
  Decoder decoder;
  const std::string view = "02 00000000 04 00000029";
  const auto events = decode(
      decoder, 5,
      std::string("0c 0003 0b 00000000 00000001") + kEntryA + view + "0b 00000000 00000001" + kEntryB + view);
  ASSERT_EQ(events.size(), 2u);
  const Member& first = event<MembersChanged>(events[0]).members->at(0);
  EXPECT_EQ(first.endpoint, (Endpoint{0x0a124a07, 0x1b5b}));
  EXPECT_EQ(first.state, HostState::kReady);
  EXPECT_EQ(first.destination, 57);
  const Member& second = event<MembersChanged>(events[1]).members->at(0);
  EXPECT_EQ(second.state, HostState::kDraining);
  EXPECT_EQ(second.zone, 1);
  EXPECT_EQ(second.kind, 1);
  EXPECT_DOUBLE_EQ(second.weight, 1.5);
}

TEST(Wire, AFailedViewNeedsNoList) {
  Decoder decoder;
  const auto events = decode(decoder, 2, "0c 0003 02 00000007 03 00000000");
  EXPECT_EQ(event<MembersChanged>(events.at(0)).form, MembersChanged::Form::kFailed);
}

TEST(Wire, ReadsStartKillProbeAndNote) {
  Decoder decoder;
  const auto events = decode(decoder, 5,
                             "0c 0003 01 0000000000000009 00000003 613d62 0a"
                             "08 0a9011f2 1b84 01 3f56f0068db8bac7 00 09 0002 0004 68692037");
  EXPECT_EQ(std::get<PowerOn>(events.at(0).event).settings, "a=b");
  EXPECT_TRUE(std::holds_alternative<Kill>(events.at(1).event));
  EXPECT_TRUE(event<ProbeEnded>(events.at(2)).ok);
  EXPECT_EQ(event<PeerMessage>(events.at(3)).bytes, "hi 7");
}

TEST(Wire, WritesActions) {
  Encoder out;
  const std::vector<Action> actions = {Send{0x000ae1aa5d3a91c4, {0x0a124a07, 0x1b5b}, 80'000},
                                       SetTimer{77, 8'912'250}};
  out.add_actions(3, actions);
  out.add_actions(4, {});
  const std::vector<Action> more = {
      Refuse{5, 300'000},           Fail{6},     Cancel{7, 1}, Probe{{1, 2}},
      CloseIdleConnections{{1, 2}}, WatchList{}, Log{"hi"},    NotifyPeers{"hi"}};
  out.add_actions(5, more);
  EXPECT_EQ(out.frame(), bytes("0000006e 0000000c"
                               "04 0003 07 000ae1aa5d3a91c4 0a124a07 1b5b 3fb47ae147ae147b"
                               "03 000000000000004d 4021d3126e978d50"
                               "04 0005 02 0000000000000005 3fd3333333333333 0c 0000000000000006"
                               "05 0000000000000007 01 0d 00000001 0002 01 00000001 0002 08 01"
                               "0a 0002 6869 0b ffff 0002 6869"));
}

TEST(Wire, PanicNamesItsInstance) {
  Encoder out;
  out.add_panic(3, "oh");
  EXPECT_EQ(out.frame(), bytes("00000008 00000002 04 0003 06 0002 6f68"));
}

TEST(Wire, SaysWhatIsMalformedAndWhere) {
  EXPECT_EQ(error_of(1, "0c 00"), "relay_id is cut short at byte 17");
  EXPECT_EQ(error_of(2, "0c 0003 63"), "unknown event code 99 at byte 19");
  EXPECT_EQ(error_of(1, "0b 00000000 ffffffff"), "nodes_list is cut short at byte 25");
  EXPECT_EQ(error_of(2, "0c 0003 01 0000000000000009 ffffffff"), "facts is cut short at byte 32");
  EXPECT_EQ(error_of(2, "0c 0003 02 00000001 00 00000000"), "view of an undefined list at byte 29");
  EXPECT_EQ(error_of(1, "07 000000000000004d"), "event before switch_to at byte 25");
  EXPECT_EQ(error_of(1, "0c 0003 ff"), "bytes left over at byte 19");
  EXPECT_THROW(decode_header(bytes("00000001 00000005 4020d3126e978d50")), WireError);
}

}  // namespace
}  // namespace firspool::wire
