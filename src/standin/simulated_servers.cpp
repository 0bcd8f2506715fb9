#include "standin/simulated_servers.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "events/cloudevent.h"
#include "routing/types.h"
#include "transport/listener.h"
#include "transport/numbered.h"

namespace rushhill::standin {
namespace {

using Json = nlohmann::json;
using transport::HttpProgress;
using transport::HttpRequest;
using transport::HttpResponse;

constexpr Time trickle_every = 10;         // tenths of a millisecond between two bytes of a trickled answer
constexpr Time back_after_drain = 10'000;  // tenths of a millisecond from gone to back
constexpr double drain_accepts = 0.6;      // of a drain's span in which the server still takes work

HttpResponse refusal(int status, const char* never_ran) {
  return {.status = status, .headers = {{"rushhill-never-ran", never_ran}}};
}

}  // namespace

// One server: its machine, its port, what ails it.
class SimulatedServers::Box {
 public:
  Box(SimulatedServers& fleet, const ServerSpec& make, std::uint64_t seed)
      : fleet_(fleet), port(fleet.reactor_.reserve(transport::numeric_address("127.0.0.1:0"))),
        machine(make, fleet.day_.rules, fleet.day_.missing_answers, fleet.store_, fleet.reactor_, seed,
                fleet.day_.mean_work()) {
    machine.start(false);
    listen();
    started();
  }

  void listen();
  void deafen(bool reset);  // takes no connection, drops those it has
  void started() {
    fleet_.record_.line({{"what", "started"},
                         {"server", machine.spec().id},
                         {"at", fleet_.reactor_.clock_ns()},
                         {"cold", started_ms > 0},
                         {"cores", machine.spec().cores},
                         {"speed", machine.spec().speed},
                         {"location", machine.spec().location},
                         {"cell", machine.spec().cell}});
  }
  bool has(FaultKind kind) const { return ailing.contains(kind); }

  SimulatedServers& fleet_;
  std::unique_ptr<transport::BoundSocket> port;
  ServerModel machine;
  std::unique_ptr<transport::Listener> listener;
  std::map<Connection*, std::shared_ptr<Connection>, transport::ByNumber> connections;
  std::map<FaultKind, int> ailing;
  std::string condition = "active";
  double started_ms = 0;  // Unix time; 0: long ago
};

// One router's connection: reads a request, answers it by the contract and the present faults.
class SimulatedServers::Connection final : public transport::StreamHandler, public transport::Numbered {
 public:
  Connection(Box& box, const transport::PendingConnection& arrival)
      : fleet_(box.fleet_), box_(box), reader_({}) {
    stream_ = transport::Stream::adopt(fleet_.reactor_, arrival, *this);
  }
  ~Connection() override { stream_->close(); }

  void on_data(std::string_view bytes) override {
    in_ += bytes;
    if (busy_) return;
    proceed();
  }
  void on_closed(transport::CloseReason) override { leave("closed-by-router"); }

  // The connection ends; what was open on it is recorded.
  void leave(const char* how, bool reset = false) {
    if (gone_) return;
    gone_ = true;
    if (reset) stream_->reset();
    stream_->close();
    record_end(how);
    if (job_ != 0) box_.machine.cancel_job(std::exchange(job_, 0));
    if (mark_ && !line_.contains("began")) fleet_.unmark(mark_);  // it never will run
    const auto it = box_.connections.find(this);
    fleet_.reactor_.post([held = it->second] {});
    box_.connections.erase(it);
  }

 private:
  void proceed() {
    const HttpProgress progress = reader_.put(in_);
    if (progress == HttpProgress::more) return;
    if (progress != HttpProgress::done) return leave("garbled");
    busy_ = true;
    ++requests_;
    const HttpRequest request = reader_.take();
    open_ = true;
    line_ = {{"at", fleet_.reactor_.clock_ns()}, {"server", box_.machine.spec().id}};
    for (const char* name : {"router", "shot"}) {
      if (const std::string* value = request.header(std::string("rushhill-") + name))
        line_[name] = std::atoi(value->c_str());
    }
    const std::string* meant = request.header("rushhill-server");
    if (meant != nullptr && *meant != box_.machine.spec().id) {
      line_["what"] = "misdirected";
      return answer(refusal(421, "misdirected"), "never-ran");
    }
    if (request.method == "POST" && request.target == "/") return shot(request);
    if (request.target == "/v2/health/ready") return answer(probe(), "answered");
    if (request.target == "/v2/repository/index") return answer(index(), "answered");
    repository(request);
  }

  void shot(const HttpRequest& request) {
    line_["what"] = "shot";
    events::CloudEvent event;
    try {
      event = events::from_headers(request.headers, request.body);
    } catch (const events::BadEvent& bad) {
      line_["fault"] = bad.what();
      return answer({.status = 400}, "error");
    }
    const std::string* name = event.other("function");
    line_["id"] = event.id;
    line_["source"] = event.source;
    line_["type"] = event.type;
    line_["function"] = name == nullptr ? "" : *name;
    if (box_.has(FaultKind::reset)) return leave("reset", true);
    if (box_.has(FaultKind::close_on_use) && requests_ > 1) return leave("closed-on-use");
    if (box_.has(FaultKind::fail_fast)) return answer({.status = 500}, "error");
    const FunctionSpec* function = name == nullptr ? nullptr : fleet_.day_.function(*name);
    if (function == nullptr) return answer(refusal(404, "not-stored"), "never-ran");
    line_["work"] = function->work;
    const RequestClassSpec* type = fleet_.day_.type(event.type);
    if (type != nullptr && type->effect == "numbered") {
      bool fresh = false;
      const auto mark = fleet_.mark(box_, *type, event.source + " " + event.id, fresh);
      if (!fresh) return repeat(mark, event);
      return run(*function, event, mark, request);
    }
    run(*function, event, nullptr, request);
  }

  // A numbered event that this group has seen: not run again, answered when the first run has ended.
  void repeat(const std::shared_ptr<Mark>& mark, const events::CloudEvent& event) {
    line_["repeat"] = true;
    const auto reply = [this, event, alive = weak()] {
      if (!alive.expired() && !gone_) answer_event(event, {.copy_state = CopyState::loaded});
    };
    if (mark->done) return reply();
    mark->waiters.push_back(reply);
  }

  void run(const FunctionSpec& function, const events::CloudEvent& event, const std::shared_ptr<Mark>& mark,
           const HttpRequest& request) {
    const std::string* left = request.header("rushhill-time-left-ms");
    const Time expires = left == nullptr ? 0 : fleet_.reactor_.now() + 10 * std::atoll(left->c_str());
    const auto began = [this, alive = weak(), line = line_] {
      // Noted at once: a connection that is gone by then ran its work all the same.
      Json seen{{"what", "ran"}, {"at", fleet_.reactor_.clock_ns()}};
      for (const char* key : {"server", "id", "source", "type", "function", "shot", "router"})
        if (line.contains(key)) seen[key] = line[key];
      if (!alive.expired()) line_["began"] = true;
      fleet_.record_.line(seen);
    };
    const bool was_fallen = box_.machine.collapsed();
    answered_at_once_ = false;
    mark_ = mark;
    const auto id =
        box_.machine.take({&function, function.work, expires}, began,
                          [this, alive = weak(), event, mark, &fleet = fleet_](const JobResult& end) {
                            if (mark && end.outcome == JobOutcome::completed) {
                              mark->done = true;
                              for (const auto& waiter : std::exchange(mark->waiters, {})) waiter();
                            } else if (mark) {
                              fleet.unmark(mark);
                            }
                            if (alive.expired() || gone_) return;
                            job_ = 0;
                            mark_.reset();
                            answered_at_once_ = true;
                            finished(event, end);
                          });
    if (!answered_at_once_ && !gone_) job_ = id;
    if (!was_fallen && box_.machine.collapsed())
      fleet_.record_.line(
          {{"what", "fell"}, {"server", box_.machine.spec().id}, {"at", fleet_.reactor_.clock_ns()}});
  }

  void finished(const events::CloudEvent& event, const JobResult& end) {
    switch (end.outcome) {
      case JobOutcome::completed:
        return answer_event(event, end);
      case JobOutcome::overloaded:
        return answer(refusal(503, "full"), "never-ran");
      case JobOutcome::draining:
        return answer(refusal(503, "draining"), "never-ran");
      case JobOutcome::function_missing:
        return answer(refusal(404, "not-stored"), "never-ran");
      case JobOutcome::load_failed:
        return answer(refusal(503, "load-failed"), "never-ran");
      case JobOutcome::expired:
        return answer({.status = 504}, "error");
    }
  }

  void answer_event(const events::CloudEvent& event, const JobResult& end) {
    constexpr const char* copy[] = {"", "found", "began-load", "awaited-load", ""};
    events::CloudEvent reply{.id = event.id + "-reply",
                             .source = "/servers/" + box_.machine.spec().id,
                             .type = event.type + ".reply",
                             .data_content_type = "application/json"};
    reply.data = Json{{"answers", event.id}, {"by", box_.machine.spec().id}}.dump();
    HttpResponse response{.headers = events::to_headers(reply), .body = reply.data};
    const char* word = copy[static_cast<std::size_t>(end.copy_state)];
    if (*word != 0) response.headers.emplace_back("rushhill-copy", word);
    response.headers.emplace_back("rushhill-crowd", std::to_string(end.in_flight));
    response.headers.emplace_back("endpoint-load-metrics", report());
    answer(std::move(response), "answered");
  }

  std::string report() const {
    return "TEXT cpu_utilization=" + std::to_string(box_.machine.utilization()) +
           ", named_metrics.inflight=" + std::to_string(box_.machine.job_count()) +
           ", named_metrics.x1=" + std::to_string(box_.machine.load_count());
  }

  HttpResponse probe() const {
    const Json report{
        {"cpu_utilization", box_.machine.utilization()},
        {"named_metrics", {{"inflight", box_.machine.job_count()}, {"x1", box_.machine.load_count()}}}};
    return {.headers = {{"endpoint-load-metrics", "JSON " + report.dump()}}};
  }

  HttpResponse index() const {
    Json rows = Json::array();
    for (const auto& [name, copies] : box_.machine.instance_counts()) {
      rows.push_back({{"name", name}, {"state", copies > 0 ? "READY" : "UNAVAILABLE"}, {"copies", copies}});
    }
    return {.headers = {{"content-type", "application/json"}}, .body = rows.dump()};
  }

  // The Open Inference Protocol's load and unload, with a parameter for copies.
  void repository(const HttpRequest& request) {
    constexpr std::string_view start = "/v2/repository/models/";
    const std::string& target = request.target;
    const auto slash = target.rfind('/');
    if (!target.starts_with(start) || slash < start.size()) return answer({.status = 404}, "error");
    const std::string name = target.substr(start.size(), slash - start.size());
    const std::string verb = target.substr(slash + 1);
    const FunctionSpec* function = fleet_.day_.function(name);
    line_["what"] = verb == "load" ? "order" : "unload";
    line_["function"] = name;
    if (function == nullptr) return answer(refusal(404, "not-stored"), "never-ran");
    if (verb == "unload") {
      box_.machine.evict(*function);
      return answer({.status = 200}, "answered");
    }
    const Json body = Json::parse(request.body, nullptr, false);
    int copies = 1;
    if (body.is_object() && body.contains("parameters") && body["parameters"].is_object())
      copies = body["parameters"].value("copies", 1);
    line_["copies"] = copies;
    box_.machine.prewarm(
        *function, std::clamp(copies, 1, 16), [this, alive = weak()](JobOutcome outcome, int standing) {
          if (alive.expired() || gone_) return;
          HttpResponse response = outcome == JobOutcome::completed     ? HttpResponse{.status = 200}
                                  : outcome == JobOutcome::load_failed ? HttpResponse{.status = 500}
                                  : outcome == JobOutcome::draining    ? refusal(503, "draining")
                                                                       : refusal(503, "full");
          response.headers.emplace_back("content-type", "application/json");
          response.body = Json{{"copies", standing}}.dump();
          answer(std::move(response), outcome == JobOutcome::completed ? "answered" : "never-ran");
        });
  }

  void answer(HttpResponse response, const char* how) {
    response.keep_alive = true;
    if (const std::string* word = response.header("rushhill-never-ran")) line_["refusal"] = *word;
    const std::string bytes = transport::to_bytes(response);
    const std::size_t head = bytes.find("\r\n\r\n") + 4;
    if (box_.has(FaultKind::silence)) return go_silent("silent");
    if (box_.has(FaultKind::lose_answers) && line_.contains("began")) return leave("lost-answer");
    const bool has_body = bytes.size() > head;  // without one, the head is all of it
    if (has_body && box_.has(FaultKind::mute_head)) {
      stream_->write(bytes.substr(0, head));
      return go_silent("mute-head");
    }
    if (has_body && box_.has(FaultKind::mute_half)) {
      stream_->write(bytes.substr(0, head + (bytes.size() - head) / 2));
      return go_silent("mute-half");
    }
    if (box_.has(FaultKind::garbage)) {
      stream_->write("\x16\x03 this is no HTTP\r\n\r\n\r\n");
      return go_silent("garbage");
    }
    if (box_.has(FaultKind::byte_at_a_time)) return byte_at_a_time(bytes, 0, how);
    stream_->write(bytes);
    done(how);
  }

  void byte_at_a_time(const std::string& bytes, std::size_t from, const char* how) {
    if (from == bytes.size()) return done(how);
    stream_->write(std::string_view(bytes).substr(from, 1));
    fleet_.reactor_.at(fleet_.reactor_.now() + trickle_every, [this, alive = weak(), bytes, from, how] {
      if (!alive.expired() && !gone_) byte_at_a_time(bytes, from + 1, how);
    });
  }

  // Nothing more is written; when the router leaves is still seen.
  void go_silent(const char* how) { line_["fault"] = how; }

  void done(const char* how) {
    record_end(how);
    busy_ = false;
    if (!in_.empty())
      fleet_.reactor_.post([this, alive = weak()] {
        if (!alive.expired() && !gone_ && !busy_) proceed();
      });
  }

  void record_end(const char* how) {
    if (!std::exchange(open_, false) || !line_.contains("what")) return;
    line_["ended"] = fleet_.reactor_.clock_ns();
    line_["how"] = how;
    fleet_.record_.line(line_);
  }

  std::weak_ptr<int> weak() const { return life_; }

  SimulatedServers& fleet_;
  Box& box_;
  std::shared_ptr<transport::Stream> stream_;
  transport::HttpRequestReader reader_;
  std::string in_;
  Json line_;
  ServerModel::JobId job_ = 0;
  std::shared_ptr<Mark> mark_;
  std::shared_ptr<int> life_ = std::make_shared<int>(0);
  int requests_ = 0;
  bool busy_ = false, open_ = false, gone_ = false, answered_at_once_ = false;
};

void SimulatedServers::Box::listen() {
  if (listener) return;
  listener = std::make_unique<transport::Listener>(
      fleet_.reactor_, port->address(), true, [this](const transport::PendingConnection& arrival) {
        const auto connection = std::make_shared<Connection>(*this, arrival);
        connections.emplace(connection.get(), connection);
      });
}

void SimulatedServers::Box::deafen(bool reset) {
  listener.reset();
  while (!connections.empty()) {
    const auto held = connections.begin()->second;
    held->leave(reset ? "died" : "closed-by-server", reset);
  }
}

SimulatedServers::SimulatedServers(transport::Reactor& reactor, const Day& day, Record& record)
    : reactor_(reactor), day_(day), record_(record), store_(day.store) {
  std::uint64_t seed = day.seed;
  for (const ServerSpec& make : day_.servers) boxes_[make.id] = std::make_unique<Box>(*this, make, ++seed);
}
SimulatedServers::~SimulatedServers() { close(); }

void SimulatedServers::close() {
  for (auto& [id, box] : boxes_) {
    box->listener.reset();
    while (!box->connections.empty()) {
      const auto held = box->connections.begin()->second;
      held->leave("open-at-end");
    }
  }
  record_.flush();
}

transport::Address SimulatedServers::address(const std::string& server) const {
  return boxes_.at(server)->port->address();
}
ServerModel& SimulatedServers::machine(const std::string& server) { return boxes_.at(server)->machine; }

std::string SimulatedServers::entry(const std::string& server) const {
  const Box& box = *boxes_.at(server);
  const ServerSpec& make = box.machine.spec();
  Json row{{"id", make.id},
           {"address", box.port->address().toString()},
           {"condition", box.condition},
           {"rating", make.cores * make.speed},
           {"kind", make.kind},
           {"location", make.location},
           {"cell", make.cell}};
  if (box.started_ms > 0) row["started_ms"] = box.started_ms;
  return row.dump();
}

void SimulatedServers::announce_to(const transport::Address& roster) {
  roster_ = std::make_unique<Lines>(reactor_, roster, [this] {
    for (const auto& [id, box] : boxes_) announce(id);
  });
}
void SimulatedServers::announce(const std::string& server) {
  if (roster_ && roster_->open()) roster_->write("{\"announce\":" + entry(server) + "}");
}

std::shared_ptr<SimulatedServers::Mark>& SimulatedServers::mark(const Box& box, const RequestClassSpec& type,
                                                                const std::string& text, bool& fresh) {
  const ServerSpec& make = box.machine.spec();
  const std::string group = type.group == "location" ? make.location
                            : type.group == "cell"   ? std::to_string(make.cell)
                                                     : "";
  const std::string key = group + " " + text;
  auto& known = marks_[key];
  fresh = !known;
  if (fresh) {
    known = std::make_shared<Mark>();
    reactor_.at(reactor_.now() + type.memory_span, [this, key] { marks_.erase(key); });
  }
  return known;
}

void SimulatedServers::unmark(const std::shared_ptr<Mark>& mark) {
  std::erase_if(marks_, [&](const auto& known) { return known.second == mark; });
}

void SimulatedServers::play(Time start) {
  for (const Fault& fault : day_.faults) {
    const auto ring = [&](Time when, auto call) { reactor_.at(start + when, call); };
    if (fault.kind == FaultKind::store_slow || fault.kind == FaultKind::store_refuse) {
      const bool refuse = fault.kind == FaultKind::store_refuse;
      ring(fault.at, [this, refuse, size = fault.size] { store_.fault(refuse ? 1 : size, refuse); });
      ring(fault.at + fault.span, [this] { store_.fault(1, false); });
      continue;
    }
    for (const std::string& server : fault.servers) {
      if (!boxes_.contains(server))
        throw std::invalid_argument("a trouble names the unknown server " + server);
      if (fault.kind == FaultKind::drain) {
        const auto accepts = static_cast<Time>(drain_accepts * static_cast<double>(fault.span));
        ring(fault.at + accepts, [this, server] { machine(server).drain(true); });
      }
      ring(fault.at, [this, fault, server] { this->fault(fault.kind, server, fault.size, true); });
      ring(fault.at + fault.span,
           [this, fault, server] { this->fault(fault.kind, server, fault.size, false); });
    }
  }
}

void SimulatedServers::fault(FaultKind kind, const std::string& server, double size, bool begins) {
  Box& box = *boxes_.at(server);
  record_.line({{"what", "trouble"},
                {"kind", name_of(kind)},
                {"server", server},
                {"begins", begins},
                {"at", reactor_.clock_ns()}});
  if (begins) ++box.ailing[kind];
  if (!begins && --box.ailing[kind] <= 0) box.ailing.erase(kind);
  const auto reborn = [this, &box, server] {
    box.condition = "active";
    box.started_ms = static_cast<double>(reactor_.unix_ns() / 1'000'000);
    box.machine.start(true);
    box.started();
    box.listen();
    announce(server);
  };
  switch (kind) {
    case FaultKind::slow:
      box.machine.slow_down(begins ? size : 1);
      break;
    case FaultKind::refuse:
      if (begins) box.deafen(false);
      if (!begins) box.listen();
      break;
    case FaultKind::crash:
      if (begins) {
        box.condition = "gone";
        box.deafen(true);
        box.machine.stop();
        announce(server);
      } else {
        reborn();
      }
      break;
    case FaultKind::drain:
      box.condition = begins ? "draining" : "gone";
      announce(server);
      if (begins) break;
      box.deafen(false);
      box.machine.stop();
      reactor_.at(reactor_.now() + back_after_drain, reborn);
      break;
    case FaultKind::silence:
    case FaultKind::mute_head:
    case FaultKind::mute_half:
      // What hung stays hung; its connections go when the trouble ends.
      if (!begins) {
        box.deafen(false);
        box.listen();
      }
      break;
    default:
      break;
  }
}

}  // namespace rushhill::standin
