// CloudEvents over HTTP: hands clients' events to the gateway and answers with the outcomes. Decides nothing
// about servers.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/event_log.h"
#include "core/gateway.h"
#include "core/request_reader.h"
#include "frontends/connection_table.h"
#include "frontends/drain_window.h"
#include "frontends/request_accounting.h"
#include "transport/http.h"

namespace rushhill::frontends {

// What an HTTP frontend's clients may use. Times in tenths of a millisecond.
struct HttpRules {
  int connections = 20'000;
  std::uint64_t body = 1024 * 1024;  // bytes
  int batch = 100;                   // events
  Time request_within = 100'000;     // from a request's first byte to its last
  Time idle = 600'000;               // between requests
  double weight = 1;                 // beside other sources of events
  Time drain_timeout = 50'000;       // from the start of the drain until the process ends
  Time retry_after = 0;              // where as many events are open as permitted; 0: no advice
};

// The HTTP frontend of one router. What it is handed has to outlive it.
class HttpFront {
 public:
  HttpFront(transport::Reactor& reactor, core::Gateway& gateway, const core::RequestReader& intake,
            core::EventLog& log, const HttpRules& rules);
  ~HttpFront();
  HttpFront(const HttpFront&) = delete;
  HttpFront& operator=(const HttpFront&) = delete;
  HttpFront(HttpFront&&) = delete;
  HttpFront& operator=(HttpFront&&) = delete;

  // Accepts connections at the address (port 0: the system chooses), shared with other processes where asked;
  // returns where it listens.
  transport::Address listen(const transport::Address& address, bool shared);
  // Accepts connections at a listening socket that this process was started with.
  transport::Address listen_inherited(int descriptor);
  // What /health/ready is answered.
  void ready(bool on) { ready_ = on; }
  // And how far the router is, in words for people, on a line of its own.
  void standing(std::function<std::string()> words) { standing_ = std::move(words); }
  // What /metrics shows beside the counts of requests, in the same format.
  void more_metrics(std::function<std::string()> metrics) { more_metrics_ = std::move(metrics); }

  // Accepts no further connection; those that stand are answered with Connection: close.
  void start_draining();
  std::size_t connections() const { return connections_.size(); }
  const RequestCounts& counts() const { return counts_; }

 private:
  class Connection;
  class Exchange;
  void accept(const transport::PendingConnection& pending);
  // For a request that arrives while the front drains.
  Time drain_time_left() const { return drain_window_.answer_by(reactor_.now()) - reactor_.now(); }

  transport::Reactor& reactor_;
  core::Gateway& gateway_;
  const core::RequestReader& intake_;
  HttpRules rules_;
  admission::SourceQuotas::Source source_;
  RequestCounts counts_;  // outlives the connections
  bool ready_ = false;
  bool draining_ = false;
  DrainWindow drain_window_;
  std::function<std::string()> standing_;
  std::function<std::string()> more_metrics_;
  ConnectionTable<Connection> connections_;  // last: closes them with the rest still there
};

}  // namespace rushhill::frontends
