// The data types of the replicated state: records, the streams that they belong to, and the deltas that
// routers exchange. Records are never ordered by a clock: each writer numbers its own records, and no other
// router writes them.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "routing/time.h"

namespace rushhill::replica {

// What a record is about. docs/replication.md gives the merge rule, the bounds and the lifetime of each kind.
enum class Kind { deduplication, load_budget, quota, departure, hint };
constexpr int kinds = 5;

// How far one router has processed a request. From `admitted` on, an attempt may have been executed. Over all
// routers the highest stage counts, so a router that never executed the request cannot hide that another one
// may have.
enum class Stage : std::uint32_t { none, not_executed, admitted, may_have_executed, executed };

// The rank of a deduplication record is its stage plus this number for each admission that ended without
// execution. A router that rejected a request without executing it may admit it again, and the rank still
// never decreases.
constexpr std::uint32_t ranks_per_admission = 8;
constexpr Stage stage_of(std::uint32_t rank) { return static_cast<Stage>(rank % ranks_per_admission); }

// How the requests of a request class are deduplicated; docs/replication.md states what each level
// guarantees.
enum class DeduplicationLevel {
  none,
  announced,  // the record is sent before the first attempt, which does not wait for an answer
  held        // the first attempt waits until enough other routers have the record
};

// Up to this number of routers, each one is linked to all others, so that a record can be replicated to more
// than half of them.
constexpr int max_full_mesh_routers = 16;

// One incarnation of one router. Incarnation numbers are drawn at random at each start; they are compared for
// equality and have no order in time.
struct Writer {
  int router = 0;
  std::uint64_t incarnation = 0;
  auto operator<=>(const Writer&) const = default;
};

// All records of one kind by one writer, numbered from 1.
struct StreamId {
  Kind kind = Kind::deduplication;
  Writer writer{};
  auto operator<=>(const StreamId&) const = default;
};

struct Word {
  std::uint64_t number = 0;
  std::string key{};        // of a request, a tenant and time bucket, a server, ...; at most `max_key_bytes`
  std::uint32_t rank = 0;   // ordered within the kind; never decreases for one writer and key
  std::uint64_t count = 0;  // never decreases for one writer and key
  Time age = 0;             // since the record was written, as far as the sender knows
};

constexpr std::size_t max_key_bytes = 512;  // enough for the source and id of an ordinary CloudEvent

// The state of a stream at one router: it knows all records up to `known_through`, and those up to
// `expired_through` have expired.
struct StreamVersion {
  std::uint64_t expired_through = 0, known_through = 0;
  // Of the records in between. If two complete versions are equal except for the digest, the replicas
  // diverge.
  std::uint64_t digest = 0;
  // False while a transfer in several parts is under way: a record that replaces an earlier one may be
  // missing.
  bool complete = true;
  bool operator==(const StreamVersion&) const = default;
};

// The versions of several streams. A router that sends all its versions knows no record of a stream without
// an entry.
using VersionVector = std::map<StreamId, StreamVersion>;

// The records of one stream that follow number `after`, up to `through`. Numbers that are left out were
// replaced by later records or have expired.
struct Piece {
  StreamId stream{};
  std::uint64_t after = 0, expired_through = 0, through = 0;
  std::uint64_t of = 0;  // the receiver's stream is complete once it has all records up to this number
  std::vector<Word> words{};
};

using DeltaBatch = std::vector<Piece>;

}  // namespace rushhill::replica
