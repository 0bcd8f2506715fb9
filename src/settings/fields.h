// Named fields of JSON objects that a router is told from outside, and their times: what is missing or of the
// wrong kind is named in the error.
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

// What was told is not as it is described: names the field.
class BadField : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline constexpr std::int64_t ns_per_tenth = 100'000;

// Rounding keeps promises: what limits us is rounded down, what others need from us is rounded up.
inline Time floor_time(std::int64_t ns) {
  const Time whole = ns / ns_per_tenth;
  return ns % ns_per_tenth < 0 ? whole - 1 : whole;
}
inline Time ceil_time(std::int64_t ns) { return -floor_time(-ns); }
inline Duration floor_duration(std::int64_t ns) { return to_duration(floor_time(ns)); }
inline Duration ceil_duration(std::int64_t ns) { return to_duration(ceil_time(ns)); }
inline std::int64_t to_ns(Time time) { return time * ns_per_tenth; }

// Fields of one object; a missing or mistyped one is named in the error.
class Fields {
 public:
  explicit Fields(const Json& object, std::string where = "") : object_(object), where_(std::move(where)) {
    if (!object.is_object())
      throw BadField(where_.empty() ? "not an object" : "field '" + where_ + "' is not an object");
  }

  const Json* find(const char* name) const {
    const auto found = object_.find(name);
    return found == object_.end() || found->is_null() ? nullptr : &*found;
  }
  const Json& need(const char* name) const {
    const Json* value = find(name);
    if (value == nullptr) throw BadField("missing field '" + path(name) + "'");
    return *value;
  }
  std::int64_t whole(const char* name) const { return as_whole(name, need(name)); }
  std::int64_t whole(const char* name, std::int64_t otherwise) const {
    const Json* value = find(name);
    return value == nullptr ? otherwise : as_whole(name, *value);
  }
  double number(const char* name, double otherwise) const {
    const Json* value = find(name);
    if (value == nullptr) return otherwise;
    if (!value->is_number()) wrong(name, "a number");
    return value->get<double>();
  }
  bool flag(const char* name) const {
    const Json* value = find(name);
    if (value == nullptr) return false;
    if (!value->is_boolean()) wrong(name, "true or false");
    return value->get<bool>();
  }
  std::string text(const char* name) const { return as_text(name, need(name)); }
  std::string text(const char* name, const std::string& otherwise) const {
    const Json* value = find(name);
    return value == nullptr ? otherwise : as_text(name, *value);
  }
  Fields object(const char* name) const { return Fields(need(name), path(name)); }
  const Json& list(const char* name) const {
    const Json& value = need(name);
    if (!value.is_array()) wrong(name, "a list");
    return value;
  }
  // One of the wire's words, in the order of the enumeration.
  template <typename Enum, std::size_t N>
  Enum word(const char* name, const std::array<const char*, N>& words) const {
    const std::string value = text(name);
    for (std::size_t i = 0; i < N; ++i) {
      if (value == words[i]) return static_cast<Enum>(i);
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
    if (!object->is_object()) wrong(name, "an object");
    for (const auto& [key, value] : object->items()) {
      if (value.is_number()) values[key] = value.get<double>();
    }
    return values;
  }

 private:
  std::string path(const char* name) const { return where_.empty() ? name : where_ + "." + name; }
  [[noreturn]] void wrong(const char* name, const char* wanted) const {
    throw BadField("field '" + path(name) + "' is not " + wanted);
  }
  std::int64_t as_whole(const char* name, const Json& value) const {
    if (value.is_number_integer()) return value.get<std::int64_t>();
    if (!value.is_number_float()) wrong(name, "a whole number");
    const double number = value.get<double>();
    if (!(number > -9e18 && number < 9e18)) wrong(name, "a whole number");
    return static_cast<std::int64_t>(number);
  }
  std::string as_text(const char* name, const Json& value) const {
    if (!value.is_string()) wrong(name, "text");
    return value.get<std::string>();
  }

  const Json& object_;
  std::string where_;
};

}  // namespace rushhill::settings
