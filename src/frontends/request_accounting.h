// Counts what becomes of every request that a frontend has taken, so that one that a living process never
// answered shows as a metric. A request is in exactly one state: open, answered, cancelled or dropped; at
// every instant taken = open + answered + cancelled + dropped.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/memory_budgets.h"

namespace rushhill::frontends {

// Totals of one frontend since its start, in requests.
struct RequestCounts {
  std::uint64_t taken = 0;      // read whole, or refused before that with an answer of their own
  std::uint64_t answered = 0;   // the answer's last byte has been handed to the system
  std::uint64_t cancelled = 0;  // the client cancelled, disconnected or broke the protocol before that
  std::uint64_t dropped = 0;    // we closed the connection before that: the fault that this is here to show
  std::uint64_t open = 0;       // none of these yet
  std::uint64_t refused_for_memory = 0;  // no state: counted beside the others

  bool balanced() const { return taken == open + answered + cancelled + dropped; }
};

// The counts as metrics in the Prometheus text exposition format, version 0.0.4.
std::string to_prometheus(const RequestCounts& counts);
// The bytes charged to each budget, and its limit.
std::string to_prometheus(const core::MemoryBudgets& memory);
// The counts on one line, for the log.
std::string to_text(const RequestCounts& counts);

// Who ended a connection.
enum class ConnectionEnd : std::uint8_t { by_client, by_gateway };

// The requests of one connection. Answers leave in the order in which they were written, so an answer is out
// once the system has taken as many bytes as the connection's output held when it was written.
class ConnectionRequests {
 public:
  explicit ConnectionRequests(RequestCounts& totals) : totals_(totals) {}
  ConnectionRequests(const ConnectionRequests&) = delete;
  ConnectionRequests& operator=(const ConnectionRequests&) = delete;
  ConnectionRequests(ConnectionRequests&&) = delete;
  ConnectionRequests& operator=(ConnectionRequests&&) = delete;
  ~ConnectionRequests() = default;

  // One request has been read, or refused before that with an answer of its own.
  void taken();
  // One request without an answer so far was cancelled by its client.
  void cancelled();
  // One request's answer has been written; `output_end`: bytes of output up to its last one.
  void answer_written(std::size_t output_end);
  // The system has taken so many bytes of the connection's output.
  void handed_over(std::size_t bytes);
  // The connection has ended, to be called once: what has not been handed over never will be.
  void ended(ConnectionEnd end, std::size_t bytes_handed_over);

  // Requests for which no answer has been written.
  std::size_t unanswered() const { return unanswered_; }

 private:
  RequestCounts& totals_;
  std::size_t unanswered_ = 0;            // no answer has been written
  std::vector<std::size_t> output_ends_;  // of answers that are written and not out, in their order; few
};

}  // namespace rushhill::frontends
