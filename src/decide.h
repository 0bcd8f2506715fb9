// The interface of the decision module: what a router tells it and what it may ask of the router.
// Plain types only; every decision is in decide.cpp.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rushhill {

using Time = std::int64_t;  // whole tenths of a millisecond; also used for spans
using EventId = std::int64_t;
using ServerId = std::string;
using FunctionId = std::string;

enum class Effect { reissuable, numbered, at_most_once };
enum class Group { all, location, cell };

struct TrafficType {
  std::string name{};
  Time due = 0;         // an answer is wanted within this span
  Time hard_limit = 0;  // the client gives up after this span
  double importance = 1;
  double late_share = 0;  // part of the importance earned between due time and hard limit
  Effect effect = Effect::reissuable;
  Group group = Group::all;
  Time memory_span = 0;
  bool stream = false;
  double due_stretch =
      0;  // the due time grows by this multiple of the event's own work, up to the hard limit
};

struct Customer {
  std::string name{};
  double share = 0;
  double quota_per_s = 0;  // events a second over all routers, within the share
};

// What a router is told at its start.
struct Deployment {
  int me = 0;
  int routers = 1;
  std::string location{};
  Time tick = 0;  // batches arrive no more often than this
  std::vector<TrafficType> traffic_types;
  std::vector<Customer> customers;
  double over_share_worth = 1;
  // The five rules.
  Time answer_grace = 0;
  Time drain_grace = 0;
  Time ask_every = 0;
  double fall_multiple = 1;
  Time fall_span = 0;
  double cold_share = 1;
  Time cold_span = 0;
  // Permissions.
  int shot_cap = 1;
  int open_cap = 0;
  bool cancel = false;
  bool second_copies = false;
  bool probing = false;
  bool peers = false;
  bool retry_advice = false;
  Time longest_retry_advice = 0;
  Time connect_limit = 0;
  // Functions and their copies.
  bool orders = false;        // holds and unloading may be ordered
  bool miss_answers = false;  // a server that lacks the function answers so and does not load it
  bool tells_warm = false;
  bool tells_crowd = false;
  Time keep_alive = 0;
  Time order_limit = 0;
  Time load_window = 0;  // 0: orders are not rationed
  double load_free = 0;
  double loads_per_event = 0;
  bool ration_told = false;  // what earlier lives ordered is told after the start; until then nothing is
  double memory_price = 0;
  std::map<std::string, double> kind_memory_mb;
  std::map<std::string, double> prices;  // points off the result, by the wire's name
  bool roster_on_request = false;
  // Facts that no decision needs yet.
  std::vector<std::string> locations;
  std::vector<std::string> stages;
  int stage = 0;
  bool clients_mark_repeats = false;
  bool importance_by_work = false;
  std::string rating_kind{};
  std::string reports{};  // how load reports come
  std::vector<std::string> report_names;
  std::map<std::string, double> result_mix;
  int shots_a_connection = 1;
  Time connection_idle = 0;
  Time cpu_per_event = 0;   // microseconds; 0: no limit
  Time cpu_per_second = 0;  // microseconds
};

enum class Condition { active, leaving, left };

struct ModelServer {
  ServerId id{};
  Time started = 0;  // 0: long ago
  double rating = 1;
  std::string kind{};
  std::string location{};
  int cell = 0;
  Condition condition = Condition::active;
};

enum class RosterForm { changes, complete, remembered, failed };

struct Event {
  EventId id = 0;
  std::string traffic_type{};
  std::string customer{};
  FunctionId function{};
  Time left = 0;  // until the client gives up
  double memory_mb = 0;
  double lanes = 1;
  Time load_time = 0;   // 0: not told
  Time work = 0;        // anticipated, on a standard core; 0: not told
  bool repeat = false;  // a client's further try, where clients mark it
  bool write = false;
};

enum class Ending {
  honoured,
  error,
  turned_away,
  no_answer,
  no_connection,
  connection_lost,
  called_off,
  not_sent,
  not_stored
};

enum class Warmth { untold, found, began_load, awaited_load, load_failed };

using LoadReport = std::map<std::string, double>;

struct ShotEnd {
  EventId event = 0;
  int leg = 0;  // number of the shot within its event
  ServerId server{};
  Ending ending = Ending::honoured;
  bool final = false;  // the event has its final answer
  Time taken = 0;
  Warmth warmth = Warmth::untold;
  int crowd = 0;  // events of the same function the server held
  LoadReport report{};
};

struct ProbeEnd {
  ServerId server{};
  Ending ending = Ending::honoured;
  Time taken = 0;
  LoadReport report{};
};

struct OrderEnd {
  ServerId server{};
  FunctionId function{};
  Ending ending = Ending::honoured;
  Time taken = 0;
  int copies = 0;
};

// What the module asks of the router that hosts it; each call acts at once.
class Host {
 public:
  Host() = default;
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;
  virtual ~Host() = default;

  virtual void shoot(EventId event, const ServerId& server,
                     Time time_out) = 0;  // 0: until the client gives up
  virtual void call_off(EventId event, int leg) = 0;
  virtual void shed(EventId event, Time come_back) = 0;  // 0: no advice
  virtual void abandon(EventId event) = 0;
  virtual void wake(std::int64_t token, Time at) = 0;
  virtual void probe(const ServerId& server) = 0;
  virtual void close_idle(const ServerId& server) = 0;
  virtual void order(const ServerId& server, const FunctionId& function, int copies) = 0;
  virtual void unload(const ServerId& server, const FunctionId& function) = 0;
  virtual void tell(int router, const std::string& bytes) = 0;  // -1: every peer
  virtual void follow(bool on) = 0;
  virtual void reload() = 0;
  virtual void log(const std::string& line) = 0;
};

// One router's decisions: a method for each thing that can happen, told with the clock's reading.
class Router {
 public:
  Router() = default;
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;
  virtual ~Router() = default;

  virtual void roster(Time now, RosterForm form, const std::vector<ModelServer>& servers) = 0;
  virtual void event(Time now, const Event& event) = 0;
  virtual void stream_began(Time now, EventId event, int leg) = 0;
  virtual void shot_ended(Time now, const ShotEnd& end) = 0;
  virtual void client_gone(Time now, EventId event) = 0;
  virtual void woken(Time now, std::int64_t token) = 0;
  virtual void probe_ended(Time now, const ProbeEnd& end) = 0;
  virtual void order_ended(Time now, const OrderEnd& end) = 0;
  virtual void told(Time now, int router, const std::string& bytes) = 0;
  // Orders that this router gave before it was started again and that still count: nothing else is missing.
  virtual void ration_known(Time now, double orders) = 0;
};

std::unique_ptr<Router> make_router(const Deployment& deployment, std::uint64_t seed, Host& host);

}  // namespace rushhill
