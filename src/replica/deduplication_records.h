// Decides which requests this router may execute. Admitting a request writes a deduplication record to the
// replicated state. Where the records of a request class have to be replicated first, the first attempt waits
// until enough other routers have the record, not counting those that another router's record of the same
// request reached first. Does no I/O; the time is passed in. docs/replication.md states what each level
// guarantees.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "replica/replica.h"
#include "routing/time.h"

namespace rushhill::replica {

// Returns the key of a CloudEvent's deduplication record. A key that is too long is cut, and ends in a hash
// of the whole.
std::string deduplication_key(std::string_view source, std::string_view id);

// Whether any two quorums, each of an admitting router and `required_holders` others, have a router in
// common.
constexpr bool quorums_intersect(int routers, int required_holders) {
  return 2 * (required_holders + 1) > routers;
}
// Whether a restarted router has all deduplication records again that it held before. It has received those
// of all others, or of so many recovered ones that each record for which it counted as a holder is held by
// one of them.
constexpr bool settled(int routers, int required_holders, int synchronized, int recovered_among_them) {
  return synchronized >= routers - 1 || recovered_among_them >= routers - required_holders;
}

enum class Taking { go, wait, known, full };

// Is notified once of the decision on each admission that was pending, never from within `admit`.
class Taker {
 public:
  Taker() = default;
  Taker(const Taker&) = delete;
  Taker& operator=(const Taker&) = delete;
  virtual ~Taker() = default;

  virtual void on_admitted(std::int64_t request) = 0;
  // Another router admitted the request or may have; it was not executed here.
  virtual void on_duplicate(std::int64_t request) = 0;
  // Too few routers had the record before the deadline; the request was not executed here.
  virtual void on_replication_timeout(std::int64_t request) = 0;
};

class DeduplicationRecords {
 public:
  // `routers` are all routers; `required_holders` is how many others must have a record that has to be
  // replicated.
  DeduplicationRecords(Replica& replica, int routers, int required_holders, Taker& observer)
      : replica_(replica), routers_(routers), required_holders_(required_holders), observer_(observer) {}

  // Admits a request unless it was admitted before. `request` identifies it to the observer, `key` to all
  // routers. A request whose record has to be replicated is not admitted if that does not happen by the
  // deadline.
  Taking take(Time now, std::int64_t request, const std::string& key, DeduplicationLevel level,
              Time deadline);
  // Records how an admitted request ended. `stage` is `not_executed` only if it was certainly never executed.
  void ended(Time now, const std::string& key, Stage stage) { replica_.finish_request(now, key, stage); }

  // Decides on pending admissions after peers have reported new versions.
  void heard();
  // Decides on the pending admissions whose deadline has passed.
  void pass(Time now);
  // Returns the earliest deadline of a pending admission, or 0 if none is pending.
  Time next() const { return deadlines_.empty() ? 0 : deadlines_.begin()->first; }

 private:
  struct Pending {
    std::int64_t request = 0;
    Time deadline = 0;
  };
  void decide(std::uint64_t number);

  Replica& replica_;
  int routers_, required_holders_;
  Taker& observer_;
  std::map<std::uint64_t, Pending> pending_;      // by the number of the record
  std::multimap<Time, std::uint64_t> deadlines_;  // to the number of the record
};

}  // namespace rushhill::replica
