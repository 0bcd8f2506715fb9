// Two routers that tell each other what the other's copy lacks, over one connection whose bytes come in order
// or not at all. After a hello each tells where it stands; then each tells, turn by turn and a bounded part
// at a time, what the other lacks, counting on what it has told; what was taken is acknowledged by points.
// Now and then all points are told, so that what was never told, or differs, is found. Free of I/O; time is
// handed in.
#pragma once

#include <string>
#include <string_view>

#include "replica/frames.h"
#include "replica/replica.h"
#include "routing/time.h"

namespace rushhill::replica {

// The connection, as far as a conversation needs it.
class Line {
 public:
  Line() = default;
  Line(const Line&) = delete;
  Line& operator=(const Line&) = delete;
  virtual ~Line() = default;

  virtual void send(const std::string& bytes) = 0;
  virtual std::size_t unsent() const = 0;  // bytes
};

struct Pace {
  std::size_t words = 500;          // a turn, so that neither side's events wait
  std::size_t unsent = 256 * 1024;  // bytes on the line beyond which a turn is passed over
  Time points_every = 10'000;       // all points; bounds how long a difference stands unfound
};

class Conversation {
 public:
  Conversation(const Hello& ours, Replica& copy, Line& line, const Pace& pace)
      : ours_(ours), copy_(copy), line_(line), pace_(pace) {}

  void opened();
  // False: the connection is to be closed; `reason` says why, and the other has been told where that helps.
  bool arrived(Time now, std::string_view bytes);
  // Every turn of the loop or few: tells what is due.
  void turn(Time now);

  bool greeted() const { return greeted_; }
  std::size_t streams_told() const { return told_.size(); }
  // The other is known and has told where it stands, and this copy lacks nothing of that.
  bool caught_up() const { return heard_points_ && behind() == 0; }
  // This copy has all that the other held when it was first heard to vouch; or, while it does not, all that
  // it held when it was last heard.
  bool learnt() const { return heard_points_ && copy_.behind(first_) == 0; }
  bool other_vouches() const { return other_vouches_; }
  const Hello& other() const { return theirs_; }
  const std::string& reason() const { return reason_; }
  // Words that the other was last known to have and this copy lacks; nothing known: none.
  std::uint64_t behind() const { return copy_.behind(told_); }

 private:
  bool meet(const Hello& theirs);
  void hear(Time now, const Points& points);
  void take(Time now, const Batch& batch);
  Points points(const Summary& of, bool all);
  bool hang_up(const std::string& reason, bool say);

  Hello ours_, theirs_{};
  Replica& copy_;
  Line& line_;
  Pace pace_;
  FrameReader reader_;
  Summary told_;     // where the other said that it stands
  Summary counted_;  // with what has been told to it since
  Summary first_;
  std::uint64_t vouched_ = 0;  // of the other's marks: through here it has been told what met another's
  bool other_vouches_ = false;
  bool greeted_ = false, heard_points_ = false;
  Time points_due_ = 0;
  std::string reason_;
};

}  // namespace rushhill::replica
