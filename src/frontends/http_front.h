// CloudEvents over HTTP: turns requests into events for the core and outcomes into answers. Decides nothing
// about servers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "core/event_log.h"
#include "core/gateway.h"
#include "core/intake.h"
#include "frontends/eviction.h"
#include "frontends/request_accounting.h"
#include "transport/http.h"
#include "transport/listener.h"
#include "transport/numbered.h"

namespace rushhill::frontends {

struct HttpRules {
  int connections = 20'000;
  std::uint64_t body = 1024 * 1024;  // bytes
  int batch = 100;                   // events
  Time request_within = 100'000;     // tenths of a millisecond, from a request's first byte to its last
  Time idle = 600'000;               // between requests
  double weight = 1;                 // beside other sources of events
  Time come_back = 0;                // told where as many events are open as permitted; 0: nothing told
};

class HttpFront {
 public:
  HttpFront(transport::Reactor& reactor, core::Gateway& gateway, const core::RequestReader& intake,
            core::EventLog& diary, const HttpRules& rules);
  ~HttpFront();
  HttpFront(const HttpFront&) = delete;
  HttpFront& operator=(const HttpFront&) = delete;

  transport::Address listen(const transport::Address& address, bool shared);
  transport::Address listen_inherited(int descriptor);
  void ready(bool on) { ready_ = on; }  // what /health/ready says
  // And how far the router is, in words for people, on a line of its own.
  void standing(std::function<std::string()> words) { standing_ = std::move(words); }
  // What /metrics shows beside the counts of requests, in the same format.
  void more_metrics(std::function<std::string()> metrics) { more_metrics_ = std::move(metrics); }

  // Takes no further connection; those that stand are answered with Connection: close.
  void wind_up();
  std::size_t connections() const { return connections_.size(); }
  const RequestCounts& counts() const { return counts_; }

 private:
  class Connection;
  transport::Address listening();
  void accept(const transport::PendingConnection& arrival);
  void forget(Connection& connection, ConnectionEnd end);

  transport::Reactor& reactor_;
  core::Gateway& gateway_;
  const core::RequestReader& intake_;
  core::EventLog& diary_;
  HttpRules rules_;
  admission::Shares::Source source_;
  RequestCounts counts_;  // outlives the connections
  bool ready_ = false, winding_up_ = false;
  std::function<std::string()> standing_, more_metrics_;
  std::unique_ptr<transport::Listener> listener_;
  std::map<Connection*, std::shared_ptr<Connection>, transport::ByNumber> connections_;
  Eviction<Connection> eviction_;
};

}  // namespace rushhill::frontends
