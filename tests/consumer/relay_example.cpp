// A minimal relay: one message arrives, is sent, and is delivered.
#include <cstdio>
#include <memory>
#include <variant>
#include <vector>

#include "firspool/policy.h"

int main() {
  firspool::Settings settings;
  settings.classes.resize(1);
  settings.classes[0].effect = firspool::Effect::kSafe;
  settings.classes[0].target = 1'000'000;
  settings.classes[0].give_up = 4'000'000;
  settings.kinds.resize(1);
  settings.slots = 4;
  settings.max_open = 100;
  settings.max_attempts = 3;

  firspool::Policy policy(settings, /*seed=*/1);
  std::vector<firspool::Event> events;
  firspool::MembersChanged list;
  list.members = std::make_shared<std::vector<firspool::Member>>(1);  // one endpoint of destination 0
  events.push_back(list);
  firspool::Arrival message;
  message.id = 7;
  message.due = 4'000'000;
  events.push_back(message);

  std::vector<firspool::Action> actions;
  policy.step(/*now=*/0, events, actions);
  for (const firspool::Action& action : actions) {
    if (const auto* send = std::get_if<firspool::Send>(&action)) {
      std::printf("send message %llu\n", static_cast<unsigned long long>(send->id));
      return 0;  // a real relay makes the call here and passes its AttemptEnded to a later step
    }
  }
  return 1;
}
