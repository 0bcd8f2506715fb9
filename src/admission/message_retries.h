// Retries of messages whose sender does not wait for an answer: a message that did not succeed is submitted
// again after a backoff, up to a configured number of times and not past its deadline. After that the caller
// sends it to the dead-letter topic. Free of I/O; the caller passes the time.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "admission/delivery_tracker.h"
#include "routing/types.h"

namespace rushhill::admission {

class MessageRetries {
 public:
  // Allows `max_submissions` of each message. Submissions are counted for at most `max_messages` messages;
  // the oldest are forgotten first.
  MessageRetries(int max_submissions, std::size_t max_messages)
      : max_submissions_(max_submissions), max_messages_(max_messages) {}

  // Counts a submission that did not succeed and returns when to submit the message again; nothing if it must
  // not be retried. `retry_after`: the delay asked for by the core; 0 selects the exponential backoff.
  std::optional<Time> again(Time now, const std::string& message_key, Outcome outcome,
                            RetrySafety retry_safety, Time deadline, Time retry_after);
  // Returns the number of submissions counted for the message.
  int made(const std::string& message_key) const;
  void forget(const std::string& message_key);

 private:
  int max_submissions_;
  std::size_t max_messages_;
  std::map<std::string, int> failures_;  // submissions that did not succeed, by message key
  std::deque<std::string> order_;        // message keys in the order of their first failure
};

}  // namespace rushhill::admission
