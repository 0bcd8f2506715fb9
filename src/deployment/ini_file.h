// The lines of an INI file as sections, keys and values, with the line of each.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "deployment/faults.h"

namespace rushhill::deployment {

// A value as written.
struct Entry {
  std::string value{};
  int line = 0;
};

// What stands under one [head], or under several of the same name.
struct Section {
  int line = 0;  // of its first head; of its first entry where the head stands behind a byte order mark
  std::map<std::string, Entry> entries{};
};

using Sections = std::map<std::string, Section>;

// Reads the whole text. What cannot be read becomes a fault and is left out.
Sections read_sections(std::string_view text, FaultCollector& faults);

// A key by its section and its name.
struct KeyName {
  const char* section;
  const char* key;
};

// The line in which a key is written; 0: it is not.
int line_of(const Sections& sections, KeyName name);

}  // namespace rushhill::deployment
