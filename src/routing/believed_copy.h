// What this router knows or assumes about one endpoint's copy of a function.
#pragma once

#include <cstdint>
#include <utility>

#include "routing/time.h"

namespace rushhill::routing {

struct EndpointRecord;

// The copy is assumed to exist while this router has open attempts of the function at the endpoint and while
// a prewarm order is pending. It is confirmed from an answer of the copy until the copy has been idle for the
// keep-alive span.
class BelievedCopy {
 public:
  bool believed(Timestamp now, Duration keep_alive) const {
    return open_attempts_ > 0 || prewarming_ || confirmed(now, keep_alive);
  }
  bool confirmed(Timestamp now, Duration keep_alive) const {
    return confirmed_ && now - last_used_at_ < keep_alive;
  }
  bool prewarming() const { return prewarming_; }
  int open_attempts() const { return open_attempts_; }

  // Returns whether the copy was confirmed at that time.
  bool attempt_sent(Timestamp now, Duration keep_alive) {
    confirmed_ = confirmed(now, keep_alive);
    ++open_attempts_;
    return confirmed_;
  }
  void attempt_ended() {
    if (open_attempts_ > 0) --open_attempts_;
  }
  void confirm(Timestamp now) {
    confirmed_ = true;
    last_used_at_ = now;
  }
  void mark_missing() { confirmed_ = false; }

  // Returns false if an order was already pending.
  bool prewarm_ordered() { return !std::exchange(prewarming_, true); }
  void prewarm_ended(Timestamp now, bool loaded) {
    prewarming_ = false;
    confirmed_ = loaded;
    last_used_at_ = now;
  }

  // Marks the copy as lost. Open attempts of this router may still be at the endpoint.
  void forget() {
    confirmed_ = false;
    prewarming_ = false;
  }

  // Returns the endpoint's record, or nullptr if the table has none. Calls `find` to look it up again when
  // the endpoint list has a new version.
  template <typename Find>
  EndpointRecord* endpoint(std::uint64_t list_version, const Find& find) {
    if (std::exchange(endpoint_version_, list_version) != list_version) endpoint_ = find();
    return endpoint_;
  }

 private:
  int open_attempts_ = 0;  // this router's open attempts of the function at the endpoint
  bool prewarming_ = false;
  bool confirmed_ = false;
  Timestamp last_used_at_{};
  EndpointRecord* endpoint_ = nullptr;
  std::uint64_t endpoint_version_ = 0;
};

// Link from an endpoint to its copy of the function that a selection is for, valid for that selection only.
// It saves the selection a lookup for each endpoint.
class CopyLink {
 public:
  void set(const BelievedCopy& copy, std::uint64_t selection) {
    copy_ = &copy;
    selection_ = selection;
  }
  const BelievedCopy* for_selection(std::uint64_t selection) const {
    return selection_ == selection ? copy_ : nullptr;
  }

 private:
  const BelievedCopy* copy_ = nullptr;
  std::uint64_t selection_ = 0;
};

}  // namespace rushhill::routing
