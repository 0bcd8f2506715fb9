// Parsers for the values of a deployment file. Each throws InvalidValue with the reason.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <utility>

#include "deployment/faults.h"
#include "routing/time.h"

namespace rushhill::deployment {

// Bounds of a number, both included.
struct NumberRange {
  double least = 0;
  double most = 0;
};

// Bounds of an integer, both included.
struct IntegerRange {
  std::int64_t least = 0;
  std::int64_t most = 0;
};

double number_in(const std::string& text, NumberRange range);
std::int64_t integer_in(const std::string& text, IntegerRange range);
int int_in(const std::string& text, IntegerRange range);  // a range within int

// A span with its unit (us, ms, s, min, h), or 0: whole tenths of a millisecond, a week at most.
Duration span(const std::string& text);
Duration positive_span(const std::string& text);

// A size in bytes with its unit (B, KiB, MiB), from 1 byte to 1 GiB.
std::uint64_t bytes(const std::string& text);

bool yes_or_no(const std::string& text);

// A name of letters, digits and - _ . / :
std::string identifier(const std::string& text);
std::string optional_identifier(const std::string& text);  // may be empty

// A numeric address with its port, or fd:N for a socket that was inherited.
std::string socket_address(const std::string& text);
std::string optional_socket_address(const std::string& text);  // may be empty

// The value that stands beside the word; the words are listed in the fault in their order here.
template <typename Value>
Value one_of(const std::string& text, std::initializer_list<std::pair<const char*, Value>> words) {
  std::string all;
  for (const auto& [word, value] : words) {
    if (text == word) return value;
    all += std::string(all.empty() ? "" : ", ") + word;
  }
  throw InvalidValue("'" + text + "' is none of " + all);
}

}  // namespace rushhill::deployment
