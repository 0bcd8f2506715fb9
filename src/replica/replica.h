// One router's replica of the state that all routers share: a delta-state CRDT with anti-entropy.
//
// Each router writes its own streams and forwards the streams of all. A replica is given the versions of
// another one and answers with the records that it lacks, whether that is the last record or all of them. So
// a router that catches up, also from a second peer after the first one died, does the same as one that keeps
// up. Merging is commutative, associative and idempotent. Does no I/O; the time is passed in and does not
// order records.
//
// Source: Almeida, Shoker, Baquero, "Delta state replicated data types" (2018). Each stream has one writer,
// so one number per stream tells what a hash tree would; docs/replication.md.
#pragma once

#include <array>
#include <functional>
#include <set>

#include "replica/state.h"
#include "routing/time.h"

namespace rushhill::replica {

struct Bounds {
  std::array<Time, kinds> life{};             // from the last write; includes a margin for clock drift
  std::array<std::size_t, kinds> own{};       // max. records of this router
  std::array<std::size_t, kinds> together{};  // max. records of all routers
  std::size_t streams = 0;                    // max. streams of all routers and kinds
  // How long an empty stream of another router is kept after its last delta arrived; longer than any
  // lifetime. A frame may arrive late by at most the difference to its records' lifetime: if it arrived
  // later, expired records could come back.
  Time horizon = 0;
};

// Is notified of limits reached and of violated assumptions.
class ReplicaObserver {
 public:
  ReplicaObserver() = default;
  ReplicaObserver(const ReplicaObserver&) = delete;
  ReplicaObserver& operator=(const ReplicaObserver&) = delete;
  virtual ~ReplicaObserver() = default;

  // A record or a stream was not stored because a limit is reached, or a record because its key is too long.
  virtual void full(Kind kind) = 0;
  // Two replicas have different records under one number; the greater one by rank, count and key is kept.
  virtual void on_divergence(const StreamId& stream, const Word& kept, const Word& dropped) = 0;
  // Another router has records of this router's incarnation that this router never wrote.
  virtual void on_duplicate_writer(const Writer& writer) = 0;
  // Two incarnations both recorded the request as executed, which no deduplication level permits.
  virtual void on_executed_twice(const std::string& request, const Writer& one, const Writer& other) = 0;
};

class Replica {
 public:
  // Throws std::invalid_argument if the bounds contradict each other or one is too small.
  Replica(Writer writer, const Bounds& bounds, ReplicaObserver& observer);

  // Writes a record and returns its number. Returns 0 if a limit is reached or the key is too long; the
  // caller must then reject what depends on the record. The rank and count of a key never decrease, and
  // nothing is written if neither increases. When the limit is reached, a new hint replaces this router's
  // oldest one.
  std::uint64_t write(Time now, Kind kind, const std::string& key, std::uint32_t rank,
                      std::uint64_t count = 0);

  // The highest rank, and the sum of the counts, of a key over all routers.
  std::uint32_t highest_rank(Kind kind, const std::string& key) const;
  std::uint64_t total_count(Kind kind, const std::string& key) const;
  // The highest stage of a request over all routers, each at its latest admission.
  Stage stage(const std::string& request) const;
  // Record that this router admits a request, or how one that it admitted ended. Both return what `write`
  // does.
  std::uint64_t admit_request(Time now, const std::string& request);
  std::uint64_t finish_request(Time now, const std::string& request, Stage stage);
  // The sum of the counts, over all keys, that earlier incarnations of this router wrote.
  std::uint64_t count_of_earlier_incarnations(Kind kind) const;

  VersionVector versions() const;
  // Returns the records that a peer with these versions lacks, at most `max_records`, the oldest of each
  // stream first. A stream that diverges is sent again from the start, a part with each call.
  DeltaBatch deltas_for(Time now, const VersionVector& peer_versions, std::size_t max_records);
  // Returns how many record numbers these versions cover that this replica has not received.
  std::uint64_t missing_records(const VersionVector& peer_versions) const;
  // Returns 0 if nothing of that stream is known.
  std::uint64_t known_through(const StreamId& stream) const;
  // Applies the records that are new. Skips a delta that starts beyond the known records, and the rest of a
  // delta from a record on that is invalid or exceeds a limit; the sender sends those again later.
  void apply(Time now, const DeltaBatch& batch);

  // Sets which records a peer has, until `forget_peer`. A peer that restarted and has not recovered does not
  // count as a holder. `contested` are this router's deduplication records that reached the peer after
  // another router's record of the same request.
  void set_peer_versions(int router, const VersionVector& versions, bool recovered = true,
                         const std::vector<std::uint64_t>& contested = {});
  void forget_peer(int router);
  // Returns how many recovered peers have this router's record; a peer at which it is contested does not
  // count.
  int holder_count(Kind kind, std::uint64_t number) const;
  // Returns the number through which `required_holders` recovered peers have this router's records, contested
  // or not.
  std::uint64_t replicated_through(Kind kind, int required_holders) const;
  // Returns at how many peers this router's deduplication record is contested.
  int contesting_peer_count(std::uint64_t number) const;
  // This router's contested deduplication records by number, and the peers at which they are contested; these
  // may all have been forgotten since.
  const std::map<std::uint64_t, std::set<int>>& contested_by_peers() const { return contested_by_peers_; }
  // Returns the numbers above `after` of a writer's deduplication records that arrived here after another
  // writer's record of the same request. Of two that arrived before this replica had recovered, the order is
  // not known, and both are contested.
  std::vector<std::uint64_t> contested_records(const Writer& writer, std::uint64_t after) const;
  // Whether this replica has all records again that its router had before its restart. The owner sets it.
  void set_recovered(bool on) { recovered_ = on; }
  bool recovered() const { return recovered_; }

  // Drops expired records and the streams that have been empty for longer than their retention.
  void expire_records(Time now);
  std::size_t size(Kind kind) const { return record_counts_[static_cast<std::size_t>(kind)]; }
  std::size_t stream_count() const { return streams_.size(); }
  Writer me() const { return writer_; }

 private:
  struct StoredRecord {
    const std::string* key = nullptr;  // points into the index
    std::uint32_t rank = 0;
    std::uint64_t count = 0;
    Time written = 0;  // by the local clock
  };
  struct Stream {
    StreamVersion version;
    std::map<std::uint64_t, StoredRecord> records;
    std::uint64_t complete_from = 0;  // the stream is complete once all records up to this number are known
    Time last_received = 0;
    bool complete() const { return version.known_through >= complete_from; }
  };
  struct RecordLocation {
    StreamId stream{};
    std::uint64_t number = 0;
  };
  // All records by key, so that a lookup does not visit every stream. The map is ordered because a hash table
  // would at times pause to rehash.
  using Index = std::map<std::string, std::vector<RecordLocation>, std::less<>>;

  static std::size_t at(Kind kind) { return static_cast<std::size_t>(kind); }
  // Returns the number of the key's record in the stream, or 0 if there is none.
  std::uint64_t find_number(const StreamId& id, const std::string& key) const;
  void insert_record(const StreamId& id, Stream& stream, const std::string& key, std::uint64_t number,
                     StoredRecord record);
  void erase_record(const StreamId& id, Stream& stream,
                    std::map<std::uint64_t, StoredRecord>::iterator record);
  void expire_through(const StreamId& id, Stream& stream, std::uint64_t number);
  // Returns false if a limit is reached or the record is invalid; the records after it are then not applied.
  bool apply_record(Time now, const StreamId& id, Stream& stream, const Word& received);
  // Handles a record whose number is known already: it is the same record, or it was replaced since, or the
  // replicas diverge.
  void resolve_conflict(Time now, const StreamId& id, Stream& stream, const Word& received);
  // Marks a deduplication record as contested if another writer admitted the same request before. Its writer
  // has to learn of that before it counts this replica as a holder of the record.
  void note_contested(const StreamId& id, const std::vector<RecordLocation>& same_key, std::uint64_t number,
                      const StoredRecord& record);
  template <typename Visit>
  void for_each_record(Kind kind, const std::string& key, Visit visit) const;

  Writer writer_;
  Bounds bounds_;
  ReplicaObserver& observer_;
  std::map<StreamId, Stream> streams_;
  std::array<Index, kinds> index_;
  std::array<std::size_t, kinds> record_counts_{};
  struct Peer {
    VersionVector versions;
    bool recovered = true;
  };
  std::map<int, Peer> peers_;
  std::map<StreamId, std::set<std::uint64_t>> contested_records_;  // numbers by stream
  std::map<std::uint64_t, std::set<int>> contested_by_peers_;      // peers by this router's record number
  bool recovered_ = true;
  // For each diverging stream, the number up to which its records have been sent again.
  std::map<StreamId, std::uint64_t> resent_through_;
};

}  // namespace rushhill::replica
