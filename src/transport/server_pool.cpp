#include "transport/server_pool.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

#include "transport/idle_close.h"

namespace rushhill::transport {
namespace {

using Json = nlohmann::json;

constexpr std::size_t most_report_values = 32;   // values of a load report that are read
constexpr Time unload_limit = 10'000;            // tenths of a millisecond; nobody waits for its answer
constexpr std::uint32_t reply_head = 32 * 1024;  // bytes; twice what the front takes, as servers add to it

// ORCA's names and the module's.
std::string report_name(std::string_view name) {
  static const std::map<std::string_view, const char*> known{{"cpu_utilization", "util"},
                                                             {"mem_utilization", "x0"},
                                                             {"rps", "qps"},
                                                             {"rps_fractional", "qps"},
                                                             {"eps", "eps"}};
  if (const auto it = known.find(name); it != known.end()) return it->second;
  constexpr std::string_view named = "named_metrics.";
  return name.starts_with(named) ? std::string(name.substr(named.size())) : std::string();
}

void add(LoadReport& report, std::string_view name, double value) {
  const std::string own = report_name(name);
  if (!own.empty() && value >= 0 && value < 1e12 && report.size() < most_report_values) report[own] = value;
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

std::optional<int> whole(const std::string* text) {
  int value = 0;
  if (text == nullptr) return std::nullopt;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
  if (error != std::errc{} || end != text->data() + text->size()) return std::nullopt;
  return value;
}

// What a refusal's header proves; nothing: it may have run.
std::optional<core::AttemptResult> never_ran(const std::string* word) {
  if (word == nullptr) return std::nullopt;
  if (*word == "full" || *word == "draining")
    return core::AttemptResult{.outcome = AttemptOutcome::overloaded};
  if (*word == "misdirected") return core::AttemptResult{.outcome = AttemptOutcome::connect_failed};
  if (*word == "not-stored") return core::AttemptResult{.outcome = AttemptOutcome::function_missing};
  if (*word == "load-failed")
    return core::AttemptResult{.outcome = AttemptOutcome::function_missing,
                               .copy_state = CopyState::load_failed};
  return std::nullopt;
}

std::string model_path(const FunctionId& function, const char* verb) {
  return "/v2/repository/models/" + path_segment(function) + "/" + verb;
}

}  // namespace

std::string path_segment(std::string_view text) {
  std::string coded;
  for (const char c : text) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                       c == '-' || c == '_' || c == '.' || c == '~';
    if (plain) {
      coded += c;
    } else {
      constexpr std::string_view digits = "0123456789ABCDEF";
      coded +=
          {'%', digits[static_cast<unsigned char>(c) >> 4U], digits[static_cast<unsigned char>(c) & 15U]};
    }
  }
  return coded;
}

LoadReport load_report(std::string_view header) {
  LoadReport report;
  header = trimmed(header);
  if (header.starts_with("JSON ")) {
    const Json object = Json::parse(header.substr(5), nullptr, false);
    if (!object.is_object()) return report;
    for (const auto& [name, value] : object.items()) {
      if (value.is_number()) add(report, name, value.get<double>());
      if (name != "named_metrics" || !value.is_object()) continue;
      for (const auto& [inner, of_inner] : value.items()) {
        if (of_inner.is_number()) add(report, "named_metrics." + inner, of_inner.get<double>());
      }
    }
    return report;
  }
  if (!header.starts_with("TEXT ")) return report;
  for (header.remove_prefix(5); !header.empty();) {
    const std::size_t end = std::min(header.find(','), header.size());
    const std::string_view pair = trimmed(header.substr(0, end));
    header.remove_prefix(std::min(end + 1, header.size()));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    const std::string_view number = trimmed(pair.substr(equals + 1));
    double value = 0;
    const auto [stop, error] = std::from_chars(number.data(), number.data() + number.size(), value);
    if (error == std::errc{} && stop == number.data() + number.size())
      add(report, trimmed(pair.substr(0, equals)), value);
  }
  return report;
}

core::AttemptResult attempt_result(HttpResponse response) {
  core::AttemptResult result{.outcome = AttemptOutcome::error};
  const bool good = response.status >= 200 && response.status < 300;
  if (!good) result = never_ran(response.header("rushhill-never-ran")).value_or(result);
  if (const std::string* report = response.header("endpoint-load-metrics"))
    result.report = load_report(*report);
  result.in_flight = std::clamp(whole(response.header("rushhill-crowd")).value_or(0), 0, 1'000'000);
  if (!good) return result;
  if (const std::string* copy = response.header("rushhill-copy")) {
    result.copy_state = *copy == "found"          ? CopyState::loaded
                        : *copy == "began-load"   ? CopyState::load_started
                        : *copy == "awaited-load" ? CopyState::load_awaited
                                                  : CopyState::unknown;
  }
  try {
    result.reply = events::from_headers(response.headers, std::move(response.body));
    result.outcome = AttemptOutcome::succeeded;
  } catch (const events::BadEvent&) {
    result.outcome = AttemptOutcome::error;  // an answer that is no event: it may have run
  }
  return result;
}

struct ServerPool::Exchange {
  enum class Kind { shot, probe, order, enquiry, unload } kind = Kind::shot;
  EndpointId server{};
  RequestId event = 0;
  int leg = 0;
  FunctionId function{};
  Time limit = 0;  // 0: ended from above
  std::string bytes{};
  bool started = false;  // bytes of it have left
};

// One connection: connecting, at one exchange, or idle.
class ServerPool::Link final : public StreamHandler, public Numbered {
 public:
  Link(ServerPool& pool, Server& server)
      : pool_(pool), reactor_(pool.reactor_), server_(server), reader_({reply_head, pool.bounds_.reply}) {}
  ~Link() override {
    withdraw();
    if (stream_) stream_->close();
  }

  void connect(Exchange exchange) {
    exchange_ = std::move(exchange);
    stream_ = Stream::connect(reactor_, *server_.address, *this);
    alarm_ = reactor_.at(reactor_.now() + pool_.bounds_.connect_limit,
                         [this] { fail(AttemptOutcome::connect_failed); });
  }
  void use(Exchange exchange) {
    withdraw();
    idle_before_ = reactor_.now() - idle_since_;
    exchange_ = std::move(exchange);
    send();
  }
  Time idle_since() const { return idle_since_; }
  void close() {
    withdraw();
    if (stream_) stream_->close();
  }
  bool sound() { return !stream_->closed() && stream_->peek() == Stream::Peeked::nothing; }
  void retire() { reusable_ = false; }  // its address is no longer the server's
  Server& server() { return server_; }
  // The shot is given up: whatever still comes is heard by nobody, the connection is used no more.
  void abandon() {
    withdraw();
    exchange_.reset();
    stream_->close();
  }

  // Nothing of what is asked on it has left: it is on its way up, or takes nothing.
  bool unsent() const { return exchange_ && stream_->handed_over_bytes() == sent_before_; }
  void take_back() { fail(AttemptOutcome::not_sent); }

  void on_connected() override { send(); }
  void on_write_drained() override { note_started(); }

  void on_data(std::string_view bytes) override {
    if (!exchange_) return pool_.forget(*this);  // nothing was asked: not to be trusted
    came_ = true;
    in_ += bytes;
    for (;;) {
      const HttpProgress progress = reader_.put(in_);
      if (progress == HttpProgress::more) return;
      // What is no HTTP, or too much of it, is an answer all the same: it may have run.
      if (progress != HttpProgress::done) return fail(AttemptOutcome::error);
      HttpResponse response = reader_.take();
      if (response.status >= 200) return answered(std::move(response));
    }
  }

  void on_closed(CloseReason why) override {
    if (!exchange_) return pool_.forget(*this);
    if (why == CloseReason::not_started)
      return fail(AttemptOutcome::not_sent);  // ours, and says nothing of the server
    // Only where the system took no byte of it is it certain that nothing was begun.
    if (why == CloseReason::connect_failed || stream_->handed_over_bytes() == sent_before_)
      return fail(AttemptOutcome::connect_failed);
    if (why == CloseReason::closed_by_peer && reader_.end() == HttpProgress::done) {
      reusable_ = false;
      return answered(reader_.take());
    }
    const bool crossed = !came_ && crossed_idle_close(idle_before_, reactor_.now() - sent_);
    fail(crossed ? AttemptOutcome::unanswered : AttemptOutcome::connection_lost);
  }

 private:
  void send() {
    withdraw();
    sent_before_ = stream_->handed_over_bytes();
    sent_ = reactor_.now();
    came_ = false;
    if (exchange_->limit > 0)
      alarm_ = reactor_.at(exchange_->limit, [this] { fail(AttemptOutcome::unanswered); });
    const std::string bytes = std::move(exchange_->bytes);
    stream_->write(bytes);
    note_started();
  }
  void note_started() {
    if (!exchange_ || exchange_->kind != Exchange::Kind::shot || unsent()) return;
    if (!std::exchange(exchange_->started, true)) pool_.carried_->attempt_started(exchange_->event);
  }

  void answered(HttpResponse response) {
    withdraw();
    const auto self = pool_.hold(*this);
    Exchange exchange = *std::exchange(exchange_, std::nullopt);
    // A byte more than the answer, or an answer before all was sent, leaves the connection in doubt.
    const bool reuse = reusable_ && response.keep_alive && in_.empty() && stream_->pending_bytes() == 0 &&
                       !stream_->closed();
    if (exchange.kind == Exchange::Kind::shot) pool_.shots_.erase({exchange.event, exchange.leg});
    if (reuse) {
      server_.idle.push_back(this);
      idle_since_ = reactor_.now();
      alarm_ = reactor_.at(reactor_.now() + pool_.bounds_.idle, [this] { pool_.forget(*this); });
    } else {
      pool_.forget(*this);
    }
    pool_.end(exchange, &response, AttemptOutcome::succeeded);
  }

  void fail(AttemptOutcome ending) {
    const auto self = pool_.hold(*this);
    Exchange exchange = *std::exchange(exchange_, std::nullopt);
    if (exchange.kind == Exchange::Kind::shot) pool_.shots_.erase({exchange.event, exchange.leg});
    pool_.forget(*this);
    pool_.end(exchange, nullptr, ending);
  }

  void withdraw() { reactor_.cancel(alarm_); }

  ServerPool& pool_;
  Reactor& reactor_;  // also when the pool is gone
  Server& server_;
  std::shared_ptr<Stream> stream_;
  HttpResponseReader reader_;
  std::optional<Exchange> exchange_;
  std::string in_;
  std::size_t sent_before_ = 0;
  core::Timer alarm_;
  // Of the present exchange: how long the connection was idle before it, since when it is out, and whether
  // anything has come since.
  Time idle_since_ = 0, idle_before_ = 0, sent_ = 0;
  bool came_ = false;
  bool reusable_ = true;
};

ServerPool::ServerPool(Reactor& reactor, const PoolBounds& bounds, core::EventLog& diary)
    : reactor_(reactor), bounds_(bounds), diary_(diary) {}
ServerPool::~ServerPool() = default;

std::shared_ptr<ServerPool::Link> ServerPool::hold(Link& link) {
  const auto it = link.server().links.find(&link);
  return it == link.server().links.end() ? nullptr : it->second;
}

std::string ServerPool::address(const EndpointId& id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? "" : it->second->address_text;
}

void ServerPool::forget(Link& link) {
  Server& server = link.server();
  std::erase(server.idle, &link);
  const auto it = server.links.find(&link);
  if (it == server.links.end()) return;
  it->second->close();
  --connections_;
  // It may be the one that is calling: it goes when that call has returned.
  reactor_.post([this, gone = it->second, id = server.id, alive = std::weak_ptr(life_)] {
    if (!alive.expired()) drop_if_unused(id);
  });
  server.links.erase(it);
}

void ServerPool::set_address(const EndpointId& id, const std::string& address) {
  auto& known = servers_[id];
  if (!known) known = std::make_unique<Server>();
  known->id = id;
  if (known->address_text == address && (known->address || address.empty())) return;
  known->address_text = address;
  known->address.reset();
  if (!address.empty()) {
    try {
      known->address = std::make_unique<Address>(numeric_address(address));
    } catch (const std::invalid_argument& wrong) {
      diary_.write(core::Level::warning, "server cannot be reached",
                   {{"server", id}, {"reason", wrong.what()}});
    }
  }
  for (const auto& [link, held] : known->links) link->retire();
  for (Link* link : std::vector<Link*>(known->idle)) forget(*link);
  drop_if_unused(id);
}

// A server that is reached nowhere and has no connection left is forgotten.
void ServerPool::drop_if_unused(const EndpointId& id) {
  const auto it = servers_.find(id);
  if (it != servers_.end() && it->second->address_text.empty() && it->second->links.empty())
    servers_.erase(it);
}

void ServerPool::close_idle(const EndpointId& id) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) return;
  for (Link* link : std::vector<Link*>(it->second->idle)) forget(*link);
}

void ServerPool::start(const EndpointId& id, Exchange exchange) {
  exchange.server = id;
  const auto it = servers_.find(id);
  Server* server = it == servers_.end() ? nullptr : it->second.get();
  const std::pair key{exchange.event, exchange.leg};
  const bool shot = exchange.kind == Exchange::Kind::shot;
  while (server != nullptr && server->address && !server->idle.empty()) {
    Link* link = server->idle.back();
    server->idle.pop_back();
    if (!link->sound()) {
      forget(*link);
      continue;
    }
    if (shot) shots_[key] = link;
    return link->use(std::move(exchange));
  }
  const bool permitted = server != nullptr && server->address &&
                         server->links.size() < static_cast<std::size_t>(bounds_.connections);
  if (!permitted || (bounds_.total > 0 && connections_ >= bounds_.total && !make_room())) {
    auto refused = std::make_shared<Exchange>(std::move(exchange));
    // The bound of all together says nothing of the server.
    const AttemptOutcome ending = permitted ? AttemptOutcome::not_sent : AttemptOutcome::connect_failed;
    return reactor_.post([this, refused, ending, alive = std::weak_ptr(life_)] {
      if (!alive.expired()) end(*refused, nullptr, ending);
    });
  }
  ++connections_;
  const auto link = std::make_shared<Link>(*this, *server);
  server->links.emplace(link.get(), link);
  if (shot) shots_[key] = link.get();
  link->connect(std::move(exchange));
}

// Closes the connection that has been idle longest, whichever server's it is.
bool ServerPool::make_room() {
  Link* oldest = nullptr;
  for (const auto& [id, server] : servers_) {
    if (!server->idle.empty() &&
        (oldest == nullptr || server->idle.front()->idle_since() < oldest->idle_since()))
      oldest = server->idle.front();
  }
  if (oldest != nullptr) forget(*oldest);
  return oldest != nullptr;
}

void ServerPool::send(const core::AttemptCall& call) {
  HttpRequest request{.method = "POST", .target = "/", .headers = events::to_headers(call.message)};
  request.headers.emplace_back("host", call.endpoint);
  request.headers.emplace_back("rushhill-server", events::header_encoded(call.endpoint));
  request.headers.emplace_back("rushhill-router", std::to_string(bounds_.router));
  request.headers.emplace_back("rushhill-shot", std::to_string(call.attempt_number));
  request.headers.emplace_back("rushhill-time-left-ms", std::to_string(call.time_left / 10));
  request.body = call.message.data;
  start(call.endpoint, {.kind = Exchange::Kind::shot,
                        .event = call.request,
                        .leg = call.attempt_number,
                        .bytes = to_bytes(request)});
}

void ServerPool::cancel(RequestId event, int leg) {
  const auto it = shots_.find({event, leg});
  if (it == shots_.end()) return;
  Link* link = it->second;
  shots_.erase(it);
  link->abandon();
  forget(*link);
}

bool ServerPool::cancel_unsent(RequestId event, int leg) {
  const auto it = shots_.find({event, leg});
  if (it == shots_.end() || !it->second->unsent()) return false;
  cancel(event, leg);
  return true;
}

void ServerPool::cancel_all_unsent(const EndpointId& id) {
  const auto it = servers_.find(id);
  if (it == servers_.end()) return;
  const auto links = it->second->links;
  for (const auto& [link, held] : links) {
    if (!link->unsent()) continue;
    reactor_.post([link = link, held = held, alive = std::weak_ptr(life_)] {
      if (!alive.expired() && link->unsent()) link->take_back();
    });
  }
}

void ServerPool::probe(const EndpointId& server, Time limit) {
  const HttpRequest request{.method = "GET",
                            .target = "/v2/health/ready",
                            .headers = {{"host", server},
                                        {"rushhill-server", events::header_encoded(server)},
                                        {"endpoint-load-metrics-format", "JSON"}}};
  start(server, {.kind = Exchange::Kind::probe, .limit = reactor_.now() + limit, .bytes = to_bytes(request)});
}

void ServerPool::prewarm(const EndpointId& server, const FunctionId& function, int copies, Time limit) {
  HttpRequest request{.method = "POST",
                      .target = model_path(function, "load"),
                      .headers = {{"host", server},
                                  {"content-type", "application/json"},
                                  {"rushhill-server", events::header_encoded(server)},
                                  {"rushhill-router", std::to_string(bounds_.router)}}};
  request.body = Json{{"parameters", {{"copies", copies}}}}.dump();
  if (copies == 0) {
    request.target = "/v2/repository/index";
    request.body = Json{{"ready", true}}.dump();
  }
  start(server, {.kind = copies == 0 ? Exchange::Kind::enquiry : Exchange::Kind::order,
                 .function = function,
                 .limit = reactor_.now() + limit,
                 .bytes = to_bytes(request)});
}

void ServerPool::evict(const EndpointId& server, const FunctionId& function) {
  const HttpRequest request{.method = "POST",
                            .target = model_path(function, "unload"),
                            .headers = {{"host", server},
                                        {"rushhill-server", events::header_encoded(server)},
                                        {"rushhill-router", std::to_string(bounds_.router)}}};
  start(server, {.kind = Exchange::Kind::unload,
                 .function = function,
                 .limit = reactor_.now() + unload_limit,
                 .bytes = to_bytes(request)});
}

// Tells the core how an exchange ended: by an answer, or otherwise.
void ServerPool::end(Exchange& exchange, HttpResponse* response, AttemptOutcome otherwise) {
  using Kind = Exchange::Kind;
  if (exchange.kind == Kind::shot) {
    core::AttemptResult result = response == nullptr ? core::AttemptResult{.outcome = otherwise}
                                                     : attempt_result(std::move(*response));
    return carried_->attempt_ended(exchange.event, exchange.leg, std::move(result));
  }
  AttemptOutcome ending = otherwise;
  LoadReport report;
  int copies = 0;
  if (response != nullptr) {
    const bool good = response->status >= 200 && response->status < 300;
    const auto refusal = never_ran(response->header("rushhill-never-ran"));
    ending = good ? AttemptOutcome::succeeded : refusal ? refusal->outcome : AttemptOutcome::error;
    if (const std::string* text = response->header("endpoint-load-metrics")) report = load_report(*text);
    const Json body = Json::parse(response->body, nullptr, false);
    if (exchange.kind == Kind::order && body.is_object() && body.contains("copies") &&
        body["copies"].is_number_integer())
      copies = std::clamp(body["copies"].get<int>(), 0, 1000);
    if (exchange.kind == Kind::enquiry && body.is_array()) {
      for (const Json& row : body) {
        if (row.is_object() && row.contains("name") && row["name"] == exchange.function &&
            row.contains("copies") && row["copies"].is_number_integer())
          copies = std::clamp(row["copies"].get<int>(), 0, 1000);
      }
    }
  }
  if (exchange.kind == Kind::probe) carried_->probe_ended(exchange.server, ending, report);
  if (exchange.kind == Kind::order || exchange.kind == Kind::enquiry)
    carried_->prewarm_ended(exchange.server, exchange.function, ending, copies);
}

}  // namespace rushhill::transport
