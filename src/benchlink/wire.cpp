#include "wire.h"

#include <array>
#include <iostream>
#include <set>
#include <utility>

#include "routing/routing_policy.h"
#include "settings/deployment.h"

namespace rushhill::benchlink {
namespace {

using Json = nlohmann::json;
using settings::ceil_duration;
using settings::Fields;
using settings::floor_duration;
using settings::read_deployment;
using settings::read_server;
using settings::to_ns;

constexpr std::array ending_words{"served",     "server_error",  "turned_away",
                                  "no_answer",  "no_connection", "connection_lost",
                                  "called_off", "not_sent",      "not_stored"};
constexpr std::array form_words{"diff", "snapshot", "disk", "error"};

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
class Link::Instance final : public RoutingHost {
 public:
  Instance(std::int64_t number, std::string& reply) : number_(number), reply_(reply) {}

  void start(const RoutingConfiguration& deployment, std::uint64_t seed) {
    router_ = make_routing_policy(deployment, seed, *this);
  }
  RoutingPolicy& router() { return *router_; }

  void send_attempt(RequestId event, const EndpointId& server, const AttemptLimits& limits) override {
    Json line = action("relay");
    line["job"] = event;
    line["server"] = server;
    if (limits.timeout != Duration::zero()) line["max-wait"] = to_ns(to_ticks(limits.timeout));
    write(line);
  }
  void cancel_attempt(RequestId event, int leg) override {
    Json line = action("abandon");
    line["job"] = event;
    line["leg"] = leg;
    write(line);
  }
  void reject(RequestId event, Duration retry_after) override {
    Json line = action("turn-away");
    line["job"] = event;
    if (retry_after != Duration::zero()) line["come-back"] = to_ns(to_ticks(retry_after));
    write(line);
  }
  void fail(RequestId event) override {
    Json line = action("abort");
    line["job"] = event;
    write(line);
  }
  void set_timer(std::int64_t token, Timestamp at) override {
    Json line = action("timer");
    line["token"] = token;
    line["alarm-time"] = to_ns(to_ticks(at));
    write(line);
  }
  void probe(const EndpointId& server) override { write_for_server("ask-load", server); }
  void close_idle_connections(const EndpointId& server) override { write_for_server("free-links", server); }
  void prewarm(const EndpointId& server, const FunctionId& function, int copies) override {
    Json line = action("warm-up");
    line["app"] = function;
    line["server"] = server;
    line["copies"] = copies;
    write(line);
  }
  void evict(const EndpointId& server, const FunctionId& function) override {
    Json line = action("unmount");
    line["server"] = server;
    line["app"] = function;
    write(line);
  }
  void send_gossip(int router, const std::string& bytes) override {
    Json line = action("share");
    if (router < 0) {
      line["whom"] = "all";
    } else {
      line["whom"] = router;
    }
    line["content"] = to_base64(bytes);
    write(line);
  }
  void watch_endpoints(bool on) override {
    Json line = action("follow");
    line["enable"] = on;
    write(line);
  }
  void resync_endpoints() override { write(action("reload")); }
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
  void write_for_server(const char* op, const EndpointId& server) {
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
  std::unique_ptr<RoutingPolicy> router_;
};

Link::Link(std::istream& in, std::ostream& out, std::ostream* recording)
    : in_(in), out_(out), recording_(recording) {}
Link::~Link() = default;

void Link::run() {
  std::string text;
  while (std::getline(in_, text)) {
    ++line_number_;
    if (text.empty()) continue;
    if (recording_ != nullptr) batch_text_ += text + '\n';
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
    std::vector<Endpoint> servers;
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
    const RoutingConfiguration deployment = read_deployment(fields.object("info"));
    instances_[number] = std::make_unique<Instance>(number, reply_);
    guarded(number, [&](Instance& instance, Timestamp) {
      instance.start(deployment, static_cast<std::uint64_t>(seed));
    });
  } else if (op == "update") {
    const auto form = fields.word<EndpointListForm>("form", form_words);
    static const std::vector<Endpoint> none;
    const std::vector<Endpoint>* servers = &none;
    if (form != EndpointListForm::failed) {
      const auto found = rosters_.find(fields.whole("sheet"));
      if (found == rosters_.end()) throw BadLine("field 'sheet' names no roster");
      servers = &found->second;
    }
    guarded(number, [&](Instance& instance, Timestamp now) {
      instance.router().endpoints_updated(now, form, *servers);
    });
  } else if (op == "request") {
    RoutingRequest event;
    event.id = fields.whole("job");
    event.request_class = fields.text("grade");
    const Json* customer = fields.find("customer");
    if (customer != nullptr && customer->is_string()) event.tenant = customer->get<std::string>();
    event.function = fields.text("app", "");
    event.time_left = floor_duration(fields.whole("budget"));
    event.memory_mb = fields.number("ram-mb", 0);
    event.lanes = fields.number("width", 1);
    const std::int64_t opts = fields.whole("opts", 0);
    if ((opts & 1) != 0) event.work = ceil_duration(fields.whole("cost", 0));
    event.repeat = (opts & 2) != 0;
    event.write = (opts & 4) != 0;
    event.load_time = ceil_duration(static_cast<std::int64_t>(fields.number("load-ms", 0) * 1e6));
    guarded(number,
            [&](Instance& instance, Timestamp now) { instance.router().request_received(now, event); });
  } else if (op == "flowing") {
    const RequestId event = fields.whole("job");
    const int leg = static_cast<int>(fields.whole("leg", 0));
    guarded(number,
            [&](Instance& instance, Timestamp now) { instance.router().response_started(now, event, leg); });
  } else if (op == "finished") {
    AttemptEnd end;
    end.request = fields.whole("job");
    end.attempt_number = static_cast<int>(fields.whole("leg", 0));
    end.endpoint = fields.text("server");
    end.outcome = fields.word<AttemptOutcome>("ending", ending_words);
    end.final = fields.flag("final");
    end.taken = floor_duration(fields.whole("time-taken", 0));
    const std::int64_t note = fields.whole("note", 0);
    end.copy_state = note % 8 >= 1 && note % 8 <= 4 ? static_cast<CopyState>(note % 8) : CopyState::unknown;
    end.in_flight = static_cast<int>(note / 8);
    end.report = fields.numbers("feedback");
    guarded(number, [&](Instance& instance, Timestamp now) { instance.router().attempt_ended(now, end); });
  } else if (op == "client-gone") {
    const RequestId event = fields.whole("job");
    guarded(number,
            [&](Instance& instance, Timestamp now) { instance.router().client_cancelled(now, event); });
  } else if (op == "bell") {
    const std::int64_t token = fields.whole("token");
    guarded(number, [&](Instance& instance, Timestamp now) { instance.router().timer_fired(now, token); });
  } else if (op == "checked") {
    const ProbeEnd end{fields.text("server"), fields.word<AttemptOutcome>("ending", ending_words),
                       floor_duration(fields.whole("time-taken", 0)), fields.numbers("feedback")};
    guarded(number, [&](Instance& instance, Timestamp now) { instance.router().probe_ended(now, end); });
  } else if (op == "resident") {
    const PrewarmEnd end{
        fields.text("server"), fields.text("app"), fields.word<AttemptOutcome>("ending", ending_words),
        floor_duration(fields.whole("time-taken", 0)), static_cast<int>(fields.whole("copies", 0))};
    guarded(number, [&](Instance& instance, Timestamp now) { instance.router().prewarm_ended(now, end); });
  } else {  // note-from
    const int from = static_cast<int>(fields.whole("by"));
    const std::string bytes = from_base64(fields.text("content", ""));
    guarded(number,
            [&](Instance& instance, Timestamp now) { instance.router().gossip_received(now, from, bytes); });
  }
}

// What the module throws ends the day with the wire's own failure message.
void Link::guarded(std::int64_t number, const std::function<void(Instance&, Timestamp)>& call) {
  const auto found = instances_.find(number);
  if (found == instances_.end()) throw BadLine("field 'i' names no running instance");
  try {
    call(*found->second, Timestamp{floor_duration(clock_ns_)});
  } catch (const std::exception& error) {
    found->second->give_in(error.what());
  }
}

void Link::flush() {
  reply_ += "{\"op\":\"yield\"}\n";
  out_ << reply_ << std::flush;
  reply_.clear();
  in_batch_ = false;
  if (recording_ != nullptr) record_batch();
}

// Only whole batches: the simulator may end the adapter at any moment, and a recording has to be readable.
void Link::record_batch() {
  *recording_ << batch_text_ << std::flush;
  batch_text_.clear();
}

}  // namespace rushhill::benchlink
