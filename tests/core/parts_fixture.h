// The parts of the core between a decision module and a carrier that only note what they are told.
#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/attempt_execution.h"
#include "core/manual_clock.h"

namespace rushhill::core {

// What the decision module hears.
struct Heard {
  std::vector<Event> requests;
  std::vector<ShotEnd> attempt_ends;
  std::vector<ProbeEnd> probe_ends;
  std::vector<OrderEnd> order_ends;
  std::vector<EventId> cancelled;
};

class RecordingRouter final : public Router {
 public:
  explicit RecordingRouter(Heard& heard) : heard_(heard) {}
  void roster(Time, RosterForm, const std::vector<ModelServer>&) override {}
  void event(Time, const Event& event) override { heard_.requests.push_back(event); }
  void stream_began(Time, EventId, int) override {}
  void shot_ended(Time, const ShotEnd& end) override { heard_.attempt_ends.push_back(end); }
  void client_gone(Time, EventId event) override { heard_.cancelled.push_back(event); }
  void woken(Time, std::int64_t) override {}
  void probe_ended(Time, const ProbeEnd& end) override { heard_.probe_ends.push_back(end); }
  void order_ended(Time, const OrderEnd& end) override { heard_.order_ends.push_back(end); }
  void told(Time, int, const std::string&) override {}
  void ration_known(Time, double) override {}

 private:
  Heard& heard_;
};

struct RecordingCarrier final : Carrier {
  struct Sent {
    EventId id;
    int number;
    ServerId server;
    Time left;
  };
  void shoot(const ShotCall& call) override {
    sent.push_back({.id = call.event, .number = call.leg, .server = call.server, .left = call.left});
  }
  void drop(EventId id, int number) override { dropped.emplace_back(id, number); }
  bool recall(EventId id, int number) override { return unsent.contains({id, number}); }
  void recall_all(const ServerId&) override {}
  void probe(const ServerId& server, Time) override { probes.push_back(server); }
  void order(const ServerId& server, const FunctionId&, int copies, Time limit) override {
    orders.emplace_back(server, copies);
    order_limit = limit;
  }
  void unload(const ServerId& server, const FunctionId&) override { unloads.push_back(server); }
  void close_idle(const ServerId&) override {}
  void reach(const ServerId&, const std::string&) override {}

  std::vector<Sent> sent;
  std::vector<std::pair<EventId, int>> dropped;
  std::set<std::pair<EventId, int>> unsent;
  std::vector<ServerId> probes, unloads;
  std::vector<std::pair<ServerId, int>> orders;
  Time order_limit = 0;
};

struct CountingLog final : Diary {
  bool wants(Level) const override { return true; }
  void line(Level level, const char*, Fields) override {
    if (level == Level::error) ++errors;
  }
  int errors = 0;
};

class PartsFixture : public testing::Test {
 protected:
  static constexpr Time second = 10'000;
  static constexpr int attempt_cap = 3;

  HandClock clock;
  RecordingCarrier carrier;
  CountingLog log;
  Heard heard;
  Tally tally;
  DeferredCalls deferred{clock};
  DecisionModule decisions{std::make_unique<RecordingRouter>(heard), clock};
  RequestTable requests{clock, 7};
  AttemptExecution attempts{{.clock = clock,
                             .carrier = carrier,
                             .log = log,
                             .requests = requests,
                             .deferred = deferred,
                             .decisions = decisions,
                             .tally = tally},
                            attempt_cap};
};

}  // namespace rushhill::core
