#include "frontends/request_accounting.h"

#include <algorithm>
#include <utility>

namespace rushhill::frontends {

std::string to_prometheus(const RequestCounts& counts) {
  std::string out;
  const auto add = [&out](const char* name, const char* type, const char* help, std::uint64_t value) {
    out += std::string("# HELP ") + name + " " + help + "\n";
    out += std::string("# TYPE ") + name + " " + type + "\n";
    out += std::string(name) + " " + std::to_string(value) + "\n";
  };
  add("rushhill_requests_taken_total", "counter", "Requests read from clients.", counts.taken);
  add("rushhill_requests_answered_total", "counter", "Requests whose whole answer has been sent.",
      counts.answered);
  add("rushhill_requests_cancelled_total", "counter", "Requests ended by their client before the answer.",
      counts.cancelled);
  add("rushhill_requests_dropped_total", "counter", "Requests whose connection was closed unanswered.",
      counts.dropped);
  add("rushhill_requests_open", "gauge", "Requests taken that have not ended.", counts.open);
  add("rushhill_requests_refused_for_memory_total", "counter", "Requests refused for lack of memory.",
      counts.refused_for_memory);
  return out;
}

std::string to_prometheus(const core::MemoryBudgets& memory) {
  std::string used =
      "# HELP rushhill_buffer_bytes Bytes charged for buffers that peers fill.\n"
      "# TYPE rushhill_buffer_bytes gauge\n";
  std::string limits =
      "# HELP rushhill_buffer_limit_bytes Limit of these bytes.\n"
      "# TYPE rushhill_buffer_limit_bytes gauge\n";
  const auto add = [&](const std::string& kind, const core::MemoryBudget& budget) {
    const std::string label = "{buffer=\"" + kind + "\"} ";
    used += "rushhill_buffer_bytes" + label + std::to_string(budget.used_bytes()) + "\n";
    if (budget.limit_bytes() != core::MemoryBudget::unlimited)
      limits += "rushhill_buffer_limit_bytes" + label + std::to_string(budget.limit_bytes()) + "\n";
  };
  add("requests", memory.requests);
  add("upstream", memory.upstream);
  add("answers", memory.answers);
  return used + limits;
}

std::string to_text(const RequestCounts& counts) {
  return "taken " + std::to_string(counts.taken) + ", answered " + std::to_string(counts.answered) +
         ", cancelled " + std::to_string(counts.cancelled) + ", dropped " + std::to_string(counts.dropped) +
         ", open " + std::to_string(counts.open);
}

void ConnectionRequests::taken() {
  ++unanswered_;
  ++totals_.taken;
  ++totals_.open;
}

void ConnectionRequests::cancelled() {
  --unanswered_;
  ++totals_.cancelled;
  --totals_.open;
}

void ConnectionRequests::answer_written(std::size_t output_end) {
  --unanswered_;
  output_ends_.push_back(output_end);
}

void ConnectionRequests::handed_over(std::size_t bytes) {
  const auto first_waiting = std::ranges::upper_bound(output_ends_, bytes);
  const auto out = static_cast<std::uint64_t>(first_waiting - output_ends_.begin());
  output_ends_.erase(output_ends_.begin(), first_waiting);
  totals_.answered += out;
  totals_.open -= out;
}

void ConnectionRequests::ended(ConnectionEnd end, std::size_t bytes_handed_over) {
  handed_over(bytes_handed_over);
  const std::size_t lost = std::exchange(unanswered_, 0) + output_ends_.size();
  output_ends_.clear();
  (end == ConnectionEnd::by_client ? totals_.cancelled : totals_.dropped) += lost;
  totals_.open -= lost;
}

}  // namespace rushhill::frontends
