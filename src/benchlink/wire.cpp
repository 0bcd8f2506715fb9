#include "wire.h"

#include <array>
#include <iostream>
#include <set>
#include <utility>

namespace rushhill::benchlink {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t ns_per_tenth = 100'000;

// Rounding keeps promises: what limits us is rounded down, what others need from us is rounded up.
Time floor_time(std::int64_t ns) {
  const Time whole = ns / ns_per_tenth;
  return ns % ns_per_tenth < 0 ? whole - 1 : whole;
}
Time ceil_time(std::int64_t ns) { return -floor_time(-ns); }
std::int64_t to_ns(Time time) { return time * ns_per_tenth; }

// Fields of one object; a missing or mistyped one is named in the error.
class Fields {
 public:
  explicit Fields(const Json& object, std::string where = "") : object_(object), where_(std::move(where)) {
    if (!object.is_object())
      throw BadLine(where_.empty() ? "not an object" : "field '" + where_ + "' is not an object");
  }

  const Json* find(const char* name) const {
    const auto found = object_.find(name);
    return found == object_.end() || found->is_null() ? nullptr : &*found;
  }
  const Json& need(const char* name) const {
    const Json* value = find(name);
    if (value == nullptr) throw BadLine("missing field '" + path(name) + "'");
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
    throw BadLine("field '" + path(name) + "' has the unknown value '" + value + "'");
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
    throw BadLine("field '" + path(name) + "' is not " + wanted);
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

constexpr std::array ending_words{"served",     "server_error",  "turned_away",
                                  "no_answer",  "no_connection", "connection_lost",
                                  "called_off", "not_sent",      "not_stored"};
constexpr std::array effect_words{"free", "guarded", "single_shot"};
constexpr std::array group_words{"all", "zone", "cell"};
constexpr std::array condition_words{"active", "leaving", "left"};
constexpr std::array form_words{"diff", "snapshot", "disk", "error"};

TrafficType read_traffic_type(const Json& entry) {
  const Fields fields(entry, "services");
  TrafficType type;
  type.name = fields.text("name");
  type.due = floor_time(fields.whole("promise"));
  type.hard_limit = floor_time(fields.whole("deadline"));
  type.importance = fields.number("worth", 1);
  type.late_share = fields.number("late-share", 0);
  type.effect = fields.word<Effect>("effect", effect_words);
  if (fields.find("group") != nullptr) type.group = fields.word<Group>("group", group_words);
  type.memory_span = floor_time(fields.whole("memory-span", 0));
  type.stream = fields.flag("stream");
  type.due_stretch = fields.number("aim-stretch", 0);
  return type;
}

void read_family(const Fields& family, const Json* kinds, Deployment& deployment) {
  deployment.orders = family.flag("placement-calls");
  deployment.miss_answers = family.text("not-loaded", "load") == "miss";
  deployment.tells_warm = family.flag("marks-cold");
  deployment.tells_crowd = family.flag("notes-peers-in-hand");
  deployment.keep_alive = floor_time(family.whole("keep", 0));
  deployment.order_limit = ceil_time(family.whole("answer-within", 0));
  deployment.load_window = ceil_time(family.whole("load-window", 0));
  deployment.load_free = family.number("load-free", 0);
  deployment.loads_per_event = family.number("loads-per-request", 0);
  deployment.memory_price = family.number("memory-price", 0);
  if (kinds == nullptr || family.find("kind-memory-mb") == nullptr) return;
  const Json& memory = family.list("kind-memory-mb");
  for (std::size_t i = 0; i < memory.size() && kinds->is_array() && i < kinds->size(); ++i) {
    if (memory[i].is_number() && (*kinds)[i].is_string()) {
      deployment.kind_memory_mb[(*kinds)[i].get<std::string>()] = memory[i].get<double>();
    }
  }
}

Deployment read_deployment(const Fields& info) {
  Deployment deployment;
  deployment.me = static_cast<int>(info.whole("me", 0));
  deployment.routers = static_cast<int>(info.whole("balancers", 1));
  deployment.location = info.text("zone", "");
  deployment.tick = ceil_time(info.whole("quantum", 0));
  deployment.over_share_worth = info.number("over-share-worth", 1);
  deployment.roster_on_request = info.text("discovery", "pushed") == "on_request";
  deployment.prices = info.numbers("penalties");
  deployment.result_mix = info.numbers("result-mix");
  deployment.locations = info.texts("dcs");
  deployment.stages = info.texts("stages");
  deployment.stage = static_cast<int>(info.whole("tier", 0));
  deployment.importance_by_work = info.text("worth-by", "request") == "work";
  deployment.rating_kind = info.text("weight-kind", "");
  if (info.find("clients") != nullptr) {
    deployment.clients_mark_repeats = info.object("clients").flag("marks-retry");
  }
  if (info.find("reporting") != nullptr) {
    deployment.reports = info.object("reporting").text("how", "");
    deployment.report_names = info.object("reporting").texts("names");
  }
  for (const Json& entry : info.list("services"))
    deployment.traffic_types.push_back(read_traffic_type(entry));
  if (info.find("tenants") != nullptr) {
    for (const Json& entry : info.list("tenants")) {
      const Fields fields(entry, "tenants");
      deployment.customers.push_back(
          {fields.text("name"), fields.number("share", 0), fields.number("quota-per-s", 0)});
    }
  }
  const Fields rules = info.object("obligations");
  deployment.answer_grace = floor_time(rules.whole("grace-to-answer", 0));
  deployment.drain_grace = floor_time(rules.whole("drain-grace", 0));
  deployment.ask_every = floor_time(rules.whole("ask-every", 0));
  deployment.fall_multiple = rules.number("fall-multiple", 1);
  deployment.fall_span = ceil_time(rules.whole("fall", 0));
  deployment.cold_share = rules.number("cold-share", 1);
  deployment.cold_span = ceil_time(rules.whole("cold", 0));
  const Fields permissions = info.object("permissions");
  deployment.shot_cap = static_cast<int>(permissions.whole("send-cap", 1));
  deployment.open_cap = static_cast<int>(permissions.whole("open-cap", 0));
  deployment.cancel = permissions.flag("cancel");
  deployment.second_copies = permissions.flag("second-copies");
  deployment.probing = permissions.flag("probing");
  deployment.peers = permissions.flag("peers");
  deployment.retry_advice = permissions.flag("retry-after");
  deployment.longest_retry_advice = floor_time(permissions.whole("max-retry-after", 0));
  deployment.shots_a_connection = static_cast<int>(permissions.whole("multiplex", 1));
  deployment.connection_idle = floor_time(permissions.whole("conn-idle", 0));
  deployment.cpu_per_event = static_cast<Time>(permissions.number("cpu-us-per-request", 0));
  deployment.cpu_per_second = static_cast<Time>(permissions.number("cpu-us-per-s", 0));
  deployment.connect_limit = ceil_time(permissions.whole("connect-timeout", 0));
  if (info.find("family-info") != nullptr)
    read_family(info.object("family-info"), info.find("kinds"), deployment);
  return deployment;
}

ModelServer read_server(const Json& entry) {
  const Fields fields(entry, "rows");
  ModelServer server;
  server.id = fields.text("server");
  const std::int64_t born = fields.whole("born", 0);
  server.started = born == 0 ? 0 : ceil_time(born);
  server.rating = fields.number("rating", 1);
  server.kind = fields.text("class-of-host", "");
  server.location = fields.text("failure-domain", "");
  server.cell = static_cast<int>(fields.whole("block", 0));
  if (fields.find("condition") != nullptr) {
    server.condition = fields.word<Condition>("condition", condition_words);
  }
  return server;
}

constexpr std::string_view base64_digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k > bytes.size() ? '=' : base64_digits[group >> (18U - 6U * k) & 63U];
    }
  }
  return text;
}

std::string from_base64(const std::string& text) {
  std::string bytes;
  std::uint32_t group = 0;
  unsigned bits = 0;
  for (const char digit : text) {
    if (digit == '=') break;
    const std::size_t value = base64_digits.find(digit);
    if (value == std::string_view::npos) throw BadLine("field 'content' is not base64");
    group = group << 6U | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 0xFFU);
    }
  }
  return bytes;
}

}  // namespace

// One router in the simulator: the module and the host that writes its actions to the reply.
class Link::Instance final : public Host {
 public:
  Instance(std::int64_t number, std::string& reply) : number_(number), reply_(reply) {}

  void start(const Deployment& deployment, std::uint64_t seed) {
    router_ = make_router(deployment, seed, *this);
  }
  Router& router() { return *router_; }

  void shoot(EventId event, const ServerId& server, Time time_out) override {
    Json line = action("relay");
    line["job"] = event;
    line["server"] = server;
    if (time_out != 0) line["max-wait"] = to_ns(time_out);
    write(line);
  }
  void call_off(EventId event, int leg) override {
    Json line = action("abandon");
    line["job"] = event;
    line["leg"] = leg;
    write(line);
  }
  void shed(EventId event, Time come_back) override {
    Json line = action("turn-away");
    line["job"] = event;
    if (come_back != 0) line["come-back"] = to_ns(come_back);
    write(line);
  }
  void abandon(EventId event) override {
    Json line = action("abort");
    line["job"] = event;
    write(line);
  }
  void wake(std::int64_t token, Time at) override {
    Json line = action("timer");
    line["token"] = token;
    line["alarm-time"] = to_ns(at);
    write(line);
  }
  void probe(const ServerId& server) override { write_for_server("ask-load", server); }
  void close_idle(const ServerId& server) override { write_for_server("free-links", server); }
  void order(const ServerId& server, const FunctionId& function, int copies) override {
    Json line = action("warm-up");
    line["app"] = function;
    line["server"] = server;
    line["copies"] = copies;
    write(line);
  }
  void unload(const ServerId& server, const FunctionId& function) override {
    Json line = action("unmount");
    line["server"] = server;
    line["app"] = function;
    write(line);
  }
  void tell(int router, const std::string& bytes) override {
    Json line = action("share");
    if (router < 0) {
      line["whom"] = "all";
    } else {
      line["whom"] = router;
    }
    line["content"] = to_base64(bytes);
    write(line);
  }
  void follow(bool on) override {
    Json line = action("follow");
    line["enable"] = on;
    write(line);
  }
  void reload() override { write(action("reload")); }
  void log(const std::string& text) override {
    Json line = action("journal-line");
    line["body-text"] = text;
    write(line);
  }
  void give_in(const std::string& text) {
    Json line = action("give-in");
    line["body-text"] = text;
    write(line);
  }

 private:
  Json action(const char* op) const { return Json{{"op", op}, {"i", number_}}; }
  void write_for_server(const char* op, const ServerId& server) {
    Json line = action(op);
    line["server"] = server;
    write(line);
  }
  void write(const Json& line) {
    reply_ += line.dump(-1, ' ', false, Json::error_handler_t::replace);
    reply_ += '\n';
  }

  std::int64_t number_;
  std::string& reply_;
  std::unique_ptr<Router> router_;
};

Link::Link(std::istream& in, std::ostream& out) : in_(in), out_(out) {}
Link::~Link() = default;

void Link::run() {
  std::string text;
  while (std::getline(in_, text)) {
    ++line_number_;
    if (text.empty()) continue;
    try {
      handle(Json::parse(text));
    } catch (const Json::exception&) {
      throw BadLine("line " + std::to_string(line_number_) + ": not JSON");
    } catch (const BadLine& error) {
      throw BadLine("line " + std::to_string(line_number_) + ": " + error.what());
    }
  }
  if (in_batch_) throw BadLine("line " + std::to_string(line_number_) + ": input ends within a batch");
}

void Link::handle(const Json& line) {
  const Fields fields(line);
  const std::string op = fields.text("op");
  if (op == "batch") {
    if (in_batch_) throw BadLine("a batch within a batch");
    clock_ns_ = fields.whole("ts");
    in_batch_ = true;
    return;
  }
  if (!in_batch_) throw BadLine("message '" + op + "' outside a batch");
  if (op == "flush") {
    flush();
  } else if (op == "roster") {
    std::vector<ModelServer> servers;
    for (const Json& entry : fields.list("rows")) servers.push_back(read_server(entry));
    rosters_[fields.whole("sheet")] = std::move(servers);
  } else {
    handle_instance(op, line);
  }
}

void Link::handle_instance(const std::string& op, const Json& line) {
  static const std::set<std::string> known{"born",     "update",      "request", "flowing",
                                           "finished", "client-gone", "bell",    "checked",
                                           "resident", "note-from",   "shutdown"};
  if (!known.contains(op)) throw BadLine("unknown message '" + op + "'");
  const Fields fields(line);
  const std::int64_t number = fields.whole("i");
  if (op == "shutdown") {
    instances_.erase(number);
    return;
  }
  if (op == "born") {
    const std::int64_t seed = fields.whole("entropy");
    const Deployment deployment = read_deployment(fields.object("info"));
    instances_[number] = std::make_unique<Instance>(number, reply_);
    guarded(number,
            [&](Instance& instance, Time) { instance.start(deployment, static_cast<std::uint64_t>(seed)); });
  } else if (op == "update") {
    const auto form = fields.word<RosterForm>("form", form_words);
    static const std::vector<ModelServer> none;
    const std::vector<ModelServer>* servers = &none;
    if (form != RosterForm::failed) {
      const auto found = rosters_.find(fields.whole("sheet"));
      if (found == rosters_.end()) throw BadLine("field 'sheet' names no roster");
      servers = &found->second;
    }
    guarded(number, [&](Instance& instance, Time now) { instance.router().roster(now, form, *servers); });
  } else if (op == "request") {
    Event event;
    event.id = fields.whole("job");
    event.traffic_type = fields.text("grade");
    const Json* customer = fields.find("customer");
    if (customer != nullptr && customer->is_string()) event.customer = customer->get<std::string>();
    event.function = fields.text("app", "");
    event.left = floor_time(fields.whole("budget"));
    event.memory_mb = fields.number("ram-mb", 0);
    event.lanes = fields.number("width", 1);
    const std::int64_t opts = fields.whole("opts", 0);
    if ((opts & 1) != 0) event.work = ceil_time(fields.whole("cost", 0));
    event.repeat = (opts & 2) != 0;
    event.write = (opts & 4) != 0;
    event.load_time = ceil_time(static_cast<std::int64_t>(fields.number("load-ms", 0) * 1e6));
    guarded(number, [&](Instance& instance, Time now) { instance.router().event(now, event); });
  } else if (op == "flowing") {
    const EventId event = fields.whole("job");
    const int leg = static_cast<int>(fields.whole("leg", 0));
    guarded(number, [&](Instance& instance, Time now) { instance.router().stream_began(now, event, leg); });
  } else if (op == "finished") {
    ShotEnd end;
    end.event = fields.whole("job");
    end.leg = static_cast<int>(fields.whole("leg", 0));
    end.server = fields.text("server");
    end.ending = fields.word<Ending>("ending", ending_words);
    end.final = fields.flag("final");
    end.taken = floor_time(fields.whole("time-taken", 0));
    const std::int64_t note = fields.whole("note", 0);
    end.warmth = note % 8 >= 1 && note % 8 <= 4 ? static_cast<Warmth>(note % 8) : Warmth::untold;
    end.crowd = static_cast<int>(note / 8);
    end.report = fields.numbers("feedback");
    guarded(number, [&](Instance& instance, Time now) { instance.router().shot_ended(now, end); });
  } else if (op == "client-gone") {
    const EventId event = fields.whole("job");
    guarded(number, [&](Instance& instance, Time now) { instance.router().client_gone(now, event); });
  } else if (op == "bell") {
    const std::int64_t token = fields.whole("token");
    guarded(number, [&](Instance& instance, Time now) { instance.router().woken(now, token); });
  } else if (op == "checked") {
    const ProbeEnd end{fields.text("server"), fields.word<Ending>("ending", ending_words),
                       floor_time(fields.whole("time-taken", 0)), fields.numbers("feedback")};
    guarded(number, [&](Instance& instance, Time now) { instance.router().probe_ended(now, end); });
  } else if (op == "resident") {
    const OrderEnd end{fields.text("server"), fields.text("app"), fields.word<Ending>("ending", ending_words),
                       floor_time(fields.whole("time-taken", 0)),
                       static_cast<int>(fields.whole("copies", 0))};
    guarded(number, [&](Instance& instance, Time now) { instance.router().order_ended(now, end); });
  } else {  // note-from
    const int from = static_cast<int>(fields.whole("by"));
    const std::string bytes = from_base64(fields.text("content", ""));
    guarded(number, [&](Instance& instance, Time now) { instance.router().told(now, from, bytes); });
  }
}

// What the module throws ends the day with the wire's own failure message.
void Link::guarded(std::int64_t number, const std::function<void(Instance&, Time)>& call) {
  const auto found = instances_.find(number);
  if (found == instances_.end()) throw BadLine("field 'i' names no running instance");
  try {
    call(*found->second, floor_time(clock_ns_));
  } catch (const std::exception& error) {
    found->second->give_in(error.what());
  }
}

void Link::flush() {
  reply_ += "{\"op\":\"yield\"}\n";
  out_ << reply_ << std::flush;
  reply_.clear();
  in_batch_ = false;
}

}  // namespace rushhill::benchlink
