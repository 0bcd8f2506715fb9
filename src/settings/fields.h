// Typed access to the fields of JSON objects that a router receives, and conversion of their times. Errors
// name the field that is missing or has the wrong type.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "routing/time.h"

namespace rushhill::settings {

using Json = nlohmann::json;

// Thrown for a field that is missing, of the wrong type or of an unknown value, and for a value that is not
// an object.
class BadField : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline constexpr std::int64_t ns_per_tick = 100'000;  // a tick of Time is a tenth of a millisecond

// Times that limit the router are rounded down and times that others need from it are rounded up, so that
// rounding never breaks a guarantee.
inline Time floor_time(std::int64_t ns) {
  const Time truncated = ns / ns_per_tick;
  return ns % ns_per_tick < 0 ? truncated - 1 : truncated;
}
inline Time ceil_time(std::int64_t ns) { return -floor_time(-ns); }
inline Duration floor_duration(std::int64_t ns) { return to_duration(floor_time(ns)); }
inline Duration ceil_duration(std::int64_t ns) { return to_duration(ceil_time(ns)); }
inline std::int64_t to_ns(Time time) { return time * ns_per_tick; }

// The fields of one JSON object. A field that is null counts as missing. Functions with a parameter
// `default_value` return it for a missing field.
class Fields {
 public:
  explicit Fields(const Json& object, std::string where = "") : object_(object), where_(std::move(where)) {
    if (!object.is_object())
      throw BadField(where_.empty() ? "not an object" : "field '" + where_ + "' is not an object");
  }

  // Returns nullptr for a missing field.
  const Json* find(const char* name) const {
    const auto found = object_.find(name);
    return found == object_.end() || found->is_null() ? nullptr : &*found;
  }
  const Json& need(const char* name) const {
    const Json* value = find(name);
    if (value == nullptr) throw BadField("missing field '" + path(name) + "'");
    return *value;
  }
  std::int64_t whole(const char* name) const { return as_integer(name, need(name)); }
  std::int64_t whole(const char* name, std::int64_t default_value) const {
    const Json* value = find(name);
    return value == nullptr ? default_value : as_integer(name, *value);
  }
  double number(const char* name, double default_value) const {
    const Json* value = find(name);
    if (value == nullptr) return default_value;
    if (!value->is_number()) throw_wrong_type(name, "a number");
    return value->get<double>();
  }
  bool flag(const char* name) const {
    const Json* value = find(name);
    if (value == nullptr) return false;
    if (!value->is_boolean()) throw_wrong_type(name, "true or false");
    return value->get<bool>();
  }
  std::string text(const char* name) const { return as_text(name, need(name)); }
  std::string text(const char* name, const std::string& default_value) const {
    const Json* value = find(name);
    return value == nullptr ? default_value : as_text(name, *value);
  }
  Fields object(const char* name) const { return Fields(need(name), path(name)); }
  const Json& list(const char* name) const {
    const Json& value = need(name);
    if (!value.is_array()) throw_wrong_type(name, "a list");
    return value;
  }
  // Reads an enumerator by its name on the wire; `values` lists the names in the order of the enumeration.
  template <typename Enum, std::size_t N>
  Enum word(const char* name, const std::array<const char*, N>& values) const {
    const std::string value = text(name);
    for (std::size_t i = 0; i < N; ++i) {
      if (value == values[i]) return static_cast<Enum>(i);
    }
    throw BadField("field '" + path(name) + "' has the unknown value '" + value + "'");
  }
  std::vector<std::string> texts(const char* name) const {
    std::vector<std::string> values;
    if (find(name) == nullptr) return values;
    for (const Json& value : list(name)) values.push_back(as_text(name, value));
    return values;
  }
  std::map<std::string, double> numbers(const char* name) const {
    std::map<std::string, double> values;
    const Json* object = find(name);
    if (object == nullptr) return values;
    if (!object->is_object()) throw_wrong_type(name, "an object");
    for (const auto& [key, value] : object->items()) {
      if (value.is_number()) values[key] = value.get<double>();
    }
    return values;
  }

 private:
  std::string path(const char* name) const { return where_.empty() ? name : where_ + "." + name; }
  [[noreturn]] void throw_wrong_type(const char* name, const char* expected) const {
    throw BadField("field '" + path(name) + "' is not " + expected);
  }
  std::int64_t as_integer(const char* name, const Json& value) const {
    if (value.is_number_integer()) return value.get<std::int64_t>();
    if (!value.is_number_float()) throw_wrong_type(name, "a whole number");
    const double number = value.get<double>();
    if (!(number > -9e18 && number < 9e18)) throw_wrong_type(name, "a whole number");
    return static_cast<std::int64_t>(number);
  }
  std::string as_text(const char* name, const Json& value) const {
    if (!value.is_string()) throw_wrong_type(name, "text");
    return value.get<std::string>();
  }

  const Json& object_;
  std::string where_;
};

}  // namespace rushhill::settings
