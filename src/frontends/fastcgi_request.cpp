#include "frontends/fastcgi_request.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <utility>

#include "frontends/time_units.h"

namespace rushhill::frontends {
namespace {

// The parameters of the platform.
constexpr const char* path_param = "SCRIPT_NAME";
constexpr const char* id_param = "HTTP_X_JOB_ID";
constexpr const char* time_param = "HTTP_X_ALLOW_MS";
constexpr const char* tenant_param = "HTTP_X_TEAM";
constexpr const char* function_param = "HTTP_X_ITEM";
constexpr const char* key_param = "HTTP_X_UNIQUE";
constexpr const char* facts_param = "HTTP_X_FACTS";
constexpr const char* length_param = "CONTENT_LENGTH";
constexpr std::array<const char*, 8> single_params = {path_param,     id_param,  time_param,  tenant_param,
                                                      function_param, key_param, facts_param, length_param};

constexpr std::string_view requests_path = "/ops/";
constexpr std::size_t id_digits = 16;
constexpr std::size_t longest_key = 128;  // bytes; an idempotency key is forwarded within a line
constexpr Time answer_transit = 10;  // tenths of a millisecond; from our answer to the client's reading it
constexpr Time rounding = 10;        // likewise; a limit in whole milliseconds may be above ours by that

// Upper bounds of a function's facts.
constexpr double max_memory_mb = 1e6;    // of a copy; above any machine's
constexpr double max_lanes = 1024;       // of a copy
constexpr double max_load_ms = 600'000;  // above any limit of a load

using Error = std::optional<RequestError>;

Error bad_request(std::string reason) { return RequestError{400, std::move(reason)}; }
Error not_found(std::string reason) { return RequestError{404, std::move(reason)}; }

bool is_hex_digit(char character) {
  return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
}
bool is_id(std::string_view text) {
  return text.size() == id_digits && std::ranges::all_of(text, is_hex_digit);
}

// Whether the text can be forwarded unchanged as one word of a line.
bool is_word(std::string_view text) {
  const auto allowed = [](char character) {
    return character > ' ' && character < '\x7f' && character != ',' && character != '=';
  };
  return !text.empty() && text.size() <= longest_key && std::ranges::all_of(text, allowed);
}

template <typename Number>
std::optional<Number> parse_number(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// Takes over one fact of a function; names that are not known are passed over. False: out of its range.
bool apply_fact(std::string_view name, double value, RoutingRequest& routing) {
  if (name == "memory_mb") {
    if (value > max_memory_mb) return false;
    routing.memory_mb = value;
  } else if (name == "lanes") {
    if (value < 1 || value > max_lanes) return false;
    routing.lanes = value;
  } else if (name == "load_ms") {
    if (value > max_load_ms) return false;
    routing.load_time = to_duration(static_cast<Time>(std::ceil(value * ticks_per_ms)));
  }
  return true;
}

// `memory_mb:512`. Also a fact whose name is not known must be a figure. False: not readable.
bool read_fact(std::string_view fact, RoutingRequest& routing) {
  const std::size_t colon = fact.find(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  const auto value = parse_number<double>(fact.substr(colon + 1));
  if (!value || !std::isfinite(*value) || *value < 0) return false;
  return apply_fact(fact.substr(0, colon), *value, routing);
}

// `memory_mb:512;lanes:2`.
bool read_facts(std::string_view text, RoutingRequest& routing) {
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(';'), text.size());
    if (!read_fact(text.substr(0, end), routing)) return false;
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return true;
}

// Fills a GatewayRequest in steps, each of which returns what is wrong with its parameters.
class RequestParser {
 public:
  RequestParser(const RoutingConfiguration& configuration, fastcgi::Request& source)
      : configuration_(configuration), source_(source) {}

  Error parse() {
    using Step = Error (RequestParser::*)();
    constexpr std::array<Step, 9> steps = {
        &RequestParser::check_repeats, &RequestParser::read_class,          &RequestParser::read_id,
        &RequestParser::read_function, &RequestParser::read_time,           &RequestParser::read_tenant,
        &RequestParser::read_key,      &RequestParser::read_function_facts, &RequestParser::check_length};
    for (const Step step : steps) {
      if (Error error = (this->*step)()) return error;
    }
    result_.message.data = std::move(source_.body);
    return std::nullopt;
  }
  GatewayRequest take() { return std::move(result_); }

 private:
  Error check_repeats() {
    for (const char* name : single_params) {
      if (source_.repeats(name)) return bad_request(std::string(name) + " is there twice");
    }
    return std::nullopt;
  }

  Error read_class() {
    const std::string* path = source_.param(path_param);
    if (path == nullptr || !path->starts_with(requests_path)) return not_found("no such place");
    const std::string name = path->substr(requests_path.size());
    const auto found = std::ranges::find(configuration_.request_classes, name, &RequestClass::name);
    if (found == configuration_.request_classes.end()) return not_found("unknown class");
    class_ = &*found;
    result_.routing.request_class = name;
    result_.message.type = name;
    return std::nullopt;
  }

  Error read_id() {
    const std::string* id = source_.param(id_param);
    if (id == nullptr || !is_id(*id)) return bad_request("X-Job-Id is not 16 hex digits");
    result_.message.id = *id;
    return std::nullopt;
  }

  Error read_function() {
    const std::string* function = source_.param(function_param);
    if (function == nullptr || !is_id(*function)) return bad_request("X-Item is not 16 hex digits");
    result_.routing.function = *function;
    result_.message.others["function"] = *function;
    return std::nullopt;
  }

  Error read_time() {
    const std::string* text = source_.param(time_param);
    const auto allowed_ms = text == nullptr ? std::nullopt : parse_number<std::int64_t>(*text);
    if (!allowed_ms || *allowed_ms <= 0) return bad_request("X-Allow-Ms is not a number above 0");
    // Compared before it is multiplied: it may be any number.
    if (*allowed_ms > (to_ticks(class_->deadline_span) + rounding) / ticks_per_ms)
      return bad_request("X-Allow-Ms is beyond the class's deadline");
    result_.routing.time_left = to_duration(std::max<Time>(*allowed_ms * ticks_per_ms - answer_transit, 1));
    return std::nullopt;
  }

  Error read_tenant() {
    const std::string* name = source_.param(tenant_param);
    const auto& tenants = configuration_.tenants;
    const bool known = name != nullptr && std::ranges::find(tenants, *name, &Tenant::name) != tenants.end();
    if (!known && !tenants.empty()) return bad_request("X-Team is not a tenant");
    if (known) result_.routing.tenant = *name;
    return std::nullopt;
  }

  // A keyed request that is sent to a server twice runs there once, by this.
  Error read_key() {
    const std::string* key = source_.param(key_param);
    if (key == nullptr) {
      if (class_->retry_safety == RetrySafety::keyed) return bad_request("X-Unique is missing");
      return std::nullopt;
    }
    if (!is_word(*key)) return bad_request("X-Unique is no word of 128 bytes at most");
    result_.message.others["number"] = *key;
    return std::nullopt;
  }

  Error read_function_facts() {
    const std::string* facts = source_.param(facts_param);
    if (facts == nullptr || read_facts(*facts, result_.routing)) return std::nullopt;
    return bad_request("X-Facts holds what is no figure");
  }

  Error check_length() {
    const std::string* length = source_.param(length_param);
    if (length == nullptr || length->empty()) return std::nullopt;
    const auto bytes = parse_number<std::uint64_t>(*length);
    if (bytes && *bytes == source_.body.size()) return std::nullopt;
    return bad_request("CONTENT_LENGTH is not the body's");
  }

  const RoutingConfiguration& configuration_;
  fastcgi::Request& source_;
  const RequestClass* class_ = nullptr;
  GatewayRequest result_;
};

}  // namespace

std::variant<GatewayRequest, RequestError> read_request(const RoutingConfiguration& configuration,
                                                        fastcgi::Request request) {
  RequestParser parser(configuration, request);
  if (Error error = parser.parse()) return std::move(*error);
  return parser.take();
}

}  // namespace rushhill::frontends
