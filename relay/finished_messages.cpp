#include "finished_messages.h"

#include <utility>

namespace firspool::relay {

void FinishedMessages::add(const std::string& id, FinishedAs how, bool saved, Time now) {
  if (!entries_.try_emplace(id, Entry{how, saved}).second) return;
  memory_bytes_ += memory_cost(id);
  if (saved) saved_bytes_ += saved_cost(id);
  (saved ? saved_order_ : unsaved_order_).push_back({now, id});
}

std::optional<FinishedAs> FinishedMessages::find(const std::string& id) const {
  const auto it = entries_.find(id);
  return it == entries_.end() ? std::nullopt : std::optional(it->second.how);
}

bool FinishedMessages::is_over(const std::deque<Position>& order, Time now, Time retention) const {
  return !order.empty() && now - order.front().added >= retention;
}

bool FinishedMessages::exceeds_limits() const {
  return memory_bytes_ > limits_.max_memory_bytes || saved_bytes_ > limits_.max_saved_bytes;
}

bool FinishedMessages::has_room_to_save(Time now) const {
  const bool has_disk = saved_bytes_ < limits_.max_saved_bytes;
  const bool has_memory = memory_bytes_ < limits_.max_memory_bytes || !unsaved_order_.empty();
  return (has_disk && has_memory) || is_over(saved_order_, now, kMinRetention);
}

std::string FinishedMessages::forget_oldest(std::deque<Position>& order) {
  std::string id = std::move(order.front().id);
  order.pop_front();
  const auto it = entries_.find(id);
  memory_bytes_ -= memory_cost(id);
  if (it->second.saved) saved_bytes_ -= saved_cost(id);
  entries_.erase(it);
  return id;
}

std::vector<std::string> FinishedMessages::take_forgotten(Time now) {
  std::vector<std::string> forgotten;
  while (is_over(unsaved_order_, now, kRetention) ||
         (memory_bytes_ > limits_.max_memory_bytes && !unsaved_order_.empty())) {
    forget_oldest(unsaved_order_);
  }
  while (is_over(saved_order_, now, kRetention) ||
         (exceeds_limits() && is_over(saved_order_, now, kMinRetention))) {
    forgotten.push_back(forget_oldest(saved_order_));
  }
  return forgotten;
}

std::vector<std::string> FinishedMessages::take_excess() {
  std::vector<std::string> forgotten;
  while (exceeds_limits() && !saved_order_.empty()) forgotten.push_back(forget_oldest(saved_order_));
  return forgotten;
}

}  // namespace firspool::relay
