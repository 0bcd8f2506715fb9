// The platform's clients over FastCGI: hands their requests to the gateway and answers with the outcomes.
// Decides nothing about servers. docs/platform.md describes the protocol.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "core/event_log.h"
#include "core/gateway.h"
#include "core/memory_budgets.h"
#include "fastcgi/records.h"
#include "frontends/connection_table.h"
#include "frontends/request_accounting.h"

namespace rushhill::frontends {

// Bytes of the largest answer: the largest body that an endpoint may send, with its header and its records.
constexpr std::size_t largest_answer = 1024 * 1024 + 4 * 1024;

// What a FastCGI frontend's clients may use.
struct FastCgiRules {
  std::size_t connections = 256;  // at once
  fastcgi::Bounds bounds{};
  // Bytes of answers that a client has not read. Each request that it may have open may have been answered.
  std::size_t unread = bounds.open * largest_answer;
};

// The FastCGI frontend of one router. What it is handed has to outlive it.
class FastCgiFront {
 public:
  FastCgiFront(transport::Reactor& reactor, core::Gateway& gateway, core::EventLog& log,
               const FastCgiRules& rules, core::MemoryBudgets& memory);
  ~FastCgiFront();
  FastCgiFront(const FastCgiFront&) = delete;
  FastCgiFront& operator=(const FastCgiFront&) = delete;
  FastCgiFront(FastCgiFront&&) = delete;
  FastCgiFront& operator=(FastCgiFront&&) = delete;

  // Accepts connections at the address (port 0: the system chooses); returns where it listens.
  transport::Address listen(const transport::Address& address);
  // What the health check is answered.
  void ready(bool on) { ready_ = on; }
  // Accepts what has come to the listener until now, and closes it.
  void stop_listening();
  std::size_t connections() const { return connections_.size(); }
  const RequestCounts& counts() const { return counts_; }
  // Complete requests without an answer, counted over the connections.
  std::size_t open_requests() const;
  // Whether no request stands partly read or unread, and every answer has been handed to the system.
  bool all_sent() const;
  // Every request read from now on is answered by that moment, with less time than it asks for where need be.
  void answer_by(Time moment) { answer_by_ = moment; }
  // Ends this side of every connection; each closes once its client has ended the other.
  void finish();

 private:
  class Connection;
  // Closes connections whose time is up, and again after a period.
  void close_timed_out();
  // Closes a connection that is over its memory, after the present call.
  void close_soon();
  // What is left of the time that a request asks for, which came `age` ago.
  Duration time_left(Duration requested, Time age) const;

  transport::Reactor& reactor_;
  core::Gateway& gateway_;
  core::EventLog& log_;
  core::MemoryBudgets& memory_;
  FastCgiRules rules_;
  admission::SourceQuotas::Source source_;
  RequestCounts counts_;  // outlives the connections
  bool ready_ = false;
  std::set<std::string> open_ids_;  // of all connections' open requests
  core::Timer sweep_timer_;
  Time answer_by_ = 0;                       // 0: no end is in sight
  ConnectionTable<Connection> connections_;  // last: closes them with the rest still there
};

}  // namespace rushhill::frontends
