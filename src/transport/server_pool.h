// The way to the model servers over HTTP/1.1: a pool of connections for each server, one exchange at a time
// on a connection. docs/servers.md is the contract. Every exchange ends once, with what is known of it.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/event_log.h"
#include "core/upstream_transport.h"
#include "transport/http.h"
#include "transport/numbered.h"
#include "transport/reactor.h"

namespace rushhill::transport {

struct PoolBounds {
  int router = 0;           // told to servers, so that records can name the sender
  int connections = 256;    // to one server
  std::size_t total = 0;    // to all of them together; 0: no bound
  Time connect_limit = 0;   // tenths of a millisecond
  Time idle = 0;            // likewise
  std::uint64_t reply = 0;  // bytes
};

// The load report in an ORCA header, TEXT or JSON form, by the module's names; what is not understood is
// left.
LoadReport load_report(std::string_view header);
// A function's name as one segment of a path.
std::string path_segment(std::string_view text);
// What a server's answer to a shot says.
core::AttemptResult attempt_result(HttpResponse response);

class ServerPool final : public core::UpstreamTransport {
 public:
  ServerPool(Reactor& reactor, const PoolBounds& bounds, core::EventLog& diary);
  ~ServerPool() override;
  void report_to(core::UpstreamObserver& carried) { carried_ = &carried; }

  void send(const core::AttemptCall& call) override;
  void cancel(RequestId event, int leg) override;
  bool cancel_unsent(RequestId event, int leg) override;
  void cancel_all_unsent(const EndpointId& server) override;
  void probe(const EndpointId& server, Time limit) override;
  void prewarm(const EndpointId& server, const FunctionId& function, int copies, Time limit) override;
  void evict(const EndpointId& server, const FunctionId& function) override;
  void close_idle(const EndpointId& server) override;
  void set_address(const EndpointId& server, const std::string& address) override;

  std::size_t connections() const { return connections_; }
  // Where a server is reached now; empty: nowhere.
  std::string address(const EndpointId& server) const;

 private:
  class Link;
  struct Exchange;
  struct Server {
    EndpointId id;
    std::string address_text;
    std::unique_ptr<Address> address;
    std::map<Link*, std::shared_ptr<Link>, ByNumber> links;
    std::vector<Link*> idle;  // the last used at the back
  };

  void start(const EndpointId& server, Exchange exchange);
  void end(Exchange& exchange, HttpResponse* response, AttemptOutcome otherwise);
  bool make_room();
  void forget(Link& link);
  void drop_if_unused(const EndpointId& id);
  static std::shared_ptr<Link> hold(Link& link);

  Reactor& reactor_;
  PoolBounds bounds_;
  core::EventLog& diary_;
  core::UpstreamObserver* carried_ = nullptr;
  std::map<EndpointId, std::unique_ptr<Server>> servers_;
  std::map<std::pair<RequestId, int>, Link*> shots_;
  std::size_t connections_ = 0;
  std::shared_ptr<int> life_ = std::make_shared<int>(0);  // what was put off is void when the pool is gone
};

}  // namespace rushhill::transport
