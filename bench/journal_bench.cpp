// The journal's cost: a cycle of accept, attempt and done; the longest turn that compaction takes; bytes
// written for each byte handed in; a start; and memory for each live message. Times depend on the machine,
// counts do not.
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

double seconds(clockid_t clock) {
  timespec t{};
  ::clock_gettime(clock, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

size_t heap() { return ::mallinfo2().uordblks + ::mallinfo2().hblkhd; }

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

// The journal of segments, and the one before it, under the same hands.
struct Segments {
  Segments(Folder& folder, size_t disk) : journal(*folder.files, {disk, "n0", 6, 1}) {}
  void tidy() { journal.compact(32 * 1024); }
  size_t written() const { return journal.written_bytes(); }
  size_t copied() const { return journal.copied_bytes(); }
  static constexpr const char* kName = "segments";
  Journal journal;
};
struct Earlier {
  Earlier(Folder& folder, size_t disk) : journal(folder.path, disk) {}
  void tidy() {}
  size_t written() const { return 0; }  // it does not count
  size_t copied() const { return 0; }
  static constexpr const char* kName = "earlier";
  umberhoist::earlier::Journal journal;
};

template <class Kept>
void cycles(size_t disk, size_t body, int count) {
  Folder folder;
  Kept kept(folder, disk);
  auto& journal = kept.journal;
  const double cpu = seconds(CLOCK_PROCESS_CPUTIME_ID), wall = seconds(CLOCK_MONOTONIC);
  for (int i = 0; i < count; ++i) {
    const Submission m = message(static_cast<uint64_t>(i), body);
    if (!journal.record_accepted(m, i) || !journal.record_attempt(m.id, 0, i, 0)) std::abort();
    journal.record_done(m.id);
    kept.tidy();
  }
  std::printf(
      "%s: cycle of %zu-byte bodies on %.0f MB: %.2f us CPU, %.0f a second, %.2f bytes written for each of "
      "bodies\n",
      Kept::kName, body, static_cast<double>(disk) / 1e6,
      (seconds(CLOCK_PROCESS_CPUTIME_ID) - cpu) / count * 1e6, count / (seconds(CLOCK_MONOTONIC) - wall),
      static_cast<double>(kept.written()) / (static_cast<double>(body) * count));
}

// So many live messages, the oldest or any of them ending as new ones come.
template <class Kept>
void held(size_t disk, size_t body, size_t live, bool oldest_first) {
  Folder folder;
  std::mt19937_64 random(3);
  const size_t before = heap();
  Kept kept(folder, disk);
  auto* const journal = &kept.journal;
  std::vector<uint64_t> alive;
  uint64_t next = 0;
  while (alive.size() < live && journal->record_accepted(message(next, body), 1)) alive.push_back(next++);
  const double each = static_cast<double>(heap() - before) / static_cast<double>(alive.size()) - 8;
  const size_t written = kept.written();
  double longest = 0, longest_cpu = 0;
  size_t turns = 0, at = 0, over = 0, most = 0;
  for (size_t i = 0; i < 2 * live; ++i) {
    const size_t victim = oldest_first ? at++ % alive.size() : random() % alive.size();
    const double begin = seconds(CLOCK_MONOTONIC), cpu = seconds(CLOCK_THREAD_CPUTIME_ID);
    const size_t copied = kept.copied();
    journal->record_done(message(alive[victim], 0).id);
    if (!journal->record_accepted(message(next, body), 1)) break;
    kept.tidy();
    const double took = seconds(CLOCK_MONOTONIC) - begin;
    longest = std::max(longest, took);
    longest_cpu = std::max(longest_cpu, seconds(CLOCK_THREAD_CPUTIME_ID) - cpu);
    over += took > 1e-3;
    most = std::max(most, kept.copied() - copied);
    alive[victim] = next++;
    ++turns;
  }
  std::printf(
      "%s: %zu live of %zu bytes on %.0f MB, %s ends: %.0f bytes of memory each, %.2f bytes written for each "
      "of bodies, %zu turns: the longest %.2f ms, of CPU %.2f ms, %zu over 1 ms, at most %zu bytes copied in "
      "one\n",
      Kept::kName, alive.size(), body, static_cast<double>(disk) / 1e6, oldest_first ? "the oldest" : "any",
      each,
      static_cast<double>(kept.written() - written) /
          (static_cast<double>(body * std::max<size_t>(1, turns))),
      turns, longest * 1e3, longest_cpu * 1e3, over, most);
}

void start(size_t records) {
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
  const double wall = seconds(CLOCK_MONOTONIC);
  Journal journal(*folder.files, {2'000'000'000, "n0", 6, 2});
  size_t count = 0;
  journal.recover([&](RecoveredMessage) { ++count; });
  std::printf("a start with %zu records, %zu of them alive messages: %.2f s\n",
              journal.recovery_report().records, count, seconds(CLOCK_MONOTONIC) - wall);
}

}  // namespace

int main() {
  cycles<Earlier>(3'000'000, 200, 200'000);
  cycles<Segments>(3'000'000, 200, 200'000);
  cycles<Earlier>(3'000'000, 2000, 100'000);
  cycles<Segments>(3'000'000, 2000, 100'000);
  for (const bool oldest_first : {true, false}) {
    held<Earlier>(3'000'000, 500, 2000, oldest_first);
    held<Segments>(3'000'000, 500, 2000, oldest_first);
    held<Earlier>(400'000'000, 2000, 100'000, oldest_first);
    held<Segments>(400'000'000, 2000, 100'000, oldest_first);
  }
  start(1'000'000);
}
