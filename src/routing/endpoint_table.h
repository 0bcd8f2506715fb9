// The endpoints that this router knows, by the endpoint list, and what each part of the policy keeps of them.
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

// Own attempts at an endpoint.
class InFlightAttempts {
 public:
  void sent() { ++open_; }
  void ended() { --open_; }
  int open() const { return open_; }

  // Attempts that are out for longer than usual, counted anew in each maintenance.
  void reset_outlasting() { outlasting_ = 0; }
  void add_outlasting() { ++outlasting_; }
  int outlasting() const { return outlasting_; }

 private:
  int open_ = 0;
  int outlasting_ = 0;
};

// One endpoint. Each member is changed by its own part alone; they stand together so that a decision needs
// one look-up for each endpoint.
struct EndpointRecord {
  Endpoint endpoint{};  // as the endpoint list says
  InFlightAttempts in_flight;
  SlowStartTokens tokens;
  PlacementWeight placement_weight;
  Timestamp removed_at{};  // default: it is on the list
  EndpointLiveness liveness;
  std::int64_t probe_turn = 0;  // the last period in which a router's turn to probe it was drawn
  AttemptHistory history;
  OutlierState outlier;
  CopyLink copy;

  // Rule 3. Nothing new for an endpoint that drains or is gone, from the moment this router was notified.
  bool may_receive() const { return endpoint.state == EndpointState::active; }
  // Its rated capacity relative to others.
  double weight() const { return endpoint.rating > 0 ? endpoint.rating : 1; }
  // The weight that placement gives it.
  double placed_weight() const { return weight() * placement_weight.factor(); }
};

// What a message of the endpoint list changed.
struct EndpointUpdate {
  EndpointRecord& record;
  bool added = false;
  bool restarted = false;  // its process was replaced
};

// The records by endpoint. Records stay in place until they are erased.
class EndpointTable {
 public:
  using Records = std::map<EndpointId, EndpointRecord>;

  // Ends what was resolved by earlier versions of the list.
  void new_version() { ++version_; }
  std::uint64_t version() const { return version_; }

  EndpointUpdate update(const Endpoint& endpoint);
  // The endpoint has left the list; its record stays until its attempts have ended and a while has passed.
  void remove(Timestamp now, EndpointRecord& record);
  void erase_removed(Timestamp now);

  EndpointRecord& at(const EndpointId& id) { return records_.at(id); }
  const EndpointRecord& at(const EndpointId& id) const { return records_.at(id); }
  // nullptr where the endpoint is not known.
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
