// The TOML library with the settings that all parsers of this project share.
#pragma once

#include <algorithm>
#include <string_view>

// The library asserts that input such as `[[= x` cannot occur. An operator's file may contain it; it has to
// be reported as a parse error and must not abort a build with assertions.
#define TOML_ASSERT(expression) static_cast<void>(0)
#include <toml++/toml.h>

namespace umberhoist::state {

// Like toml::parse, but rejects all characters beyond ASCII; they have to be written as \uXXXX in quotes.
// Outside of quotes they are not valid TOML, and the library's character tables have gaps that it treats as
// unreachable code. Only the library could tell where quotes begin in a malformed file, so the whole file is
// checked.
inline toml::table parse_toml(std::string_view text) {
  const auto non_ascii =
      std::find_if(text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) >= 0x80; });
  if (non_ascii != text.end()) {
    const auto line = static_cast<toml::source_index>(1 + std::count(text.begin(), non_ascii, '\n'));
    throw toml::parse_error("letters beyond ASCII; expected \\uXXXX, in quotes",
                            toml::source_position{line, 1});
  }
  return toml::parse(text);
}

// True if the name has only printable ASCII characters and no spaces, so that it can be compared, printed and
// written into files unchanged.
inline bool is_printable_ascii(std::string_view name) {
  return std::all_of(name.begin(), name.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

}  // namespace umberhoist::state
