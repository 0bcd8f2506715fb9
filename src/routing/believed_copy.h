// One endpoint's copy of a function, as far as this router believes in it.
#pragma once

#include <cstdint>
#include <utility>

#include "routing/time.h"

namespace rushhill::routing {

struct EndpointRecord;

// A copy is predicted while own attempts of the function are at the endpoint, prewarmed while an order is
// pending, and confirmed from an answer that found it until it has been idle for the keep-alive span.
class BelievedCopy {
 public:
  bool believed(Timestamp now, Duration keep_alive) const {
    return open_attempts_ > 0 || prewarming_ || confirmed(now, keep_alive);
  }
  bool confirmed(Timestamp now, Duration keep_alive) const {
    return confirmed_ && now - used_at_ < keep_alive;
  }
  bool prewarming() const { return prewarming_; }
  int open_attempts() const { return open_attempts_; }

  // Returns whether the copy was confirmed at that moment.
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
    used_at_ = now;
  }
  void refute() { confirmed_ = false; }

  // Returns whether no order was pending.
  bool prewarm_ordered() { return !std::exchange(prewarming_, true); }
  void prewarm_ended(Timestamp now, bool loaded) {
    prewarming_ = false;
    confirmed_ = loaded;
    used_at_ = now;
  }

  // The endpoint has lost its copies; own attempts may still be there.
  void forget() {
    confirmed_ = false;
    prewarming_ = false;
  }

  // The endpoint's record, looked up again by `find` when the endpoint list has a new version; nullptr where
  // the endpoint is not on the list.
  template <typename Find>
  EndpointRecord* endpoint(std::uint64_t list_version, const Find& find) {
    if (std::exchange(endpoint_version_, list_version) != list_version) endpoint_ = find();
    return endpoint_;
  }

 private:
  int open_attempts_ = 0;  // own attempts of the function there
  bool prewarming_ = false;
  bool confirmed_ = false;
  Timestamp used_at_{};
  EndpointRecord* endpoint_ = nullptr;
  std::uint64_t endpoint_version_ = 0;
};

// From an endpoint to its copy of the function that is being placed, valid for one selection. It spares the
// selection a look-up for each endpoint.
class CopyLink {
 public:
  void set(const BelievedCopy& copy, std::uint64_t selection) {
    copy_ = &copy;
    selection_ = selection;
  }
  const BelievedCopy* of_selection(std::uint64_t selection) const {
    return selection_ == selection ? copy_ : nullptr;
  }

 private:
  const BelievedCopy* copy_ = nullptr;
  std::uint64_t selection_ = 0;
};

}  // namespace rushhill::routing
