// Benchmark of the journal: a cycle of accept, attempt and done; the longest step with compaction; write
// amplification; time to start; and memory per live message. Times depend on the machine, counts do not.
#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "earlier_journal.h"
#include "state/journal.h"

namespace {

using namespace umberhoist::state;

double clock_seconds(clockid_t clock) {
  timespec t{};
  ::clock_gettime(clock, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

size_t heap_bytes() { return ::mallinfo2().uordblks + ::mallinfo2().hblkhd; }

Submission message(uint64_t number, size_t body) {
  char id[17];
  std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(number));
  Submission out;
  out.id = out.key = id;
  out.message_class = "order-update";
  out.destination = 7;
  out.body.assign(body, 'x');
  return out;
}

class Folder {
 public:
  Folder() {
    std::string pattern = std::filesystem::temp_directory_path() / "umberhoist-bench-XXXXXX";
    path = ::mkdtemp(pattern.data());
    files = make_posix_files(path);
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::filesystem::path path;
  std::unique_ptr<Files> files;
};

// Adapters that give the segmented journal and the earlier one the same interface.
struct SegmentedAdapter {
  SegmentedAdapter(Folder& folder, size_t disk) : journal(*folder.files, {disk, "n0", 6, 1}) {}
  void compact() { journal.compact(32 * 1024); }
  size_t written_bytes() const { return journal.written_bytes(); }
  size_t copied_bytes() const { return journal.copied_bytes(); }
  static constexpr const char* kName = "segments";
  Journal journal;
};
struct EarlierAdapter {
  EarlierAdapter(Folder& folder, size_t disk) : journal(folder.path, disk) {}
  void compact() {}
  size_t written_bytes() const { return 0; }  // not counted by this version
  size_t copied_bytes() const { return 0; }
  static constexpr const char* kName = "earlier";
  umberhoist::earlier::Journal journal;
};

template <class Adapter>
void bench_cycles(size_t disk, size_t body, int count) {
  Folder folder;
  Adapter adapter(folder, disk);
  auto& journal = adapter.journal;
  const double cpu = clock_seconds(CLOCK_PROCESS_CPUTIME_ID), wall = clock_seconds(CLOCK_MONOTONIC);
  for (int i = 0; i < count; ++i) {
    const Submission m = message(static_cast<uint64_t>(i), body);
    if (!journal.record_accepted(m, i) || !journal.record_attempt(m.id, 0, i, 0)) std::abort();
    journal.record_done(m.id);
    adapter.compact();
  }
  std::printf(
      "%s: cycle of %zu-byte bodies on %.0f MB: %.2f us CPU, %.0f a second, %.2f bytes written for each of "
      "bodies\n",
      Adapter::kName, body, static_cast<double>(disk) / 1e6,
      (clock_seconds(CLOCK_PROCESS_CPUTIME_ID) - cpu) / count * 1e6,
      count / (clock_seconds(CLOCK_MONOTONIC) - wall),
      static_cast<double>(adapter.written_bytes()) / (static_cast<double>(body) * count));
}

// Keeps `live` messages; in each step either the oldest or a random one ends and a new one is accepted.
template <class Adapter>
void bench_live_messages(size_t disk, size_t body, size_t live, bool oldest_first) {
  Folder folder;
  std::mt19937_64 random(3);
  const size_t before = heap_bytes();
  Adapter adapter(folder, disk);
  auto* const journal = &adapter.journal;
  std::vector<uint64_t> live_numbers;
  uint64_t next = 0;
  while (live_numbers.size() < live && journal->record_accepted(message(next, body), 1))
    live_numbers.push_back(next++);
  const double bytes_per_message =
      static_cast<double>(heap_bytes() - before) / static_cast<double>(live_numbers.size()) - 8;
  const size_t written_bytes = adapter.written_bytes();
  double longest = 0, longest_cpu = 0;
  size_t turns = 0, next_oldest = 0, turns_over_1_ms = 0, max_copied = 0;
  for (size_t i = 0; i < 2 * live; ++i) {
    const size_t victim = oldest_first ? next_oldest++ % live_numbers.size() : random() % live_numbers.size();
    const double begin = clock_seconds(CLOCK_MONOTONIC), cpu = clock_seconds(CLOCK_THREAD_CPUTIME_ID);
    const size_t copied_bytes = adapter.copied_bytes();
    journal->record_done(message(live_numbers[victim], 0).id);
    if (!journal->record_accepted(message(next, body), 1)) break;
    adapter.compact();
    const double elapsed = clock_seconds(CLOCK_MONOTONIC) - begin;
    longest = std::max(longest, elapsed);
    longest_cpu = std::max(longest_cpu, clock_seconds(CLOCK_THREAD_CPUTIME_ID) - cpu);
    turns_over_1_ms += elapsed > 1e-3;
    max_copied = std::max(max_copied, adapter.copied_bytes() - copied_bytes);
    live_numbers[victim] = next++;
    ++turns;
  }
  std::printf(
      "%s: %zu live of %zu bytes on %.0f MB, %s ends: %.0f bytes of memory each, %.2f bytes written for each "
      "of bodies, %zu turns: the longest %.2f ms, of CPU %.2f ms, %zu over 1 ms, at most %zu bytes copied in "
      "one\n",
      Adapter::kName, live_numbers.size(), body, static_cast<double>(disk) / 1e6,
      oldest_first ? "the oldest" : "any", bytes_per_message,
      static_cast<double>(adapter.written_bytes() - written_bytes) /
          (static_cast<double>(body * std::max<size_t>(1, turns))),
      turns, longest * 1e3, longest_cpu * 1e3, turns_over_1_ms, max_copied);
}

void bench_start(size_t records) {
  Folder folder;
  {
    Journal journal(*folder.files, {2'000'000'000, "n0", 6, 1});
    for (size_t i = 0; i < records / 4; ++i) {
      const Submission m = message(i, 200);
      journal.record_accepted(m, 1);
      journal.record_attempt(m.id, 0, 1, 0);
      journal.record_not_executed(m.id, 0);
      if (i % 10 != 0) journal.record_done(m.id);
    }
  }
  const double wall = clock_seconds(CLOCK_MONOTONIC);
  Journal journal(*folder.files, {2'000'000'000, "n0", 6, 2});
  size_t count = 0;
  journal.recover([&](RecoveredMessage) { ++count; });
  std::printf("a start with %zu records, %zu of them alive messages: %.2f s\n",
              journal.recovery_report().records, count, clock_seconds(CLOCK_MONOTONIC) - wall);
}

}  // namespace

int main() {
  bench_cycles<EarlierAdapter>(3'000'000, 200, 200'000);
  bench_cycles<SegmentedAdapter>(3'000'000, 200, 200'000);
  bench_cycles<EarlierAdapter>(3'000'000, 2000, 100'000);
  bench_cycles<SegmentedAdapter>(3'000'000, 2000, 100'000);
  for (const bool oldest_first : {true, false}) {
    bench_live_messages<EarlierAdapter>(3'000'000, 500, 2000, oldest_first);
    bench_live_messages<SegmentedAdapter>(3'000'000, 500, 2000, oldest_first);
    bench_live_messages<EarlierAdapter>(400'000'000, 2000, 100'000, oldest_first);
    bench_live_messages<SegmentedAdapter>(400'000'000, 2000, 100'000, oldest_first);
  }
  bench_start(1'000'000);
}
