#include "deployment/ini_file.h"

#include <ini.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

namespace rushhill::deployment {
namespace {

constexpr std::size_t longest_line = 190;         // bytes; inih's buffer holds 200
constexpr std::size_t longest_section_name = 48;  // bytes; inih's buffer holds 50
constexpr int most_lines = 20'000;                // far above any fleet's tenants and request classes
constexpr std::string_view blanks = " \t\r";

// Why a line cannot be read.
struct LineFault {
  const char* key;
  const char* reason;
};

std::optional<LineFault> fault_of(std::string_view line) {
  if (line.find('\0') != std::string_view::npos) return LineFault{"line", "holds a zero byte"};
  if (line.size() > longest_line) return LineFault{"line", "is longer than 190 bytes"};
  if (line.starts_with('[')) {
    if (line.find(']') <= longest_section_name + 1) return std::nullopt;
    return LineFault{"section", "has no ] or a name longer than 48 bytes"};
  }
  if (line.find_first_not_of(blanks) == std::string_view::npos) return std::nullopt;
  if (line.front() == ' ' || line.front() == '\t') return LineFault{"line", "begins with a space"};
  const bool comment = line.front() == ';' || line.front() == '#';
  if (!comment && line.find_first_of("=:") == std::string_view::npos)
    return LineFault{"line", "is no section, no KEY = VALUE and no comment"};
  return std::nullopt;
}

// Hands a text to inih line by line and keeps what inih finds.
class IniReader {
 public:
  IniReader(std::string_view text, FaultCollector& faults) : rest_(text), faults_(faults) {}

  Sections read() {
    ini_parse_stream(&IniReader::on_line_wanted, this, &IniReader::on_entry, this);
    return std::move(sections_);
  }

 private:
  // inih asks for a line at a time, like fgets.
  static char* on_line_wanted(char* buffer, int size, void* self) {
    IniReader& reader = *static_cast<IniReader*>(self);
    if (!reader.lines_left()) return nullptr;
    const std::string_view line = reader.next_line();
    std::size_t length = std::min(line.size(), static_cast<std::size_t>(size) - 2);
    std::ranges::copy(line.substr(0, length), buffer);
    buffer[length++] = '\n';
    buffer[length] = 0;
    return buffer;
  }

  // Returns 1, inih's word for going on.
  static int on_entry(void* self, const char* section, const char* key, const char* value) {
    static_cast<IniReader*>(self)->add_entry(section, key, value == nullptr ? "" : value);
    return 1;
  }

  bool lines_left() {
    if (rest_.empty()) return false;
    if (line_ < most_lines) return true;
    faults_.add({line_, "file"}, "is longer than 20000 lines");
    rest_ = {};
    return false;
  }

  // A line with a fault is handed on as an empty one.
  std::string_view next_line() {
    ++line_;
    const std::size_t end = std::min(rest_.find('\n'), rest_.size());
    const std::string_view line = rest_.substr(0, end);
    rest_.remove_prefix(std::min(end + 1, rest_.size()));
    if (const auto fault = fault_of(line)) {
      faults_.add({line_, fault->key}, fault->reason);
      return {};
    }
    // A section stands also when no key follows.
    if (line.starts_with('[')) section_at(std::string(line.substr(1, line.find(']') - 1)));
    return line;
  }

  Section& section_at(const std::string& name) {
    return sections_.try_emplace(name, Section{.line = line_}).first->second;
  }

  void add_entry(const std::string& section, const std::string& key, const char* value) {
    if (section.empty()) {
      faults_.add({line_, key}, "stands before the first [section]");
      return;
    }
    const auto [it, inserted] = section_at(section).entries.try_emplace(key, Entry{value, line_});
    if (!inserted)
      faults_.add({line_, key}, "is written twice, first in line " + std::to_string(it->second.line));
  }

  std::string_view rest_;  // not yet read
  FaultCollector& faults_;
  int line_ = 0;
  Sections sections_;
};

}  // namespace

Sections read_sections(std::string_view text, FaultCollector& faults) {
  return IniReader(text, faults).read();
}

int line_of(const Sections& sections, KeyName name) {
  const auto found = sections.find(name.section);
  if (found == sections.end()) return 0;
  const auto entry = found->second.entries.find(name.key);
  return entry == found->second.entries.end() ? 0 : entry->second.line;
}

}  // namespace rushhill::deployment
