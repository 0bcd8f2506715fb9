// The platform's clients over FastCGI: turns requests into events for the core and outcomes into answers.
// Decides nothing about servers. `docs/platform.md` is what is spoken.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/event_log.h"
#include "core/gateway.h"
#include "fastcgi/records.h"
#include "frontends/eviction.h"
#include "frontends/request_accounting.h"
#include "routing/configuration.h"
#include "transport/listener.h"
#include "transport/numbered.h"

namespace rushhill::frontends {

struct FastCgiRules {
  std::size_t connections = 256;    // at once
  std::size_t unread = 256 * 1024;  // bytes of answers that a client has not read
  fastcgi::Bounds bounds{};
};

// What a request says of its event, or why it can't be one: the HTTP status and the reason.
struct Asked {
  RoutingRequest told{};
  events::CloudEvent message{};
  int status = 0;  // 0: it can be taken
  std::string reason{};
};
Asked read_request(const RoutingConfiguration& deployment, fastcgi::Request request);

class FastCgiFront {
 public:
  FastCgiFront(transport::Reactor& reactor, core::Gateway& gateway, core::EventLog& diary,
               const FastCgiRules& rules);
  ~FastCgiFront();
  FastCgiFront(const FastCgiFront&) = delete;
  FastCgiFront& operator=(const FastCgiFront&) = delete;

  transport::Address listen(const transport::Address& address);
  void ready(bool on) { ready_ = on; }  // what /alive says
  // Takes what has come to the listener until now, and closes it.
  void stop_listening();
  std::size_t connections() const { return connections_.size(); }
  const RequestCounts& counts() const { return counts_; }
  std::size_t open_requests() const;  // counted over the connections: whole, and no answer written
  // Whether nothing of a request stands half read or unread, and every answer has left.
  bool all_sent() const;
  // Every request read from now on is answered by then, with less time than it asks for where need be.
  void answer_by(Time moment) { answer_by_ = moment; }
  // Ends our side of every connection; they go as their clients end theirs.
  void finish();

 private:
  class Connection;
  void accept(const transport::PendingConnection& arrival);
  void forget(Connection& connection, ConnectionEnd end);
  void sweep();
  // What is left of the time that a request asks for, which came so long ago.
  Time time_left(Time told, Time age) const;

  transport::Reactor& reactor_;
  core::Gateway& gateway_;
  core::EventLog& diary_;
  FastCgiRules rules_;
  admission::Shares::Source source_;
  RequestCounts counts_;  // outlives the connections
  bool ready_ = false;
  std::unique_ptr<transport::Listener> listener_;
  std::map<Connection*, std::shared_ptr<Connection>, transport::ByNumber> connections_;
  Eviction<Connection> eviction_;
  std::set<std::string> open_ids_;
  core::Timer alarm_;
  Time answer_by_ = 0;  // 0: no end is in sight
};

}  // namespace rushhill::frontends
