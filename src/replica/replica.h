// One router's copy of what all routers hold together. Each router writes streams of its own and passes on
// everybody's; a copy is told how far another is and answers with what that one lacks, be it the last word or
// all of them, so that catching up, also from a second giver after the first died, is the same as keeping up.
// Merging commutes, associates and repeats harmlessly. Free of I/O; time is handed in and orders nothing.
// Source: Almeida, Shoker, Baquero, "Delta state replicated data types" (2018), with one writer a stream, so
// that a number a stream says all that a hash tree would; docs/replication.md.
#pragma once

#include <array>
#include <functional>
#include <set>

#include "replica/state.h"
#include "routing/time.h"

namespace rushhill::replica {

struct Bounds {
  std::array<Time, kinds> life{};             // from when a word was last written; with a margin for drift
  std::array<std::size_t, kinds> own{};       // words of this router
  std::array<std::size_t, kinds> together{};  // words of all routers
  std::size_t streams = 0;                    // of all routers and kinds; empty ones are kept for the horizon
  // Above any life. What others wrote has lapsed for who heard nobody so long; no frame may come later than
  // the horizon is beyond the life of what it tells, or what has lapsed could come back.
  Time horizon = 0;
};

// What should be known of the copy; counted by the owner for its metrics.
class Findings {
 public:
  Findings() = default;
  Findings(const Findings&) = delete;
  Findings& operator=(const Findings&) = delete;
  virtual ~Findings() = default;

  virtual void full(Kind kind) = 0;  // a word was not taken
  // Two words under one number: the stricter stands.
  virtual void copies_differed(const StreamId& stream, const Word& stands, const Word& gone) = 0;
  // Somebody tells words of this router's incarnation that it never wrote.
  virtual void second_of_us(const Writer& writer) = 0;
  // Two lives of routers concluded one event as honoured, which no level permits.
  virtual void honoured_twice(const std::string& event, const Writer& one, const Writer& other) = 0;
};

class Replica {
 public:
  // Throws std::invalid_argument where the horizon is not above every life, or a bound is 0.
  Replica(Writer me, const Bounds& bounds, Findings& findings);

  // The word's number; 0: the bound is reached and nothing may be lost, so that whatever hangs on it must be
  // shed. Rank and count under a key never fall; the same again costs nothing. Hints push out the oldest.
  std::uint64_t write(Time now, Kind kind, const std::string& key, std::uint32_t rank,
                      std::uint64_t count = 0);

  // Over all routers: the highest rank, the sum of the counts.
  std::uint32_t strictest(Kind kind, const std::string& key) const;
  std::uint64_t sum(Kind kind, const std::string& key) const;
  // Of an event over all routers, each at its latest taking of it.
  Stage stage(const std::string& event) const;
  // This router takes an event, or ends one that it took; as `write`.
  std::uint64_t take_event(Time now, const std::string& event);
  std::uint64_t end_event(Time now, const std::string& event, Stage how);
  // Of this router's earlier lives, over all keys.
  std::uint64_t written_before(Kind kind) const;

  Summary summary() const;
  // What the other lacks, oldest first, `most` words at the most; of copies that differ a part at a time.
  Batch lacking(Time now, const Summary& theirs, std::size_t most);
  // How many words told by these points are not here.
  std::uint64_t behind(const Summary& theirs) const;
  // 0: nothing of that stream.
  std::uint64_t known_through(const StreamId& stream) const;
  // Takes what is new; pieces that begin beyond what is known, or break a bound, are passed over whole or
  // from there on, and will be told again.
  void apply(Time now, const Batch& batch);

  // What the other router is known to have; forgotten with it. One that does not vouch, since it started not
  // long ago and may have forgotten, holds nothing. `contested`: this router's marks that came there after
  // another's of the same event.
  void heard_from(int router, const Summary& theirs, bool vouches = true,
                  const std::vector<std::uint64_t>& contested = {});
  void forget(int router);
  // Others that have this router's word, a mark before any other of its event; and the number through which
  // so many have them.
  int holders(Kind kind, std::uint64_t number) const;
  std::uint64_t held_through(Kind kind, int others) const;
  // Others at which this router's mark came after another's of the same event; and all such marks.
  int contesting(std::uint64_t number) const;
  const std::map<std::uint64_t, std::set<int>>& contested() const { return contested_by_; }
  // A writer's marks beyond `after` that came here after another's. Of two that both came before this copy
  // vouched, nobody knows which was first: both.
  std::vector<std::uint64_t> contested_of(const Writer& writer, std::uint64_t after) const;
  // Whether this copy may stand for what its router held before it was started; as told by the owner.
  void vouch(bool on) { vouches_ = on; }
  bool vouches() const { return vouches_; }

  // Drops what has lapsed.
  void pass(Time now);
  std::size_t size(Kind kind) const { return sizes_[static_cast<std::size_t>(kind)]; }
  std::size_t streams() const { return streams_.size(); }
  Writer me() const { return me_; }

 private:
  struct Row {
    const std::string* key = nullptr;  // in the index
    std::uint32_t rank = 0;
    std::uint64_t count = 0;
    Time written = 0;  // on this machine's clock
  };
  struct Stream {
    Point point;
    std::map<std::uint64_t, Row> rows;
    std::uint64_t whole_from = 0;  // where the tellers of what is here stood
    Time heard = 0;
    bool whole() const { return point.through >= whole_from; }
  };
  struct Holder {
    StreamId stream{};
    std::uint64_t number = 0;
  };
  // Every word under its key, so that reading does not walk all routers. Ordered: a hash table would now and
  // then stand still to grow.
  using Index = std::map<std::string, std::vector<Holder>, std::less<>>;

  static std::size_t at(Kind kind) { return static_cast<std::size_t>(kind); }
  // 0: no word of that stream.
  std::uint64_t number_of(const StreamId& id, const std::string& key) const;
  void put(const StreamId& id, Stream& stream, const std::string& key, std::uint64_t number, Row row);
  void drop(const StreamId& id, Stream& stream, std::map<std::uint64_t, Row>::iterator row);
  void end_through(const StreamId& id, Stream& stream, std::uint64_t number);
  bool take(Time now, const StreamId& id, Stream& stream, const Word& word);
  void settle(Time now, const StreamId& id, Stream& stream, const Word& word);
  void meet(const StreamId& id, const std::vector<Holder>& holders, std::uint64_t number, const Row& row);
  template <typename Visit>
  void each_holder(Kind kind, const std::string& key, Visit visit) const;

  Writer me_;
  Bounds bounds_;
  Findings& findings_;
  std::map<StreamId, Stream> streams_;
  std::array<Index, kinds> index_;
  std::array<std::size_t, kinds> sizes_{};
  struct Theirs {
    Summary summary;
    bool vouches = true;
  };
  std::map<int, Theirs> theirs_;
  std::map<StreamId, std::set<std::uint64_t>> contested_;  // of rows that stand
  std::map<std::uint64_t, std::set<int>> contested_by_;    // of rows of this router's
  bool vouches_ = true;
  std::map<StreamId, std::uint64_t> repaired_;  // of copies that differ: told again through here
};

}  // namespace rushhill::replica
