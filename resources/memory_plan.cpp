#include "resources/memory_plan.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace umberhoist::resources {
namespace {

constexpr size_t kKiB = 1024;
constexpr size_t kMegabyte = 1'000'000;  // the unit of limits.memory_mb

constexpr size_t kJournalDivisor = 3;            // the state folder takes at most this part of the memory
constexpr size_t kKernelDivisor = 8;             // socket buffers that the kernel holds for the relay
constexpr size_t kProcessBytes = 6 * kMegabyte;  // code, stacks, and the heap of an idle relay
// The rest is divided by these two into what may be held: the heap is never without gaps.
constexpr size_t kHeapLossNumerator = 4;
constexpr size_t kHeapLossDenominator = 5;
constexpr size_t kMinHeap = 2 * kMegabyte;

constexpr size_t kClientDivisor = 4;
constexpr size_t kMaxCallDivisor = 4;
constexpr size_t kFinishedDivisor = 16;
constexpr size_t kListTextDivisor = 8;  // while it is parsed a list takes several times its text
constexpr size_t kMaxListText = 8 * 1024 * kKiB;
constexpr size_t kMinUnpooledInput = 512;
constexpr size_t kMaxUnpooledInput = 4 * kKiB;

// Both directions of a connection, and the kernel doubles the size that it is given.
constexpr size_t kSocketBufferFactor = 4;
constexpr size_t kMinSocketBuffer = 4 * kKiB;
constexpr size_t kMaxSocketBuffer = 64 * kKiB;
constexpr size_t kMaxCallReceiveBuffer = 16 * kKiB;

size_t minimum_memory(size_t disk_bytes) {
  const size_t rest = kMinHeap * kHeapLossDenominator / kHeapLossNumerator + kProcessBytes;
  const size_t with_disk = (disk_bytes + rest) * kKernelDivisor / (kKernelDivisor - 1);
  // Where the folder is held to its part of the memory, the rest has to fit into the other parts.
  const size_t with_capped_disk = rest * kJournalDivisor * kKernelDivisor /
                                  (kJournalDivisor * kKernelDivisor - kKernelDivisor - kJournalDivisor);
  return std::min(with_disk, with_capped_disk);
}

size_t socket_buffer(size_t bytes, size_t connections) {
  return std::clamp(bytes / (kSocketBufferFactor * std::max<size_t>(1, connections)), kMinSocketBuffer,
                    kMaxSocketBuffer);
}

}  // namespace

MemoryPlan plan_memory(const MemoryDemand& demand) {
  const size_t minimum = minimum_memory(demand.disk_bytes);
  if (demand.memory_bytes < minimum) {
    throw std::invalid_argument("limits.memory_mb is too small; expected " +
                                std::to_string((minimum + kMegabyte - 1) / kMegabyte) + " or more");
  }
  MemoryPlan plan;
  plan.journal = std::min(demand.disk_bytes, demand.memory_bytes / kJournalDivisor);
  const size_t kernel = demand.memory_bytes / kKernelDivisor;
  plan.heap = (demand.memory_bytes - plan.journal - kernel - kProcessBytes) / kHeapLossDenominator *
              kHeapLossNumerator;
  plan.clients = plan.heap / kClientDivisor;
  plan.calls = std::min(plan.heap / kMaxCallDivisor, demand.calls * kCallBytes);
  plan.finished_messages = plan.heap / kFinishedDivisor;
  plan.host_list = plan.heap - plan.clients - plan.calls;
  plan.host_list_text = std::min(kMaxListText, plan.heap / kListTextDivisor);
  plan.unpooled_input = std::clamp(plan.clients / 2 / std::max<size_t>(1, demand.client_connections),
                                   kMinUnpooledInput, kMaxUnpooledInput);
  plan.client_socket_buffer = socket_buffer(kernel, demand.client_connections);
  plan.call_send_buffer = socket_buffer(kernel, demand.calls);
  plan.call_receive_buffer = std::min(plan.call_send_buffer, kMaxCallReceiveBuffer);
  return plan;
}

}  // namespace umberhoist::resources
