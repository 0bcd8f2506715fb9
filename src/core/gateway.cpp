#include "core/gateway.h"

#include <algorithm>
#include <utility>

namespace rushhill::core {
namespace {

constexpr std::size_t peer_message_limit = 256;  // bytes; what one message to a peer may hold
constexpr std::uint64_t first_id_limit = 1ULL
                                         << 51U;  // ids start anywhere below, so that routers' ids differ

// SplitMix64's last step: spreads the seed over the whole space of ids.
std::uint64_t mix(std::uint64_t value) {
  value = (value ^ value >> 30U) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ value >> 27U) * 0x94d049bb133111ebULL;
  return value ^ value >> 31U;
}

const char* name_of(SourceRoom::End end) {
  using End = SourceRoom::End;
  return end == End::honoured ? "honoured" : end == End::given_up ? "given up" : "gone";
}

}  // namespace

Gateway::Gateway(const Deployment& deployment, std::uint64_t seed, const Ports& ports)
    : deployment_(deployment), to_(ports), deferred_(ports.clock),
      decisions_(make_router(deployment, seed, *this), ports.clock), server_calls_({.clock = ports.clock,
                                                                                    .carrier = ports.carrier,
                                                                                    .ledger = ports.ledger,
                                                                                    .deferred = deferred_,
                                                                                    .decisions = decisions_,
                                                                                    .tally = tally_},
                                                                                   deployment.order_limit),
      next_id_(static_cast<EventId>(mix(seed) % first_id_limit) + 1), room_(deployment.open_cap) {}

Gateway::~Gateway() {
  for (auto& [id, request] : requests_) {
    to_.clock.withdraw(request.deadline_timer);
    for (Attempt& attempt : request.attempts) to_.clock.withdraw(attempt.timeout_timer);
  }
}

Effect Gateway::effect_of(const std::string& traffic_type) const {
  const auto it = std::ranges::find(deployment_.traffic_types, traffic_type, &TrafficType::name);
  return it == deployment_.traffic_types.end() ? Effect::at_most_once : it->effect;
}

std::optional<EventId> Gateway::take(admission::Shares::Source source, Client& client, Event told,
                                     events::CloudEvent message) {
  if (!room_.within_share(source)) {
    ++tally_.refused;
    return std::nullopt;
  }
  const EventId id = next_id_++;
  told.id = id;
  Request& request = requests_[id];
  request.client = &client;
  request.message = std::move(message);
  request.accepted = to_.clock.now();
  request.deadline = request.accepted + told.left;
  request.deadline_timer = to_.clock.at(request.deadline, [this, id] { expire(id); });
  request.source = source;
  room_.accepted(request.accepted, source);
  ++tally_.taken;
  const Taking how = to_.ledger == nullptr
                         ? Taking::unmarked
                         : to_.ledger->taking(id, told.traffic_type, request.message, told.left);
  apply_verdict(id, request, std::move(told), how);
  return id;
}

// What is not gone on with is answered at once.
void Gateway::apply_verdict(EventId event, Request& request, Event told, Taking how) {
  request.awaiting_record.reset();
  switch (how) {
    case Taking::marked:
      request.recorded = true;
      [[fallthrough]];
    case Taking::unmarked:
      return decisions_.run([&](Router& router, Time now) { router.event(now, told); });
    case Taking::wait:
      request.recorded = true;
      request.awaiting_record = std::move(told);
      return;
    case Taking::known:
      ++tally_.abandoned;
      ++tally_.known;
      conclude(event, request, End::given_up, Fate::unrun);
      return answer_soon(event, [event](Client& client) { client.known(event); });
    case Taking::not_now:
      ++tally_.not_held;
      return shed(event, deployment_.retry_advice ? deployment_.longest_retry_advice : 0);
  }
}

void Gateway::marked(EventId event, Taking how) {
  const auto it = requests_.find(event);
  if (it == requests_.end() || !it->second.awaiting_record || it->second.concluded) return;
  Event told = std::move(*it->second.awaiting_record);
  const Time left = it->second.deadline - to_.clock.now();
  // In the tick of the hard limit the limit comes first.
  if (left <= 0) return expire(event);
  told.left = left;
  apply_verdict(event, it->second, std::move(told), how);
}

void Gateway::client_gone(EventId event, std::uint64_t unread) {
  tally_.attempts_after_cancel += unread;
  const auto it = requests_.find(event);
  if (it == requests_.end() || it->second.client == nullptr) return;
  it->second.client = nullptr;
  if (it->second.concluded) return;
  ++tally_.gone;
  const bool waiting = it->second.awaiting_record.has_value();
  conclude(event, it->second, End::gone, fate_without_reply(it->second));
  if (waiting) return;
  decisions_.run([&](Router& router, Time now) { router.client_gone(now, event); });
}

// From here on the event only waits for the ends of its shots.
void Gateway::conclude(EventId event, Request& request, End end, Fate fate) {
  if (request.recorded) to_.ledger->ended(request.message, fate);
  // Nothing is sent for it any more, whether or not what is out may be called off.
  for (std::size_t leg = 0; leg < request.attempts.size(); ++leg) {
    if (request.attempts[leg].open && to_.carrier.recall(event, static_cast<int>(leg)))
      close_attempt(event, request, static_cast<int>(leg), Ending::not_sent);
  }
  room_.concluded(to_.clock.now(), request.source, end);
  request.concluded = true;
  deferred_.run_soon([this, event] { erase_if_over(event); });
  if (!to_.diary.wants(Level::debug)) return;
  to_.diary.line(Level::debug, "final answer",
                 {{"outcome", name_of(end)},
                  {"event", request.message.id},
                  {"source", request.message.source},
                  {"shots", std::to_string(request.attempts.size())},
                  {"ms", std::to_string(static_cast<double>(to_.clock.now() - request.accepted) / 10)}});
}

void Gateway::erase_if_over(EventId event) {
  const auto it = requests_.find(event);
  if (it == requests_.end()) return;
  Request& request = it->second;
  if (!request.concluded || request.deferred_calls > 0 ||
      std::ranges::any_of(request.attempts, &Attempt::open))
    return;
  to_.clock.withdraw(request.deadline_timer);
  requests_.erase(it);
}

// The client's time is up. The module has given its answer before; where it has not, the core does.
void Gateway::expire(EventId event) {
  const auto it = requests_.find(event);
  if (it == requests_.end()) return;
  Request& request = it->second;
  if (!request.concluded) {
    if (request.awaiting_record) return shed(event, 0);  // the module has not heard of it
    ++tally_.overdue;
    to_.diary.line(Level::error, "no answer by the hard limit", {{"event", request.message.id}});
    abandon(event);
    decisions_.run([&](Router& router, Time now) { router.client_gone(now, event); });
  }
  for (std::size_t leg = 0; leg < request.attempts.size(); ++leg) {
    if (request.attempts[leg].open) cancel_attempt(event, static_cast<int>(leg), Ending::no_answer);
  }
}

// Closes the shot's connection now; the module hears of it when what it does now is done.
void Gateway::cancel_attempt(EventId event, int leg, Ending ending) {
  to_.carrier.drop(event, leg);
  close_attempt(event, requests_.at(event), leg, ending);
}

void Gateway::close_attempt(EventId event, Request& request, int leg, Ending ending) {
  Attempt& closed = request.attempts[static_cast<std::size_t>(leg)];
  closed.open = false;
  to_.clock.withdraw(closed.timeout_timer);
  ++request.deferred_calls;
  deferred_.run_soon([this, event, leg, ending] {
    --requests_.at(event).deferred_calls;
    report_end(event, leg, {.ending = ending});
  });
}

void Gateway::attempt_started(EventId event) {
  const auto it = requests_.find(event);
  if (it != requests_.end() && it->second.client != nullptr) it->second.client->attempt_started(event);
}

void Gateway::shot_ended(EventId event, int leg, ShotResult result) {
  const auto it = requests_.find(event);
  if (it == requests_.end() || static_cast<std::size_t>(leg) >= it->second.attempts.size()) return;
  Request& request = it->second;
  Attempt& ended = request.attempts[static_cast<std::size_t>(leg)];
  if (!ended.open) return;
  // In the very tick of the hard limit the limit comes first.
  if (!request.concluded && to_.clock.now() >= request.deadline) return expire(event);
  ended.open = false;
  to_.clock.withdraw(ended.timeout_timer);
  if (result.ending == Ending::honoured && !request.concluded) {
    ++tally_.honoured;
    conclude(event, request, End::honoured, Fate::honoured);
    std::exchange(request.client, nullptr)->honoured(event, std::move(result.reply));
  }
  report_end(event, leg, result);
}

void Gateway::report_end(EventId event, int leg, const ShotResult& result) {
  const Request& request = requests_.at(event);
  const Attempt& ended = request.attempts[static_cast<std::size_t>(leg)];
  tally_.count_ending(result.ending);
  if (to_.diary.wants(Level::debug))
    to_.diary.line(Level::debug, "shot ended",
                   {{"event", request.message.id},
                    {"leg", std::to_string(leg)},
                    {"server", ended.server},
                    {"ending", std::to_string(static_cast<int>(result.ending))}});
  const ShotEnd end{.event = event,
                    .leg = leg,
                    .server = ended.server,
                    .ending = result.ending,
                    .final = request.concluded,
                    .taken = to_.clock.now() - ended.started,
                    .warmth = result.warmth,
                    .crowd = result.crowd,
                    .report = result.report};
  decisions_.run([&](Router& router, Time now) { router.shot_ended(now, end); });
  erase_if_over(event);
}

void Gateway::probe_ended(const ServerId& server, Ending ending, const LoadReport& report) {
  server_calls_.probe_ended(server, ending, report);
}

void Gateway::order_ended(const ServerId& server, const FunctionId& function, Ending ending, int copies) {
  server_calls_.order_ended(server, function, ending, copies);
}

void Gateway::roster(RosterForm form, const std::vector<RosterEntry>& entries) {
  std::vector<ModelServer> servers;
  for (const RosterEntry& entry : entries) servers.push_back(entry.server);
  const ServerAddresses::Map listed = addresses_.listed(form, entries);
  for (const auto& [server, address] : listed) {
    if (addresses_.set(server, address)) to_.carrier.reach(server, address);
  }
  decisions_.run([&](Router& router, Time now) { router.roster(now, form, servers); });
  // What was chosen before the message came and has not left yet is chosen again elsewhere.
  for (const RosterEntry& entry : entries) {
    if (entry.server.condition == Condition::leaving) to_.carrier.recall_all(entry.server.id);
  }
  for (const auto& [server, address] : listed) {
    if (address.empty()) to_.carrier.recall_all(server);  // has left, or is missing from a whole list
  }
}

bool Gateway::owes() const {
  return std::ranges::any_of(requests_, [](const auto& item) { return item.second.client != nullptr; });
}

void Gateway::end_all() {
  std::vector<EventId> all;
  for (const auto& [event, request] : requests_) {
    if (!request.concluded) all.push_back(event);
  }
  std::ranges::sort(all);
  for (const EventId event : all) expire(event);
}

void Gateway::peer_told(int router_number, const std::string& bytes) {
  decisions_.run([&](Router& router, Time now) { router.told(now, router_number, bytes); });
}

void Gateway::ration_known(double orders) {
  decisions_.run([&](Router& router, Time now) { router.ration_known(now, orders); });
}

void Gateway::shoot(EventId event, const ServerId& server, Time time_out) {
  const auto it = requests_.find(event);
  if (it == requests_.end()) {
    to_.diary.line(Level::error, "shot for an event that is not open", {{"server", server}});
    return;
  }
  Request& request = it->second;
  const Time now = to_.clock.now();
  const int leg = static_cast<int>(request.attempts.size());
  request.attempts.push_back({.server = server, .started = now});
  if (request.concluded || now >= request.deadline || leg >= deployment_.shot_cap) {
    request.attempts.back().open = false;
    ++request.deferred_calls;
    deferred_.run_soon([this, event, leg] {
      --requests_.at(event).deferred_calls;
      report_end(event, leg, {.ending = Ending::not_sent});
    });
    return;
  }
  ++tally_.shots;
  if (time_out > 0) {
    request.attempts.back().timeout_timer =
        to_.clock.at(now + time_out, [this, event, leg] { cancel_attempt(event, leg, Ending::no_answer); });
  }
  to_.carrier.shoot({.event = event,
                     .leg = leg,
                     .server = server,
                     .left = request.deadline - now,
                     .message = request.message});
}

void Gateway::call_off(EventId event, int leg) {
  const auto it = requests_.find(event);
  if (it == requests_.end() || static_cast<std::size_t>(leg) >= it->second.attempts.size()) return;
  if (it->second.attempts[static_cast<std::size_t>(leg)].open) cancel_attempt(event, leg, Ending::called_off);
}

// Answers that the module gives leave when it has returned.
void Gateway::shed(EventId event, Time come_back) {
  const auto it = requests_.find(event);
  if (it == requests_.end() || it->second.concluded) return;
  ++tally_.shed;
  conclude(event, it->second, End::given_up, Fate::unrun);
  answer_soon(event, [come_back, event](Client& client) { client.shed(event, come_back); });
}

void Gateway::abandon(EventId event) {
  const auto it = requests_.find(event);
  if (it == requests_.end() || it->second.concluded) return;
  ++tally_.abandoned;
  conclude(event, it->second, End::given_up, fate_without_reply(it->second));
  answer_soon(event, [event](Client& client) { client.abandoned(event); });
}

void Gateway::answer_soon(EventId event, std::function<void(Client&)> answer) {
  ++requests_.at(event).deferred_calls;
  deferred_.run_soon([this, event, answer = std::move(answer)] {
    Request& request = requests_.at(event);
    --request.deferred_calls;
    if (request.client != nullptr) answer(*std::exchange(request.client, nullptr));
    erase_if_over(event);
  });
}

void Gateway::wake(std::int64_t token, Time at) {
  deferred_.run_at(
      at, [this, token] { decisions_.run([token](Router& router, Time now) { router.woken(now, token); }); });
}

void Gateway::probe(const ServerId& server) { server_calls_.probe(server); }

void Gateway::close_idle(const ServerId& server) { to_.carrier.close_idle(server); }

void Gateway::order(const ServerId& server, const FunctionId& function, int copies) {
  server_calls_.order(server, function, copies);
}

void Gateway::unload(const ServerId& server, const FunctionId& function) {
  server_calls_.unload(server, function);
}

void Gateway::tell(int router, const std::string& bytes) {
  if (!deployment_.peers || bytes.size() > peer_message_limit) return;
  ++tally_.told;
  to_.peers.tell(router, bytes);
}
void Gateway::follow(bool on) { to_.roster.follow(on); }
void Gateway::reload() { to_.roster.reload(); }
void Gateway::log(const std::string& line) { to_.diary.line(Level::info, "decision", {{"text", line}}); }

}  // namespace rushhill::core
