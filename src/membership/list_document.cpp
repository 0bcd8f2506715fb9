#include "membership/list_document.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <utility>

namespace rushhill::membership {
namespace {

using settings::BadField;
using settings::Json;

constexpr std::size_t max_depth = 64;  // of nested objects and arrays; the platform's documents have seven
constexpr std::int64_t ticks_per_ms = 10;
constexpr std::array health_values{"active", "leaving", "left"};

enum class HostField { id, address, location, kind, cell, state, rating, started, unknown };
// In the order of the enumeration.
constexpr std::array host_fields{"host", "dial", "site", "class", "block", "health", "share", "born_ms"};

HostField field_of(const std::string& name) {
  return static_cast<HostField>(std::ranges::find(host_fields, name) - host_fields.begin());
}

[[noreturn]] void throw_bad_field(HostField field, const std::string& fault) {
  throw BadField(std::string("field 'hosts.") + host_fields.at(static_cast<std::size_t>(field)) + "' " +
                 fault);
}
[[noreturn]] void throw_wrong_type(HostField field) {
  switch (field) {
    case HostField::cell:
    case HostField::started:
      throw_bad_field(field, "is not a whole number");
    case HostField::rating:
      throw_bad_field(field, "is not a number");
    default:
      throw_bad_field(field, "is not text");
  }
}

double number_of(HostField field, const Json& value) {
  if (!value.is_number()) throw_wrong_type(field);
  return value.get<double>();
}
std::int64_t integer_of(HostField field, const Json& value) {
  if (value.is_number_integer()) return value.get<std::int64_t>();
  constexpr double limit = 9e18;  // that a whole number of 64 bits holds
  const double number = value.is_number_float() ? value.get<double>() : limit;
  if (!(number > -limit && number < limit)) throw_wrong_type(field);
  return static_cast<std::int64_t>(number);
}
EndpointState state_of(const std::string& health) {
  const auto found = std::ranges::find(health_values, health);
  if (found == health_values.end())
    throw_bad_field(HostField::state, "has the unknown value '" + health + "'");
  return static_cast<EndpointState>(found - health_values.begin());
}

// Reads the fields of one host after the other. A field that is null counts as missing.
class HostReader {
 public:
  explicit HostReader(Time wall_offset) : wall_offset_(wall_offset) {}

  void start() {
    entry_ = {};
    has_id_ = has_state_ = false;
  }
  void set_key(const std::string& name) { field_ = field_of(name); }
  // The value of the latest key, where it is text.
  void set_text(std::string value) {
    switch (field_) {
      case HostField::id:
        entry_.endpoint.id = std::move(value);
        has_id_ = true;
        return;
      case HostField::address:
        entry_.address = std::move(value);
        return;
      case HostField::location:
        entry_.endpoint.location = std::move(value);
        return;
      case HostField::kind:
        entry_.endpoint.kind = std::move(value);
        return;
      case HostField::state:
        entry_.endpoint.state = state_of(value);
        has_state_ = true;
        return;
      case HostField::unknown:
        return;
      default:
        throw_wrong_type(field_);
    }
  }
  // Where it is anything else.
  void set_value(const Json& value) {
    if (value.is_null()) return;
    switch (field_) {
      case HostField::cell:
        entry_.endpoint.cell = static_cast<int>(integer_of(field_, value));
        return;
      case HostField::rating:
        entry_.endpoint.rating = number_of(field_, value);
        return;
      case HostField::started: {
        const std::int64_t started_ms = integer_of(field_, value);
        entry_.endpoint.started =
            to_timestamp(started_ms == 0 ? 0 : started_ms * ticks_per_ms - wall_offset_);
        return;
      }
      case HostField::unknown:
        return;
      default:
        throw_wrong_type(field_);
    }
  }
  core::EndpointListEntry finish() {
    if (!has_id_) throw BadField("missing field 'hosts.host'");
    if (!has_state_) throw BadField("missing field 'hosts.health'");
    return std::move(entry_);
  }

 private:
  Time wall_offset_;
  core::EndpointListEntry entry_;
  HostField field_ = HostField::unknown;  // of the latest key
  bool has_id_ = false;
  bool has_state_ = false;
};

// Builds the document from the parser's events. Each function returns whether to go on.
class DocumentBuilder final : public nlohmann::json_sax<Json> {
 public:
  explicit DocumentBuilder(Time wall_offset) : host_(wall_offset) {}
  ListDocument take() { return std::move(document_); }

  bool null() override { return add_value(nullptr); }
  bool boolean(bool value) override { return add_value(value); }
  bool number_integer(number_integer_t value) override { return add_value(value); }
  bool number_unsigned(number_unsigned_t value) override { return add_value(value); }
  bool number_float(number_float_t value, const string_t& /*text*/) override { return add_value(value); }
  bool string(string_t& value) override {
    if (host_depth_ != 1) return add_value(std::move(value));
    host_.set_text(std::move(value));
    return true;
  }
  bool binary(binary_t& /*value*/) override { return false; }  // does not occur in text
  bool key(string_t& name) override {
    if (host_depth_ == 1) host_.set_key(name);
    if (host_depth_ == 0) containers_.back().key = std::move(name);
    return true;
  }
  bool start_object(std::size_t /*size*/) override {
    if (is_in_host()) return start_in_host(Json::object());
    if (is_in_host_list()) {
      host_.start();
      host_depth_ = 1;
      return true;
    }
    return start_container({.json = Json::object()});
  }
  bool end_object() override { return end_container(); }
  bool start_array(std::size_t /*size*/) override {
    if (is_in_host()) return start_in_host(Json::array());
    if (is_in_host_list()) throw BadField("field 'hosts' is not an object");
    const bool host_list = is_at_host_list();
    if (host_list) document_.host_lists.emplace_back();
    return start_container({.json = Json::array(), .is_host_list = host_list});
  }
  bool end_array() override { return end_container(); }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  // An object or array that has not ended.
  struct Container {
    Json json{};
    std::string key{};  // the latest one, in an object
    bool is_host_list = false;
  };

  bool is_in_host() const { return host_depth_ > 0; }
  bool is_in_host_list() const { return !containers_.empty() && containers_.back().is_host_list; }
  // Whether the value that begins is `hosts` within `pool`.
  bool is_at_host_list() const {
    return containers_.size() >= 2 && containers_.back().key == "hosts" &&
           containers_[containers_.size() - 2].key == "pool";
  }

  bool start_container(Container container) {
    containers_.push_back(std::move(container));
    return containers_.size() <= max_depth;
  }
  // A value within a host that has parts: no field has.
  bool start_in_host(const Json& empty) {
    if (host_depth_ == 1) host_.set_value(empty);
    return ++host_depth_ <= max_depth;
  }
  bool end_container() {
    if (is_in_host()) {
      if (--host_depth_ == 0) document_.host_lists.back().push_back(host_.finish());
      return true;
    }
    Container ended = std::move(containers_.back());
    containers_.pop_back();
    if (ended.is_host_list) ended.json.push_back(document_.host_lists.size() - 1);
    return add_value(std::move(ended.json));
  }
  bool add_value(Json value) {
    if (is_in_host()) {
      if (host_depth_ == 1) host_.set_value(value);
      return true;
    }
    if (is_in_host_list()) throw BadField("field 'hosts' is not an object");
    if (containers_.empty()) {
      document_.json = std::move(value);
    } else if (Container& outer = containers_.back(); outer.json.is_array()) {
      outer.json.push_back(std::move(value));
    } else {
      outer.json[outer.key] = std::move(value);
    }
    return true;
  }

  ListDocument document_;
  std::vector<Container> containers_;
  HostReader host_;
  std::size_t host_depth_ = 0;  // 1 within a host, more within a value of it
};

}  // namespace

std::optional<ListDocument> parse_list_document(std::string_view text, Time wall_offset) {
  DocumentBuilder builder(wall_offset);
  if (!Json::sax_parse(text, &builder)) return std::nullopt;
  return builder.take();
}

}  // namespace rushhill::membership
