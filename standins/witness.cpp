#include "standins/witness.h"

#include <cstdio>
#include <string_view>

namespace umberhoist {

uint64_t hash_bytes(std::string_view bytes) {
  uint64_t hash = 0xcbf29ce484222325;
  for (const char c : bytes) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  return hash;
}

std::string hex(uint64_t value) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(value));
  return out;
}

}  // namespace umberhoist
