// The sources that still had bytes to read when their turn ended.
#pragma once

#include <deque>
#include <optional>
#include <set>

#include "transport/poller.h"

namespace rushhill::transport {

// A round robin of registrations, each of them once.
//
// A source that has had all its bytes read may get more at once: its peer's system had to wait until there
// was room for them. So it counts as read to its end only once what a later poll reports of it has been read
// too.
class UnreadSources {
 public:
  bool empty() const { return turns_.empty(); }
  // Whether the source waits for its turn.
  bool waits(RegistrationId id) const { return waiting_.contains(id); }
  // Whether the source may have bytes that its peer sent some time ago.
  bool may_hold_unread(RegistrationId id) const { return waits(id) || read_lately_.contains(id); }
  // Gives the source a turn after all others.
  void add(RegistrationId id) {
    if (waiting_.insert(id).second) turns_.push_back(id);
  }
  // Returns the source whose turn it is, which does not wait any longer.
  std::optional<RegistrationId> next() {
    if (turns_.empty()) return std::nullopt;
    const RegistrationId id = turns_.front();
    turns_.pop_front();
    waiting_.erase(id);
    read_lately_.insert(id);
    return id;
  }
  // What a later poll has reported has been read, except for the sources that wait.
  void on_poll_read() {
    std::erase_if(read_lately_, [this](RegistrationId id) { return !waits(id); });
  }

 private:
  std::deque<RegistrationId> turns_;
  std::set<RegistrationId> waiting_;
  std::set<RegistrationId> read_lately_;
};

}  // namespace rushhill::transport
