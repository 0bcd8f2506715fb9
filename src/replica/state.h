// The shapes of what routers hold together: who wrote what, in which order, and what is told of it. Nothing
// here sends, reads a clock or orders by one: each writer numbers its own words, and only it writes them.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "routing/time.h"

namespace rushhill::replica {

// Its merging rule, bound and life by kind: docs/replication.md.
enum class Kind { mark, ration, quota, departure, hint };
constexpr int kinds = 5;

// How far an event came at one router; from `taken` on a shot may have run. Across routers the strictest
// counts: what may have run is never outvoted by a router at which it did not.
enum class Stage : std::uint32_t { none, shed, taken, abandoned, honoured };

// A mark's rank: a router that shed an event, unrun, may take it once more, and its rank still never falls.
constexpr std::uint32_t ranks_a_taking = 8;
constexpr Stage stage_of(std::uint32_t rank) { return static_cast<Stage>(rank % ranks_a_taking); }

// How a traffic type's marks are kept; docs/replication.md says what each promises.
enum class MarkLevel {
  none,
  announced,  // sent to the others before the first shot, not waited for
  held        // so many others have it before the first shot
};

// Routers that all exchange their copies with one another, so that a mark can be held by more than half.
constexpr int most_meeting = 16;

// One life of one router. Incarnations are drawn at random at each start; they are told apart, never ordered.
struct Writer {
  int router = 0;
  std::uint64_t incarnation = 0;
  auto operator<=>(const Writer&) const = default;
};

// One writer's words of one kind, numbered from 1.
struct StreamId {
  Kind kind = Kind::mark;
  Writer writer{};
  auto operator<=>(const StreamId&) const = default;
};

struct Word {
  std::uint64_t number = 0;
  std::string key{};        // event, customer and bucket, server, ...; at most `longest_key` bytes
  std::uint32_t rank = 0;   // the kind's own order; never falls under one key
  std::uint64_t count = 0;  // likewise
  Time age = 0;             // since it was written, as far as the teller knows
};

constexpr std::size_t longest_key = 512;  // bytes; source and id of a CloudEvent in ordinary use

// How far somebody is with a stream: all words up to `through` are known, those up to `ended` have lapsed.
struct Point {
  std::uint64_t ended = 0, through = 0;
  std::uint64_t digest =
      0;              // of the words between; equal whole points with unequal digests: copies that differ
  bool whole = true;  // false on the way through a longer telling: what overwrote a word may be missing
  bool operator==(const Point&) const = default;
};

using Summary = std::map<StreamId, Point>;

// Words of one stream for somebody who knows it through `after`. Numbers that are left out were overwritten
// by later words or have lapsed.
struct Piece {
  StreamId stream{};
  std::uint64_t after = 0, ended = 0, through = 0;
  std::uint64_t of = 0;  // where the teller stands; whole from there on
  std::vector<Word> words{};
};

using Batch = std::vector<Piece>;

}  // namespace rushhill::replica
