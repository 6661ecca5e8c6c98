// The TOML library as all readers here take it.
#pragma once

#include <algorithm>
#include <string_view>

// Its assertions say that `[[= x` cannot come: it can, in a file that an operator wrote, and is then told as
// an error like any other; a build for tests is not to end on it.
#define TOML_ASSERT(expression) static_cast<void>(0)
#include <toml++/toml.h>

namespace umberhoist::state {

// Like the library's parse, with one error more: letters beyond ASCII are written as \uXXXX, in quotes. As
// they are, outside of quotes, they are no TOML, and the library's tables of them have holes that it takes
// for impossible; where quotes begin in a file that is wrong, only the library knows.
inline toml::table parse_toml(std::string_view text) {
  const auto beyond =
      std::find_if(text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) >= 0x80; });
  if (beyond != text.end()) {
    const auto line = static_cast<toml::source_index>(1 + std::count(text.begin(), beyond, '\n'));
    throw toml::parse_error("letters beyond ASCII; expected \\uXXXX, in quotes",
                            toml::source_position{line, 1});
  }
  return toml::parse(text);
}

// Names that are compared, printed and written into files again.
inline bool is_printable_ascii(std::string_view name) {
  return std::all_of(name.begin(), name.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

}  // namespace umberhoist::state
