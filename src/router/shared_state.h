// What this router holds together with the others, on its way to them: the orders it gives and the marks of
// the events it takes are told before they leave. After a start it hears what its earlier lives ordered
// before it orders anything, and is settled, so that no mark that it may have forgotten can be missed, before
// it takes a marked event or counts as a holder.
#pragma once

#include <functional>
#include <memory>

#include "core/deduplication_log.h"
#include "core/event_log.h"
#include "deployment/deployment_file.h"
#include "replica/marks.h"
#include "replicating/replica_links.h"
#include "transport/reactor.h"

namespace rushhill::router {

// Links to and from other routers, at most.
std::size_t most_links_of(const deployment::DeploymentConfiguration& configuration);

class SharedState final : public core::DeduplicationLog, replica::Findings, replica::Taker {
 public:
  using RationKnown = std::function<void(double orders)>;
  using Marked = std::function<void(RequestId event, core::AdmissionVerdict how)>;
  // Listens at once; throws where the address cannot be had. `known` is called once, where orders are
  // rationed; `marked` for each event that waits for its mark.
  SharedState(transport::Reactor& reactor, const deployment::DeploymentConfiguration& configuration,
              std::uint64_t seed, core::EventLog& diary, RationKnown known, Marked marked);
  ~SharedState() override;

  bool prepare_prewarm() override;
  core::AdmissionVerdict admit(RequestId event, const std::string& traffic_type,
                               const events::CloudEvent& message, Duration left) override;
  void request_ended(const events::CloudEvent& message, core::ExecutionCertainty fate) override;

  // How far this copy is, for people.
  std::string standing() const;

 private:
  void look();
  bool learnt(Time now) const;
  void set_alarm();
  void may_go(std::int64_t event) override;
  void taken_elsewhere(std::int64_t event) override;
  void not_held(std::int64_t event) override;
  void honoured_twice(const std::string& event, const replica::Writer& one,
                      const replica::Writer& other) override;
  void full(replica::Kind kind) override;
  void copies_differed(const replica::StreamId& stream, const replica::Word& stands,
                       const replica::Word& gone) override;
  void second_of_us(const replica::Writer& writer) override;

  transport::Reactor& reactor_;
  core::EventLog& diary_;
  const deployment::ReplicationConfiguration told_;
  const int routers_, others_;  // in all; that must hold a mark
  const Time window_, born_;
  RationKnown known_;
  Marked marked_;
  replica::Replica copy_;
  replica::Marks marks_;
  replicating::ReplicaLinks links_;
  core::Timer alarm_, by_;
  bool settled_ = false, ration_known_ = false;
  std::uint64_t bucket_orders_ = 0;
  Time bucket_ = 0;
};

}  // namespace rushhill::router
