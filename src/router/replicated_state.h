// The state that this router replicates to the others: it sends a record of each prewarm order and of each
// deduplicated request to them before it acts on it. After a start it first recovers the records of its
// earlier incarnations. Until it knows of their prewarm orders, the load budget permits none. Until it has
// recovered all records, it rejects requests whose records must be replicated, and does not count as a holder
// of other routers' records, since it may have forgotten some.
#pragma once

#include <functional>
#include <memory>

#include "core/deduplication_log.h"
#include "core/event_log.h"
#include "deployment/deployment_file.h"
#include "replica/deduplication_records.h"
#include "replicating/replica_links.h"
#include "transport/reactor.h"

namespace rushhill::router {

// Returns the limit on links to and from other routers, in both directions together.
std::size_t max_replica_links(const deployment::DeploymentConfiguration& configuration);

class ReplicatedState final : public core::DeduplicationLog, replica::ReplicaObserver, replica::Taker {
 public:
  using LoadBudgetRestored = std::function<void(double orders)>;
  using AdmissionDecided = std::function<void(RequestId request, core::AdmissionVerdict verdict)>;
  // Starts to listen; throws if the address cannot be bound. `on_load_budget_restored` is called once, if
  // prewarm orders have a budget; `on_admission_decided` is called for each request for which `admit`
  // returned `pending`.
  ReplicatedState(transport::Reactor& reactor, const deployment::DeploymentConfiguration& configuration,
                  std::uint64_t seed, core::EventLog& event_log, LoadBudgetRestored on_load_budget_restored,
                  AdmissionDecided on_admission_decided);
  ~ReplicatedState() override;

  bool prepare_prewarm() override;
  core::AdmissionVerdict admit(RequestId request, const std::string& request_class,
                               const events::CloudEvent& message, Duration time_left) override;
  void request_ended(const events::CloudEvent& message, core::ExecutionCertainty certainty) override;

  // Describes the state of the replication for operators.
  std::string status_text() const;

 private:
  void check_recovery();
  bool has_complete_state(Time now) const;
  void schedule_admission_timeout();
  void on_admitted(std::int64_t request) override;
  void on_duplicate(std::int64_t request) override;
  void on_replication_timeout(std::int64_t request) override;
  void on_executed_twice(const std::string& event, const replica::Writer& first_writer,
                         const replica::Writer& second_writer) override;
  void full(replica::Kind kind) override;
  void on_divergence(const replica::StreamId& stream, const replica::Word& kept,
                     const replica::Word& dropped) override;
  void on_duplicate_writer(const replica::Writer& writer) override;

  transport::Reactor& reactor_;
  core::EventLog& event_log_;
  const deployment::ReplicationConfiguration configuration_;
  const int routers_, required_holders_;  // all routers; others that must hold a replicated record
  const Time budget_window_, started_;
  LoadBudgetRestored on_load_budget_restored_;
  AdmissionDecided on_admission_decided_;
  replica::Replica replica_;
  replica::DeduplicationRecords deduplication_records_;
  replicating::ReplicaLinks links_;
  core::Timer recovery_timer_, admission_timer_;
  bool recovered_ = false, load_budget_restored_ = false;
  std::uint64_t orders_in_bucket_ = 0;
  Time bucket_ = 0;
};

}  // namespace rushhill::router
