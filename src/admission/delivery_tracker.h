// Recognises messages that are delivered more than once: it knows which are in progress and how those that
// ended recently ended. Free of I/O; the caller passes the time.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "routing/time.h"

namespace rushhill::admission {

enum class Outcome { succeeded, rejected, failed };

class DeliveryTracker {
 public:
  // Ended messages are remembered for `retention` (tenths of a millisecond), and at most `max_ended` of them;
  // the oldest are forgotten first.
  DeliveryTracker(Time retention, std::size_t max_ended) : retention_(retention), max_ended_(max_ended) {}

  enum class DeliveryStatus {
    fresh,    // The message is unknown and has to be processed.
    joins,    // The message is in progress and must not be processed a second time.
    answered  // The message has ended; its answer is to be sent again.
  };
  // Records a delivery and returns whether the message is known. `message_key` identifies the message.
  DeliveryStatus meet(Time now, const std::string& message_key);
  bool knows(const std::string& message_key) const {
    return in_progress_.contains(message_key) || ended_.contains(message_key);
  }
  void ended(Time now, const std::string& message_key, Outcome outcome);
  // Drops a message in progress that will not be processed, for instance because the connection was lost
  // before it was submitted. Its next delivery counts as the first.
  void forget(const std::string& message_key) { in_progress_.erase(message_key); }
  // Returns how the message ended; nothing if it has not ended or has been forgotten.
  std::optional<Outcome> outcome(const std::string& message_key) const;
  std::size_t ended_count() const { return ended_.size(); }
  std::size_t in_progress_count() const { return in_progress_.size(); }

 private:
  void forget_oldest(Time now);

  Time retention_;
  std::size_t max_ended_;
  std::map<std::string, int> in_progress_;  // number of deliveries by message key
  std::map<std::string, std::pair<Outcome, Time>> ended_;
  std::deque<std::pair<Time, std::string>> order_;  // ended messages, the oldest first
};

}  // namespace rushhill::admission
