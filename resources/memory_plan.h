// Divides the memory that a relay is allowed among its uses (docs/design/memory.md). Pure functions.
#pragma once

#include <cstddef>

namespace umberhoist::resources {

struct MemoryDemand {
  size_t memory_bytes = 0;  // limits.memory_mb
  size_t disk_bytes = 0;    // limits.disk_mb: the files in the state folder count as memory
  size_t client_connections = 0;
  size_t calls = 0;  // in flight at once
};

// All sizes are in bytes.
struct MemoryPlan {
  size_t journal = 0;  // largest size of the state folder
  size_t heap = 0;     // what a MemoryAccount may hold
  size_t clients = 0;  // of that: input and replies of all clients together
  size_t calls = 0;    // of that, set aside for calls in flight
  size_t finished_messages = 0;
  size_t host_list = 0;             // all known hosts: what clients and calls leave
  size_t host_list_text = 0;        // one list as discovery sends it
  size_t unpooled_input = 0;        // of one client, beside the pool of all
  size_t client_socket_buffer = 0;  // for SO_RCVBUF and for SO_SNDBUF
  size_t call_send_buffer = 0;
  size_t call_receive_buffer = 0;
};

// Heap of one call in flight: its buffers, its parser, and its entries in tables.
constexpr size_t kCallBytes = 16 * 1024;

// Throws std::invalid_argument with one line if the memory does not suffice.
MemoryPlan plan_memory(const MemoryDemand& demand);

}  // namespace umberhoist::resources
