#include "finished_records.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace firspool::relay {
namespace {

// Names of the journal's metadata. The value is a number that orders them, negative if the message failed.
const std::string kPrefix = "finished ";

}  // namespace

void FinishedRecords::add(const std::string& id, FinishedAs how, bool unsafe, Time now) {
  if (messages_.find(id)) return;
  messages_.add(id, how, unsafe, now);
  if (unsafe && !save(id, how)) unsaved_[id].how = how;
}

bool FinishedRecords::save(const std::string& id, FinishedAs how) {
  const auto number = static_cast<int64_t>(++last_number_);
  return journal_.put_metadata(kPrefix + id,
                               std::to_string(how == FinishedAs::kDelivered ? number : -number));
}

// Until the journal takes an id, no done record is written: after a restart a message without one that may
// have been executed is not sent.
void FinishedRecords::save_later() {
  for (auto next = unsaved_.begin(); next != unsaved_.end();) {
    const auto& [id, unsaved] = *next;
    if (!save(id, unsaved.how)) return;
    if (unsaved.done) journal_.record_done(id);
    next = unsaved_.erase(next);
  }
}

void FinishedRecords::record_done(const std::string& id) {
  const auto unsaved = unsaved_.find(id);
  if (unsaved == unsaved_.end()) return journal_.record_done(id);
  unsaved->second.done = true;
}

void FinishedRecords::drop(const std::vector<std::string>& ids) {
  for (const std::string& id : ids) journal_.drop_metadata(kPrefix + id);
}

void FinishedRecords::prune(Time now) { drop(messages_.take_forgotten(now)); }

// The times at which they ended are not known: each is remembered for the whole time once more.
void FinishedRecords::restore(const std::map<std::string, std::string>& metadata, Time now) {
  std::map<int64_t, std::pair<std::string, FinishedAs>> in_order;
  for (const auto& [name, value] : metadata) {
    if (!name.starts_with(kPrefix)) continue;
    const int64_t number = nlohmann::json::parse(value).get<int64_t>();
    const FinishedAs how = number > 0 ? FinishedAs::kDelivered : FinishedAs::kFailed;
    in_order[std::abs(number)] = {name.substr(kPrefix.size()), how};
  }
  for (const auto& [number, finished] : in_order) {
    messages_.add(finished.first, finished.second, true, now);
    last_number_ = static_cast<uint64_t>(number);
  }
  drop(messages_.take_excess());
}

}  // namespace firspool::relay
