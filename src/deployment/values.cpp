#include "deployment/values.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <sstream>
#include <string_view>

namespace rushhill::deployment {
namespace {

constexpr double longest_span = 7 * 24 * 3600.0;  // seconds; a week is a mistake for every key here
constexpr double ticks_per_second = 1e4;
constexpr double rounding_error = 1e-6;  // ticks
constexpr std::int64_t most_bytes = 1LL << 30;
constexpr std::string_view descriptor_prefix = "fd:";
constexpr IntegerRange descriptors{.least = 3, .most = 1 << 20};
constexpr IntegerRange ports{.least = 0, .most = 65'535};

// A unit of time or of size, by the suffix that names it.
template <typename Amount>
struct Unit {
  std::string_view suffix;
  Amount amount;
};

std::string quoted(const std::string& text) { return "'" + text + "'"; }

// Nothing may follow the number.
template <typename Number>
bool parse_whole(const std::string& text, Number& value) {
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  return error == std::errc{} && end == last;
}

double number(const std::string& text) {
  double value = 0;
  if (!parse_whole(text, value) || !std::isfinite(value))
    throw InvalidValue(quoted(text) + " is not a number");
  return value;
}

Duration span_of(const std::string& text, double seconds) {
  if (seconds < 0 || seconds > longest_span) throw InvalidValue(quoted(text) + " is not from 0 to a week");
  const double ticks = seconds * ticks_per_second;
  if (std::abs(ticks - std::round(ticks)) > rounding_error)
    throw InvalidValue(quoted(text) + " is not whole tenths of a millisecond");
  return Duration{std::llround(ticks)};
}

bool fits_identifier(char letter) {
  const bool small = letter >= 'a' && letter <= 'z';
  const bool capital = letter >= 'A' && letter <= 'Z';
  const bool digit = letter >= '0' && letter <= '9';
  return small || capital || digit || std::string_view("-_./:").find(letter) != std::string_view::npos;
}

}  // namespace

double number_in(const std::string& text, NumberRange range) {
  const double value = number(text);
  if (value < range.least || value > range.most) {
    std::ostringstream reason;
    reason << quoted(text) << " is not from " << range.least << " to " << range.most;
    throw InvalidValue(reason.str());
  }
  return value;
}

std::int64_t integer_in(const std::string& text, IntegerRange range) {
  std::int64_t value = 0;
  if (!parse_whole(text, value)) throw InvalidValue(quoted(text) + " is not a whole number");
  if (value < range.least || value > range.most)
    throw InvalidValue(quoted(text) + " is not from " + std::to_string(range.least) + " to " +
                       std::to_string(range.most));
  return value;
}

int int_in(const std::string& text, IntegerRange range) { return static_cast<int>(integer_in(text, range)); }

Duration span(const std::string& text) {
  // A suffix that ends with another one's comes before it.
  static constexpr std::array<Unit<double>, 5> units{
      {{"us", 1e-6}, {"ms", 1e-3}, {"min", 60}, {"s", 1}, {"h", 3600}}};
  if (text == "0") return Duration::zero();
  for (const auto& [suffix, seconds] : units) {
    if (text.ends_with(suffix))
      return span_of(text, number(text.substr(0, text.size() - suffix.size())) * seconds);
  }
  throw InvalidValue(quoted(text) + " is not a time with its unit, as 750ms or 2.5s");
}

Duration positive_span(const std::string& text) {
  const Duration value = span(text);
  if (value == Duration::zero()) throw InvalidValue("must be longer than 0");
  return value;
}

std::uint64_t bytes(const std::string& text) {
  // A suffix that ends with another one's comes before it.
  static constexpr std::array<Unit<std::int64_t>, 3> units{{{"KiB", 1024}, {"MiB", 1024 * 1024}, {"B", 1}}};
  for (const auto& [suffix, size] : units) {
    if (!text.ends_with(suffix)) continue;
    const std::string digits = text.substr(0, text.size() - suffix.size());
    if (!digits.empty() && digits.find_first_not_of("0123456789") == std::string::npos)
      return static_cast<std::uint64_t>(integer_in(digits, {.least = 1, .most = most_bytes / size}) * size);
  }
  throw InvalidValue(quoted(text) + " is not a size with its unit, as 64KiB or 1MiB");
}

bool yes_or_no(const std::string& text) {
  if (text == "yes") return true;
  if (text == "no") return false;
  throw InvalidValue(quoted(text) + " is neither yes nor no");
}

std::string identifier(const std::string& text) {
  if (text.empty() || !std::ranges::all_of(text, fits_identifier))
    throw InvalidValue(quoted(text) + " is not a name of letters, digits and - _ . / :");
  return text;
}

std::string optional_identifier(const std::string& text) { return text.empty() ? text : identifier(text); }

std::string socket_address(const std::string& text) {
  if (text.starts_with(descriptor_prefix)) {
    integer_in(text.substr(descriptor_prefix.size()), descriptors);
    return text;
  }
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0)
    throw InvalidValue(quoted(text) + " is neither an address with a port, as 127.0.0.1:8080, nor fd:N");
  const std::string host = text.substr(0, colon);
  if (host.find_first_not_of("0123456789.:[]abcdefABCDEF") != std::string::npos)
    throw InvalidValue(quoted(text) + " holds a name; addresses are written in digits");
  integer_in(text.substr(colon + 1), ports);
  return text;
}

std::string optional_socket_address(const std::string& text) {
  return text.empty() ? text : socket_address(text);
}

}  // namespace rushhill::deployment
