#include "deployment/deployment_file.h"

#include <ini.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <functional>
#include <iterator>
#include <limits>
#include <set>
#include <sstream>
#include <utility>

namespace rushhill::deployment {
namespace {

constexpr std::size_t longest_line = 190;   // bytes; inih's buffer holds 200
constexpr std::size_t longest_head = 48;    // bytes of a section's name; inih's holds 50
constexpr std::size_t most_lines = 20'000;  // far above any fleet's customers and traffic types
constexpr std::size_t most_faults = 50;
constexpr double longest_time = 7 * 24 * 3600.0;  // seconds; a week is a mistake for every key here
constexpr Time hour = 36'000'000;

using Fault = std::invalid_argument;

double number(const std::string& text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value))
    throw Fault("'" + text + "' is not a number");
  return value;
}
double number_in(const std::string& text, double least, double most) {
  const double value = number(text);
  if (value < least || value > most) {
    std::ostringstream range;
    range << "'" << text << "' is not from " << least << " to " << most;
    throw Fault(range.str());
  }
  return value;
}
std::int64_t whole_in(const std::string& text, std::int64_t least, std::int64_t most) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size())
    throw Fault("'" + text + "' is not a whole number");
  if (value < least || value > most)
    throw Fault("'" + text + "' is not from " + std::to_string(least) + " to " + std::to_string(most));
  return value;
}
Time time(const std::string& text) {
  static const std::vector<std::pair<std::string, double>> units{
      {"us", 1e-6}, {"ms", 1e-3}, {"min", 60}, {"s", 1}, {"h", 3600}};
  if (text == "0") return 0;
  for (const auto& [unit, seconds] : units) {
    if (!text.ends_with(unit)) continue;
    const double span = number(text.substr(0, text.size() - unit.size())) * seconds;
    if (span < 0 || span > longest_time) throw Fault("'" + text + "' is not from 0 to a week");
    const double tenths = span * 1e4;
    if (std::abs(tenths - std::round(tenths)) > 1e-6)
      throw Fault("'" + text + "' is not whole tenths of a millisecond");
    return std::llround(tenths);
  }
  throw Fault("'" + text + "' is not a time with its unit, as 750ms or 2.5s");
}
Time time_above_0(const std::string& text) {
  const Time value = time(text);
  if (value == 0) throw Fault("must be longer than 0");
  return value;
}
std::uint64_t bytes(const std::string& text) {
  static const std::vector<std::pair<std::string, std::int64_t>> units{
      {"KiB", 1024}, {"MiB", 1024 * 1024}, {"B", 1}};
  for (const auto& [unit, size] : units) {
    const std::string digits = text.substr(0, text.ends_with(unit) ? text.size() - unit.size() : 0);
    if (!digits.empty() && digits.find_first_not_of("0123456789") == std::string::npos)
      return static_cast<std::uint64_t>(whole_in(digits, 1, (1LL << 30) / size) * size);
  }
  throw Fault("'" + text + "' is not a size with its unit, as 64KiB or 1MiB");
}
bool flag(const std::string& text) {
  if (text == "yes") return true;
  if (text == "no") return false;
  throw Fault("'" + text + "' is neither yes nor no");
}
template <typename Enum>
Enum word(const std::string& text, std::initializer_list<std::pair<const char*, Enum>> words) {
  std::string all;
  for (const auto& [name, value] : words) {
    if (text == name) return value;
    all += std::string(all.empty() ? "" : ", ") + name;
  }
  throw Fault("'" + text + "' is none of " + all);
}
std::string name(const std::string& text) {
  const auto fits = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.' || c == '/' || c == ':';
  };
  if (text.empty() || !std::ranges::all_of(text, fits))
    throw Fault("'" + text + "' is not a name of letters, digits and - _ . / :");
  return text;
}
std::string where(const std::string& text) {
  if (text.starts_with("fd:")) {
    whole_in(text.substr(3), 3, 1 << 20);
    return text;
  }
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0)
    throw Fault("'" + text + "' is neither an address with a port, as 127.0.0.1:8080, nor fd:N");
  const std::string host = text.substr(0, colon);
  if (host.find_first_not_of("0123456789.:[]abcdefABCDEF") != std::string::npos)
    throw Fault("'" + text + "' holds a name; addresses are written in digits");
  whole_in(text.substr(colon + 1), 0, 65535);
  return text;
}
std::string where_or_none(const std::string& text) { return text.empty() ? text : where(text); }

// A key: what it is called, what it is when not written (nothing: it must be), and where it goes.
template <typename Target>
struct Key {
  const char* section;
  const char* name;
  const char* otherwise;
  std::function<void(Target&, const std::string&)> set;
};

const std::vector<Key<DeploymentConfiguration>>& keys() {
  using P = DeploymentConfiguration;
  using S = const std::string&;
  static const std::vector<Key<DeploymentConfiguration>> all{
      {"router", "number", "0",
       [](P& p, S v) { p.routing.router_number = static_cast<int>(whole_in(v, 0, 9999)); }},
      {"router", "routers", "1",
       [](P& p, S v) { p.routing.routers = static_cast<int>(whole_in(v, 1, 10000)); }},
      {"router", "location", "", [](P& p, S v) { p.routing.location = v.empty() ? v : name(v); }},
      {"router", "tick", "20ms", [](P& p, S v) { p.routing.tick = to_duration(time_above_0(v)); }},
      {"router", "seed", "0",
       [](P& p, S v) {
         p.seed = static_cast<std::uint64_t>(whole_in(v, 0, std::numeric_limits<std::int64_t>::max()));
       }},
      // Keys that are only checked stand for facts that no decision needs.
      {"rules", "answer-grace", "16ms", [](P&, S v) { time(v); }},
      {"rules", "drain-grace", "2s", [](P& p, S v) { p.routing.drain_grace = to_duration(time(v)); }},
      {"rules", "ask-every", "10s", [](P&, S v) { time_above_0(v); }},
      {"rules", "fall-multiple", "2",
       [](P& p, S v) { p.routing.slow_start.budget_multiple = number_in(v, 1, 100); }},
      {"rules", "fall-span", "1500ms",
       [](P& p, S v) { p.routing.slow_start.budget_span = to_duration(time_above_0(v)); }},
      {"rules", "cold-share", "0.16",
       [](P& p, S v) { p.routing.slow_start.initial_capacity = number_in(v, 0.001, 1); }},
      {"rules", "cold-span", "16s",
       [](P& p, S v) { p.routing.slow_start.warm_up_span = to_duration(time_above_0(v)); }},
      {"rules", "load-window", "0", [](P& p, S v) { p.routing.load_budget.window = to_duration(time(v)); }},
      {"rules", "load-free", "0", [](P& p, S v) { p.routing.load_budget.free_loads = number_in(v, 0, 1e6); }},
      {"rules", "loads-per-event", "0",
       [](P& p, S v) { p.routing.load_budget.loads_per_request = number_in(v, 0, 1e3); }},
      {"permissions", "shots", "5",
       [](P& p, S v) { p.routing.retries.attempt_limit = static_cast<int>(whole_in(v, 1, 100)); }},
      {"permissions", "open", "20000",
       [](P& p, S v) { p.routing.open_request_limit = static_cast<int>(whole_in(v, 1, 1'000'000)); }},
      {"permissions", "call-off", "yes", [](P& p, S v) { p.routing.retries.cancel_attempts = flag(v); }},
      {"permissions", "second-copies", "no", [](P& p, S v) { p.routing.retries.hedging = flag(v); }},
      {"permissions", "probing", "yes", [](P& p, S v) { p.routing.reports.probes = flag(v); }},
      {"permissions", "peers", "no", [](P& p, S v) { p.routing.reports.gossip = flag(v); }},
      {"permissions", "retry-advice", "yes", [](P& p, S v) { p.routing.retries.retry_after = flag(v); }},
      {"permissions", "longest-retry-advice", "500ms",
       [](P& p, S v) { p.routing.retries.longest_retry_after = to_duration(time(v)); }},
      {"permissions", "over-share-worth", "1",
       [](P& p, S v) { p.routing.over_quota_value = number_in(v, 0, 1); }},
      {"functions", "orders", "yes", [](P& p, S v) { p.routing.copies.prewarm = flag(v); }},
      {"functions", "when-missing", "load",
       [](P& p, S v) {
         p.routing.copies.missing_is_answered = word<bool>(v, {{"load", false}, {"miss", true}});
       }},
      {"functions", "tells-warm", "yes", [](P& p, S v) { p.routing.copies.state_is_reported = flag(v); }},
      {"functions", "tells-crowd", "yes", [](P&, S v) { flag(v); }},
      {"functions", "keep-alive", "10s",
       [](P& p, S v) { p.routing.copies.keep_alive = to_duration(time_above_0(v)); }},
      {"functions", "order-limit", "10s",
       [](P& p, S v) { p.routing.copies.prewarm_timeout = to_duration(time_above_0(v)); }},
      {"functions", "memory-price", "0", [](P&, S v) { number_in(v, 0, 1); }},
      {"functions", "crossing-price", "0",
       [](P& p, S v) { p.routing.prices.cross_location = number_in(v, 0, 1); }},
      {"functions", "fetch-price", "0", [](P& p, S v) { p.routing.prices.load = number_in(v, 0, 1); }},
      {"servers", "reports", "answers",
       [](P& p, S v) {
         p.routing.reports.load_reports =
             word<const char*>(v, {{"answers", "answers"}, {"probe", "probe"}, {"none", "none"}});
       }},
      {"servers", "connect-limit", "250ms",
       [](P& p, S v) { p.routing.connect_timeout = to_duration(time_above_0(v)); }},
      {"servers", "connection-idle", "15s",
       [](P& p, S v) { p.routing.connection_idle_timeout = to_duration(time_above_0(v)); }},
      {"servers", "connections", "256",
       [](P& p, S v) { p.server_connections.connections = static_cast<int>(whole_in(v, 1, 65536)); }},
      {"servers", "reply", "1MiB", [](P& p, S v) { p.server_connections.reply = bytes(v); }},
      {"http", "listen", "127.0.0.1:8080", [](P& p, S v) { p.http.listen = where(v); }},
      {"http", "connections", "20000",
       [](P& p, S v) { p.http.connections = static_cast<int>(whole_in(v, 1, 1'000'000)); }},
      {"http", "body", "1MiB", [](P& p, S v) { p.http.body = bytes(v); }},
      {"http", "batch", "100", [](P& p, S v) { p.http.batch = static_cast<int>(whole_in(v, 1, 10000)); }},
      {"http", "request-within", "10s", [](P& p, S v) { p.http.head_within = time_above_0(v); }},
      {"http", "idle", "60s", [](P& p, S v) { p.http.idle = time_above_0(v); }},
      {"http", "wind-up", "5s", [](P& p, S v) { p.http.drain_timeout = time(v); }},
      {"http", "weight", "1", [](P& p, S v) { p.http.weight = number_in(v, 0.001, 1000); }},
      {"mqtt", "address", "", [](P& p, S v) { p.mqtt.address = where_or_none(v); }},
      {"mqtt", "client", "rushhill", [](P& p, S v) { p.mqtt.client = name(v); }},
      {"mqtt", "version", "5",
       [](P& p, S v) {
         p.mqtt.version = word<int>(v, {{"5", 5}, {"3.1.1", 4}});
       }},
      {"mqtt", "in-flight", "200",
       [](P& p, S v) { p.mqtt.in_flight = static_cast<int>(whole_in(v, 1, 65'535)); }},
      {"mqtt", "tries", "3", [](P& p, S v) { p.mqtt.tries = static_cast<int>(whole_in(v, 1, 100)); }},
      {"mqtt", "keep-alive", "30s", [](P& p, S v) { p.mqtt.keep_alive = time(v); }},
      {"mqtt", "session", "1h", [](P& p, S v) { p.mqtt.session = time(v); }},
      {"mqtt", "remember", "60s", [](P& p, S v) { p.mqtt.remember = time_above_0(v); }},
      {"mqtt", "retry", "500ms", [](P& p, S v) { p.mqtt.retry = time_above_0(v); }},
      {"mqtt", "dead-letter", "rushhill/dead-letter",
       [](P& p, S v) {
         if (!v.empty() && !mqtt::topic_valid(v)) throw Fault("'" + v + "' is no topic");
         p.mqtt.dead_letter = v;
       }},
      {"roster", "address", "", [](P& p, S v) { p.discovery.address = where_or_none(v); }},
      {"roster", "remembered", "", [](P& p, S v) { p.discovery.remembered = v; }},
      {"roster", "retry", "500ms", [](P& p, S v) { p.discovery.retry = time_above_0(v); }},
      {"roster", "pushed", "yes", [](P& p, S v) { p.routing.endpoints_on_request = !flag(v); }},
      {"peers", "listen", "", [](P& p, S v) { p.peers.listen = where_or_none(v); }},
      {"replica", "listen", "",
       [](P& p, S v) {
         if (v.starts_with("fd:")) throw Fault("'" + v + "' is no address");
         p.replication.listen = where_or_none(v);
       }},
      {"replica", "deployment", "rushhill", [](P& p, S v) { p.replication.deployment = name(v); }},
      {"replica", "held-by", "0",
       [](P& p, S v) { p.replication.held_by = static_cast<int>(whole_in(v, 0, 100)); }},
      {"replica", "held-within", "0.2",
       [](P& p, S v) { p.replication.held_within = number_in(v, 0.01, 0.9); }},
      {"replica", "mark-life", "60s", [](P& p, S v) { p.replication.mark_life = time_above_0(v); }},
      {"replica", "most-marks", "100000",
       [](P& p, S v) { p.replication.most_marks = static_cast<std::size_t>(whole_in(v, 1, 100'000'000)); }},
      {"log", "least", "info",
       [](P& p, S v) {
         p.least_log_level = word<core::Level>(v, {{"debug", core::Level::debug},
                                                   {"info", core::Level::info},
                                                   {"warning", core::Level::warning},
                                                   {"error", core::Level::error}});
       }},
      {"log", "form", "people",
       [](P& p, S v) {
         p.log_json = word<bool>(v, {{"people", false}, {"json", true}});
       }},
  };
  return all;
}

struct TypeSection {
  RequestClass type{};
  std::string event_type{};
  replica::MarkLevel marks = replica::MarkLevel::none;
};

const std::vector<Key<TypeSection>>& type_keys() {
  using T = TypeSection;
  using S = const std::string&;
  static const std::vector<Key<TypeSection>> all{
      {"traffic", "event-type", "", [](T& t, S v) { t.event_type = v; }},
      {"traffic", "due", nullptr, [](T& t, S v) { t.type.latency_objective = to_duration(time_above_0(v)); }},
      {"traffic", "hard-limit", nullptr,
       [](T& t, S v) { t.type.deadline_span = to_duration(time_above_0(v)); }},
      {"traffic", "importance", "1", [](T& t, S v) { t.type.priority_weight = number_in(v, 0, 1e6); }},
      {"traffic", "late-share", "0", [](T& t, S v) { t.type.late_value_share = number_in(v, 0, 1); }},
      {"traffic", "effect", "at-most-once",
       [](T& t, S v) {
         t.type.retry_safety = word<RetrySafety>(v, {{"reissuable", RetrySafety::idempotent},
                                                     {"numbered", RetrySafety::keyed},
                                                     {"at-most-once", RetrySafety::at_most_once}});
       }},
      {"traffic", "group", "all",
       [](T& t, S v) {
         t.type.deduplication_scope = word<DeduplicationScope>(v, {{"all", DeduplicationScope::everywhere},
                                                                   {"location", DeduplicationScope::location},
                                                                   {"cell", DeduplicationScope::cell}});
       }},
      {"traffic", "memory-span", "0", [](T& t, S v) { t.type.deduplication_span = to_duration(time(v)); }},
      {"traffic", "marks", "none",
       [](T& t, S v) {
         t.marks = word<replica::MarkLevel>(v, {{"none", replica::MarkLevel::none},
                                                {"told", replica::MarkLevel::told},
                                                {"held", replica::MarkLevel::held}});
       }},
      {"traffic", "due-stretch", "0",
       [](T& t, S v) { t.type.latency_objective_stretch = number_in(v, 0, 1000); }},
  };
  return all;
}

const std::vector<Key<Tenant>>& customer_keys() {
  using S = const std::string&;
  static const std::vector<Key<Tenant>> all{
      {"customer", "share", "0", [](Tenant& c, S v) { c.share = number_in(v, 0, 1); }},
      {"customer", "quota-per-s", "0", [](Tenant& c, S v) { c.quota_per_s = number_in(v, 0, 1e9); }},
  };
  return all;
}

const std::vector<Key<MqttTopic>>& topic_keys() {
  using T = MqttTopic;
  using S = const std::string&;
  static const std::vector<Key<MqttTopic>> all{
      {"mqtt-topic", "filter", nullptr,
       [](T& t, S v) {
         if (!mqtt::filter_valid(v) || v.starts_with("$share/"))
           throw Fault("'" + v + "' is no topic filter; a shared subscription is written with group");
         t.filter = v;
       }},
      {"mqtt-topic", "group", "", [](T& t, S v) { t.group = v.empty() ? v : name(v); }},
      {"mqtt-topic", "qos", "1", [](T& t, S v) { t.qos = static_cast<int>(whole_in(v, 0, 2)); }},
      {"mqtt-topic", "event-type", "", [](T& t, S v) { t.event_type = v; }},
      {"mqtt-topic", "function", "", [](T& t, S v) { t.function = v; }},
      {"mqtt-topic", "customer", "", [](T& t, S v) { t.tenant = v; }},
      {"mqtt-topic", "weight", "1", [](T& t, S v) { t.weight = number_in(v, 0.001, 1000); }},
  };
  return all;
}

struct Written {
  std::string value;
  int line = 0;
};
using Section = std::map<std::string, Written>;

class Reading {
 public:
  Reading(std::string path, std::string_view text) : path_(std::move(path)), rest_(text) {}

  DeploymentConfiguration run() {
    ini_parse_stream(&Reading::next_line, this, &Reading::take, this);
    DeploymentConfiguration configuration;
    fixed(configuration);
    for (const auto& [section, written] : sections_) {
      const int line = section_lines_.at(section);
      const auto gap = section.find(' ');
      const std::string kind = section.substr(0, gap);
      if (gap != std::string::npos && kind == "traffic") {
        traffic(configuration, section, named(line, section, gap), written);
      } else if (gap != std::string::npos && kind == "customer") {
        Tenant customer;
        customer.name = named(line, section, gap);
        fill(section, line, customer_keys(), customer, written, configuration);
        configuration.routing.tenants.push_back(customer);
      } else if (gap != std::string::npos && kind == "mqtt-topic") {
        MqttTopic topic;
        topic.name = named(line, section, gap);
        fill(section, line, topic_keys(), topic, written, configuration);
        configuration.mqtt.topics.push_back(topic);
      } else if (gap != std::string::npos && kind == "kind") {
        const std::string of = named(line, section, gap);
        kind_memory(configuration, section, written);
      } else if (section == "peers") {
        routers(configuration.peers.addresses, configuration.routing.routers, written);
      } else if (section == "replica") {
        routers(configuration.replication.addresses, configuration.routing.routers, written);
      } else if (std::ranges::none_of(keys(),
                                      [&, &of = section](const auto& key) { return of == key.section; })) {
        fault(line, "[" + section + "]",
              "is none of router, rules, permissions, functions, servers, http, mqtt, roster, peers, "
              "replica, log, "
              "traffic NAME, customer NAME, kind NAME, mqtt-topic NAME");
      }
    }
    configuration.routing.load_budget.restored_after_restart =
        !configuration.replication.listen.empty() &&
        configuration.routing.load_budget.window > Duration::zero();
    if (faults_.empty()) together(configuration);
    if (!faults_.empty()) throw BadFile(std::move(faults_));
    return configuration;
  }

 private:
  // inih asks for a line at a time, like fgets.
  static char* next_line(char* into, int size, void* self) {
    Reading& reading = *static_cast<Reading*>(self);
    if (reading.rest_.empty() || reading.line_ >= static_cast<int>(most_lines)) {
      if (!reading.rest_.empty()) reading.fault(reading.line_, "file", "is longer than 20000 lines");
      reading.rest_ = {};
      return nullptr;
    }
    ++reading.line_;
    const std::size_t end = std::min(reading.rest_.find('\n'), reading.rest_.size());
    std::string_view line = reading.rest_.substr(0, end);
    reading.rest_.remove_prefix(std::min(end + 1, reading.rest_.size()));
    if (line.find('\0') != std::string_view::npos) {
      reading.fault(reading.line_, "line", "holds a zero byte");
      line = {};
    }
    if (line.size() > longest_line) {
      reading.fault(reading.line_, "line", "is longer than 190 bytes");
      line = {};
    }
    if (line.starts_with('[') && line.find(']') > longest_head + 1) {
      reading.fault(reading.line_, "section", "has no ] or a name longer than 48 bytes");
      line = {};
    }
    if (line.starts_with('[')) {
      const std::string section(line.substr(1, line.find(']') - 1));
      reading.section_lines_.try_emplace(section, reading.line_);
      reading.sections_[section];  // also when no key follows
    }
    if (!line.empty() && (line.front() == ' ' || line.front() == '\t') &&
        line.find_first_not_of(" \t\r") != std::string_view::npos) {
      reading.fault(reading.line_, "line", "begins with a space");
      line = {};
    }
    const bool plain = !line.empty() && line.find_first_not_of(" \t\r") != std::string_view::npos &&
                       line.front() != '[' && line.front() != ';' && line.front() != '#';
    if (plain && line.find_first_of("=:") == std::string_view::npos) {
      reading.fault(reading.line_, "line", "is no section, no KEY = VALUE and no comment");
      line = {};
    }
    std::size_t length = std::min(line.size(), static_cast<std::size_t>(size) - 2);
    std::ranges::copy(line.substr(0, length), into);
    into[length++] = '\n';
    into[length] = 0;
    return into;
  }

  static int take(void* self, const char* section, const char* key, const char* value) {
    Reading& reading = *static_cast<Reading*>(self);
    if (*section == 0) {
      reading.fault(reading.line_, key, "stands before the first [section]");
      return 1;
    }
    const auto [it, fresh] =
        reading.sections_[section].try_emplace(key, Written{value == nullptr ? "" : value, reading.line_});
    if (!fresh)
      reading.fault(reading.line_, key, "is written twice, first in line " + std::to_string(it->second.line));
    return 1;
  }

  void fault(int line, const std::string& key, const std::string& reason) {
    if (faults_.size() < most_faults)
      faults_.push_back(path_ + ":" + std::to_string(line) + ": " + key + ": " + reason);
  }

  std::string named(int line, const std::string& section, std::size_t gap) {
    try {
      return name(section.substr(gap + 1));
    } catch (const Fault& wrong) {
      fault(line, "[" + section + "]", wrong.what());
      return "";
    }
  }

  template <typename Target>
  void fill(const std::string& section, int line, const std::vector<Key<Target>>& table, Target& target,
            const Section& written, DeploymentConfiguration& configuration, const char* only = nullptr) {
    configuration.in_force.push_back("[" + section + "]");
    for (const Key<Target>& key : table) {
      if (only != nullptr && std::string_view(only) != key.section) continue;
      const auto it = written.find(key.name);
      if (it == written.end() && key.otherwise == nullptr) {
        fault(line, key.name, "is missing in [" + section + "]");
        continue;
      }
      const std::string value = it == written.end() ? key.otherwise : it->second.value;
      try {
        key.set(target, value);
        configuration.in_force.push_back(std::string(key.name) + " = " + value);
      } catch (const Fault& wrong) {
        fault(it == written.end() ? line : it->second.line, key.name, wrong.what());
      }
    }
    for (const auto& [key, value] : written) {
      const bool known = std::ranges::any_of(table, [&, &name_is = key](const Key<Target>& row) {
        return name_is == row.name && (only == nullptr || std::string_view(only) == row.section);
      });
      const bool peer = (section == "peers" || section == "replica") && key.starts_with("router-");
      if (!known && !peer) fault(value.line, key, "is no key of [" + section + "]");
    }
  }

  void fixed(DeploymentConfiguration& configuration) {
    std::vector<std::string> order;
    for (const auto& key : keys()) {
      if (std::ranges::find(order, key.section) == order.end()) order.emplace_back(key.section);
    }
    static const Section nothing;
    for (const std::string& section : order) {
      const auto it = sections_.find(section);
      fill(section, 0, keys(), configuration, it == sections_.end() ? nothing : it->second, configuration,
           section.c_str());
    }
  }

  void traffic(DeploymentConfiguration& configuration, const std::string& section, const std::string& type,
               const Section& written) {
    TypeSection row;
    row.type.name = type;
    const int line = section_lines_.at(section);
    const std::size_t before = faults_.size();
    fill(section, line, type_keys(), row, written, configuration);
    if (faults_.size() > before) return;
    const auto at = [&](const char* key) {
      const auto it = written.find(key);
      return it == written.end() ? line : it->second.line;
    };
    if (row.type.latency_objective > row.type.deadline_span)
      fault(at("due"), "due", "is longer than the hard limit");
    if (row.type.deadline_span <= 2 * configuration.routing.tick)
      fault(at("hard-limit"), "hard-limit",
            "is not longer than two ticks: rule 1 (one final answer in time) could not be kept");
    if (row.type.deadline_span > to_duration(hour))
      fault(at("hard-limit"), "hard-limit", "is longer than an hour");
    if (row.type.retry_safety == RetrySafety::keyed &&
        row.type.deduplication_span <= configuration.routing.tick)
      fault(
          at("memory-span"), "memory-span",
          "of a numbered type is not longer than the tick: rule 2 (no effect twice) forbids resending then, "
          "so write effect = at-most-once");
    const std::string event_type = row.event_type.empty() ? type : row.event_type;
    if (!configuration.class_of_event_type.emplace(event_type, type).second)
      fault(at("event-type"), "event-type", "'" + event_type + "' belongs to two traffic types");
    if (row.marks != replica::MarkLevel::none && configuration.replication.listen.empty())
      fault(at("marks"), "marks", "are told or held, but [replica] has no listen");
    if (row.marks != replica::MarkLevel::none && row.type.retry_safety == RetrySafety::idempotent)
      fault(at("marks"), "marks", "of a reissuable type bring nothing: it may run twice");
    if (row.marks != replica::MarkLevel::none &&
        to_duration(configuration.replication.mark_life) <= row.type.deadline_span)
      fault(line_of("replica", "mark-life"), "mark-life", "is not longer than the hard limit of " + type);
    if (row.marks != replica::MarkLevel::none) configuration.replication.marks[type] = row.marks;
    configuration.routing.request_classes.push_back(row.type);
  }

  // Checked only: no decision needs it.
  void kind_memory(DeploymentConfiguration& configuration, const std::string& section,
                   const Section& written) {
    double memory = 0;
    const std::vector<Key<double>> table{
        {"kind", "memory-mb", nullptr, [](double& m, const std::string& v) { m = number_in(v, 1, 1e9); }}};
    fill(section, section_lines_.at(section), table, memory, written, configuration);
  }

  // router-0 = 127.0.0.1:9100 and so on.
  void routers(std::vector<std::string>& addresses, int count, const Section& written) {
    addresses.resize(static_cast<std::size_t>(count));
    for (const auto& [key, value] : written) {
      if (!key.starts_with("router-")) continue;
      try {
        const auto number = whole_in(key.substr(7), 0, count - 1);
        addresses[static_cast<std::size_t>(number)] = where(value.value);
        if (value.value.starts_with("fd:")) throw Fault("'" + value.value + "' is no address");
      } catch (const Fault& wrong) {
        fault(value.line, key, wrong.what());
      }
    }
  }

  int line_of(const char* section, const char* key) const {
    const auto it = sections_.find(section);
    if (it == sections_.end()) return 0;
    const auto at = it->second.find(key);
    return at == it->second.end() ? 0 : at->second.line;
  }

  // What is right alone and wrong together.
  void together(const DeploymentConfiguration& configuration) {
    const RoutingConfiguration& d = configuration.routing;
    if (d.router_number >= d.routers)
      fault(line_of("router", "number"), "number", "is not below routers, " + std::to_string(d.routers));
    if (d.request_classes.empty()) fault(0, "[traffic NAME]", "is missing: no event could be taken");
    if (d.reports.gossip && configuration.peers.listen.empty())
      fault(line_of("permissions", "peers"), "peers", "is yes but [peers] has no listen");
    if (d.load_budget.window > Duration::zero() && !d.copies.prewarm)
      fault(line_of("rules", "load-window"), "load-window", "rations orders, but [functions] orders is no");
    if (d.load_budget.window > Duration::zero() && d.load_budget.free_loads < 1 &&
        d.load_budget.loads_per_request <= 0)
      fault(line_of("rules", "load-free"), "load-free",
            "below 1 with loads-per-event 0 permits no order at all: write [functions] orders = no");
    if (d.copies.missing_is_answered && !d.copies.prewarm)
      fault(line_of("functions", "when-missing"), "when-missing",
            "is miss, but without orders nothing would ever be loaded");
    if (d.reports.load_reports == "probe" && !d.reports.probes)
      fault(line_of("servers", "reports"), "reports", "come with probes, but [permissions] probing is no");
    if (configuration.replication.held_by >= std::max(d.routers, 1))
      fault(line_of("replica", "held-by"), "held-by",
            "is more than there are other routers: no marks could be held");
    const bool any_held = std::ranges::any_of(configuration.replication.marks, [](const auto& type) {
      return type.second == replica::MarkLevel::held;
    });
    if (any_held && configuration.replication.held_by == 0 &&
        (d.routers < 2 || d.routers > replica::most_meeting))
      fault(line_of("replica", "held-by"), "held-by",
            "must be told: only 2 to " + std::to_string(replica::most_meeting) +
                " routers can have every two takings of an event meet");
    if (!configuration.mqtt.topics.empty() && configuration.mqtt.address.empty())
      fault(line_of("mqtt", "address"), "address", "of the broker is missing in [mqtt], but topics are told");
    if (!configuration.mqtt.address.empty() && configuration.mqtt.topics.empty())
      fault(line_of("mqtt", "address"), "address", "of a broker is told, but no [mqtt-topic NAME]");
    double shares = 0;
    for (const Tenant& customer : d.tenants) shares += customer.share;
    if (shares > 1.000001) fault(0, "[customer NAME] share", "of all customers is more than 1 together");
    if (d.tick >= d.drain_grace && d.drain_grace > Duration::zero())
      fault(line_of("rules", "drain-grace"), "drain-grace",
            "is not longer than the tick: rule 3 (drains are kept) could not be kept");
  }

  std::string path_;
  std::string_view rest_;
  int line_ = 0;
  std::map<std::string, Section> sections_;
  std::map<std::string, int> section_lines_;
  std::vector<std::string> faults_;
};

std::string joined(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) text += (text.empty() ? "" : "\n") + line;
  return text;
}

}  // namespace

BadFile::BadFile(std::vector<std::string> faults)
    : std::runtime_error(joined(faults)), faults_(std::move(faults)) {}

DeploymentConfiguration read_text(const std::string& path, std::string_view text) {
  return Reading(path, text).run();
}

DeploymentConfiguration read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in.is_open() || in.bad()) throw BadFile({path + ":0: file: cannot be read"});
  return read_text(path, text);
}

}  // namespace rushhill::deployment
