// The endpoints that this router knows from the endpoint list, and the state that each part of the policy
// keeps about them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "routing/attempt_history.h"
#include "routing/believed_copy.h"
#include "routing/endpoint_liveness.h"
#include "routing/outlier_detection.h"
#include "routing/placement_weight.h"
#include "routing/slow_start.h"
#include "routing/types.h"

namespace rushhill::routing {

// Counts this router's open attempts at an endpoint.
class InFlightAttempts {
 public:
  void sent() { ++open_; }
  void ended() { --open_; }
  int open() const { return open_; }

  // The attempts that have been open for longer than usual, counted again in each periodic maintenance.
  void reset_long_running() { long_running_ = 0; }
  void add_long_running() { ++long_running_; }
  int outlasting() const { return long_running_; }

 private:
  int open_ = 0;
  int long_running_ = 0;
};

// One endpoint. Each member is changed only by the part of the policy that it belongs to. They are kept in
// one record so that a decision needs only one look-up per endpoint.
struct EndpointRecord {
  Endpoint endpoint{};  // as in the endpoint list
  InFlightAttempts in_flight;
  SlowStartTokens tokens;
  PlacementWeight placement_weight;
  Timestamp removed_at{};  // default value: the endpoint is on the list
  EndpointLiveness liveness;
  std::int64_t probe_period_number = 0;  // the last period for which the probing router was chosen
  AttemptHistory history;
  OutlierState outlier;
  CopyLink copy;

  // Rule 3. An endpoint gets no new requests once this router has been notified that it is draining or
  // removed.
  bool may_receive() const { return endpoint.state == EndpointState::active; }
  // The endpoint's rated capacity relative to others.
  double weight() const { return endpoint.rating > 0 ? endpoint.rating : 1; }
  // The weight that placement uses for the endpoint.
  double weight_in_placement() const { return weight() * placement_weight.factor(); }
};

// What an endpoint list message changed about one endpoint.
struct EndpointUpdate {
  EndpointRecord& record;
  bool added = false;
  bool restarted = false;  // its process was replaced
};

// The records by endpoint. A record's address stays valid until it is erased.
class EndpointTable {
 public:
  using Records = std::map<EndpointId, EndpointRecord>;

  // Increments the version, so that holders of record pointers look them up again.
  void increment_version() { ++version_; }
  std::uint64_t version() const { return version_; }

  EndpointUpdate update(const Endpoint& endpoint);
  // Marks the endpoint as removed from the list. Its record is kept until its attempts have ended and two
  // minutes have passed.
  void remove(Timestamp now, EndpointRecord& record);
  void erase_removed(Timestamp now);

  EndpointRecord& at(const EndpointId& id) { return records_.at(id); }
  const EndpointRecord& at(const EndpointId& id) const { return records_.at(id); }
  // Returns nullptr if the endpoint is not known.
  EndpointRecord* find(const EndpointId& id);
  const EndpointRecord* find(const EndpointId& id) const;

  Records& records() { return records_; }
  const Records& records() const { return records_; }

 private:
  Records records_;
  std::size_t removed_ = 0;  // records of endpoints that have left the list
  std::uint64_t version_ = 0;
};

}  // namespace rushhill::routing
