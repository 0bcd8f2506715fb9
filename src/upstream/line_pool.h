// The way to the model servers over the platform's line protocol: connections that carry several requests,
// their answers matched by id. Every shot, probe and order ends once, with what is known of it.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/event_log.h"
#include "core/upstream_transport.h"
#include "line_protocol/answers.h"
#include "transport/numbered.h"
#include "transport/reactor.h"

namespace rushhill::upstream {

struct LineBounds {
  int shots_a_connection = 1;     // at once
  std::size_t connections = 256;  // to all servers together
  Time connect_limit = 0;         // tenths of a millisecond
  Time idle = 0;                  // likewise; below the time after which servers close
  bool reports = false;           // probes ask for the load report
  line_protocol::Bounds answers{};
};

class LinePool final : public core::UpstreamTransport {
 public:
  LinePool(transport::Reactor& reactor, const LineBounds& bounds, core::EventLog& diary);
  ~LinePool() override;
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
  std::size_t servers() const { return servers_.size(); }

 private:
  class Link;
  struct Exchange;
  struct Server {
    EndpointId id;
    std::string address_text;
    std::optional<transport::Address> address;
    std::map<Link*, std::shared_ptr<Link>, transport::ByNumber> links;
  };

  void start(const EndpointId& server, Exchange exchange);
  Link* link_for(Server& server, const Exchange& exchange);
  bool make_room();
  void fail_soon(Exchange exchange, AttemptOutcome ending);
  void end(const Exchange& exchange, AttemptOutcome ending);
  void answered(const Exchange& exchange, line_protocol::Answer answer);
  void forget(Link& link);
  void drop_if_unused(const EndpointId& id);

  transport::Reactor& reactor_;
  LineBounds bounds_;
  core::EventLog& diary_;
  core::UpstreamObserver* carried_ = nullptr;
  std::map<EndpointId, std::unique_ptr<Server>> servers_;
  std::map<std::pair<RequestId, int>, Link*> shots_;
  std::size_t connections_ = 0;
  std::uint64_t next_tag_ = 1;
  std::shared_ptr<int> life_ = std::make_shared<int>(0);  // what was put off is void when the pool is gone
};

}  // namespace rushhill::upstream
