// Which events this router may run: an event is taken by a mark in the copy that all routers hold together,
// and where its marks are to be held, its first shot waits until so many others have the mark and had no
// other's of the same event before it. Free of I/O; time is handed in. docs/replication.md says what each
// level promises.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "replica/replica.h"
#include "routing/time.h"

namespace rushhill::replica {

// The key of a CloudEvent's mark; a long one is cut and told apart by a hash.
std::string mark_of(std::string_view source, std::string_view id);

// Whether two takings of one event, each held by so many others, always have a router in common.
constexpr bool every_two_meet(int routers, int others) { return 2 * (others + 1) > routers; }
// Whether a router that has started holds again whatever it held before: it has learnt from all others, or
// from so many that vouch that one of them shares each mark that it ever helped to hold.
constexpr bool settled(int routers, int others, int learnt_from, int of_them_vouching) {
  return learnt_from >= routers - 1 || of_them_vouching >= routers - others;
}

enum class Taking { go, wait, known, full };

// Told how each taking that had to wait came out, once, and never from within `take`.
class Taker {
 public:
  Taker() = default;
  Taker(const Taker&) = delete;
  Taker& operator=(const Taker&) = delete;
  virtual ~Taker() = default;

  virtual void may_go(std::int64_t event) = 0;
  virtual void taken_elsewhere(std::int64_t event) = 0;  // or may have been; it never ran here
  virtual void not_held(std::int64_t event) = 0;         // in time; it never ran here
};

class Marks {
 public:
  // `others`: how many must have a mark that is to be held.
  Marks(Replica& copy, int routers, int others, Taker& taker)
      : copy_(copy), routers_(routers), others_(others), taker_(taker) {}

  // `by`: held by then, or not taken. `event` names the taking to the taker, `mark` to all routers.
  Taking take(Time now, std::int64_t event, const std::string& mark, MarkLevel level, Time by);
  // What has become of an event that was taken; shed only where it provably never ran.
  void ended(Time now, const std::string& mark, Stage how) { copy_.end_event(now, mark, how); }

  // Others have told where they stand.
  void heard();
  // Time has passed; `next`: when it must be told again, 0: not before something waits.
  void pass(Time now);
  Time next() const { return by_.empty() ? 0 : by_.begin()->first; }

 private:
  struct Waiting {
    std::int64_t event = 0;
    Time by = 0;
  };
  void decide(std::uint64_t number);

  Replica& copy_;
  int routers_, others_;
  Taker& taker_;
  std::map<std::uint64_t, Waiting> waiting_;  // by the mark's number
  std::multimap<Time, std::uint64_t> by_;
};

}  // namespace rushhill::replica
