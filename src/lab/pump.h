// The bench's two ends, as cheap as they can be, so that what stands between them is what is measured: a
// server that answers at once or never, and a client that keeps connections busy.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "transport/listener.h"

namespace rushhill::lab {

// Answers so many requests with one prepared event, and none after; at once, or as a server with so many
// lanes that works so long on each.
class Echo {
 public:
  // `left`: shared by all of one process; below 0: without end. `work`: 0: at once.
  Echo(transport::Reactor& reactor, const transport::Address& address, std::int64_t& left, Time work = 0,
       int lanes = 1);
  ~Echo();
  transport::Address address() const { return listener_.address(); }

 private:
  class Caller;
  void work(const std::shared_ptr<Caller>& caller);

  transport::Reactor& reactor_;
  std::int64_t& left_;
  Time work_;
  int lanes_, busy_ = 0;
  std::deque<std::weak_ptr<Caller>> queue_;
  std::unordered_map<Caller*, std::shared_ptr<Caller>> callers_;
  transport::Listener listener_;
};

struct Pumping {
  int connections = 32;
  double rate = 0;  // requests a second at their own moments; 0: each connection sends when it has its answer
  Time span = 30'000;
  int batch = 0;  // events in a request; 0: one, in binary mode
  int functions = 16;
  Time due = 0;  // what counts as in time, from the intended moment; 0: every answer
};

struct Pumped {
  // `offered` is known only where moments were set.
  std::int64_t offered = 0, answered = 0, failed = 0, honoured = 0, in_time = 0;
  double seconds = 0;
  std::vector<double> latencies_us;  // from the intended moment

  void note(std::int64_t after_ns, bool was_honoured, Time due);
};

class EventLoopDriver {
 public:
  EventLoopDriver(transport::Reactor& reactor, std::vector<transport::Address> to, const Pumping& how);
  ~EventLoopDriver();
  void run();  // until the span is over; only requests after its first fifth are counted
  const Pumped& result() const { return result_; }

 private:
  class Line;
  void send(Line& line, std::int64_t intended_ns);
  void answered(Line& line, bool honoured);
  void broken(Line& line);
  void pace();

  transport::Reactor& reactor_;
  std::vector<transport::Address> to_;
  Pumping how_;
  std::vector<std::shared_ptr<Line>> lines_;
  std::vector<Line*> idle_;
  std::vector<std::int64_t> late_;  // intended moments that found no idle connection, oldest first
  std::vector<std::string> requests_;
  std::int64_t began_ = 0, count_from_ = 0, next_ = 0, sent_ = 0;
  Time ends_ = 0;
  Pumped result_;
};

std::string as_json(const Pumped& result);

}  // namespace rushhill::lab
