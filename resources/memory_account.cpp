#include "resources/memory_account.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace umberhoist::resources {
namespace {

constexpr Time kQuietTime = 1'000'000;  // without a denial, until memory counts as free again
constexpr size_t kMegabyte = 1'000'000;

constexpr std::array<const char*, static_cast<size_t>(MemoryUse::kCount)> kNames = {
    "client connections", "client input", "client replies", "messages", "calls",
    "finished messages",  "notices",      "host list"};

bool is_of_client(MemoryUse use) {
  return use == MemoryUse::kClientInput || use == MemoryUse::kClientReplies;
}

std::string megabytes(size_t bytes) {
  const std::string tenths = std::to_string((bytes * 10 + kMegabyte / 2) / kMegabyte);
  return (tenths.size() > 1 ? tenths.substr(0, tenths.size() - 1) : "0") + "." + tenths.back();
}

}  // namespace

const char* name_of(MemoryUse use) { return kNames[static_cast<size_t>(use)]; }

size_t MemoryAccount::total() const { return std::accumulate(held_.begin(), held_.end(), size_t{0}); }

void MemoryAccount::release(MemoryUse use, size_t bytes) {
  held_[index(use)] -= std::min(held_[index(use)], bytes);
}

bool MemoryAccount::fits(MemoryUse use, size_t bytes) const {
  const size_t held = std::max(total(), measured_);
  if (held + bytes > plan_.heap) return false;
  const size_t of_clients = this->held(MemoryUse::kClientInput) + this->held(MemoryUse::kClientReplies);
  if (is_of_client(use)) return of_clients + bytes <= plan_.clients;
  const size_t free_for_clients = plan_.clients - std::min(plan_.clients, of_clients);
  const size_t free_for_calls = plan_.calls - std::min(plan_.calls, this->held(MemoryUse::kCalls));
  return held + bytes + free_for_clients + free_for_calls <= plan_.heap;
}

bool MemoryAccount::try_reserve(MemoryUse use, size_t bytes) {
  if (fits(use, bytes)) {
    add(use, bytes);
    return true;
  }
  denied_ = use;
  ++denials_;
  return false;
}

std::string MemoryAccount::description() const {
  const auto most = std::max_element(held_.begin(), held_.end());
  return megabytes(total()) + " MB of " + megabytes(plan_.heap) + " are held, " + megabytes(measured_) +
         " measured; most, " + megabytes(*most) + ", by " + kNames[static_cast<size_t>(most - held_.begin())];
}

std::optional<std::string> MemoryAccount::take_state_change(Time now) {
  if (const auto denied = std::exchange(denied_, {})) {
    denied_at_ = now;
    if (std::exchange(is_short_, true)) return {};
    return std::string("memory: none left for ") + name_of(*denied) + ": " + description();
  }
  if (!is_short_ || now - denied_at_ < kQuietTime) return {};
  is_short_ = false;
  return "memory: enough again, after " + std::to_string(std::exchange(denials_, 0)) +
         " refusals: " + description();
}

bool MemoryShare::try_grow_to(size_t bytes) {
  if (bytes <= bytes_) return true;
  if (!account_.try_reserve(use_, bytes - bytes_)) return false;
  bytes_ = bytes;
  return true;
}

void MemoryShare::set(size_t bytes) {
  if (bytes > bytes_) account_.add(use_, bytes - bytes_);
  if (bytes < bytes_) account_.release(use_, bytes_ - bytes);
  bytes_ = bytes;
}

}  // namespace umberhoist::resources
