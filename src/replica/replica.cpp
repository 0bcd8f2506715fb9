#include "replica/replica.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdlib>
#include <stdexcept>
#include <tuple>
#include <utility>

namespace rushhill::replica {
namespace {

std::uint64_t digest_of(std::uint64_t number, const std::string& key, std::uint32_t rank,
                        std::uint64_t count) {
  const std::array<std::uint64_t, 3> figures{number, rank, count};
  return XXH64(key.data(), key.size(), XXH64(figures.data(), sizeof figures, 0));
}

// In the tests' build alone: copies that merge wrongly, so that a played day shows whether it would be seen.
#ifdef RUSHHILL_PLANTING
const bool planted = std::getenv("RUSHHILL_PLANT_FORGETFUL") != nullptr;
#else
constexpr bool planted = false;
#endif

}  // namespace

Replica::Replica(Writer me, const Bounds& bounds, Findings& findings)
    : me_(me), bounds_(bounds), findings_(findings) {
  for (std::size_t kind = 0; kind < kinds; ++kind) {
    if (bounds_.life[kind] <= 0 || bounds_.own[kind] == 0 || bounds_.together[kind] < bounds_.own[kind])
      throw std::invalid_argument("a kind's life and bounds must be above 0, together not below own");
    if (bounds_.horizon <= bounds_.life[kind])
      throw std::invalid_argument("the horizon must be above every life");
  }
  if (bounds_.streams < kinds) throw std::invalid_argument("fewer streams than kinds");
  for (int kind = 0; kind < kinds; ++kind) streams_[{static_cast<Kind>(kind), me_}];
}

std::uint64_t Replica::number_of(const StreamId& id, const std::string& key) const {
  const auto it = index_[at(id.kind)].find(key);
  if (it == index_[at(id.kind)].end()) return 0;
  const auto holder = std::ranges::find(it->second, id, &Holder::stream);
  return holder == it->second.end() ? 0 : holder->number;
}

void Replica::put(const StreamId& id, Stream& stream, const std::string& key, std::uint64_t number, Row row) {
  stream.point.digest ^= digest_of(number, key, row.rank, row.count);
  const auto it = index_[at(id.kind)].try_emplace(key).first;
  row.key = &it->first;
  if (id.kind == Kind::mark) meet(id, it->second, number, row);
  it->second.push_back({id, number});
  stream.rows.insert_or_assign(number, row);
  ++sizes_[at(id.kind)];
}

// Two lives that both took one event: the later one here is to hear of it before it counts its mark as held.
void Replica::meet(const StreamId& id, const std::vector<Holder>& holders, std::uint64_t number,
                   const Row& row) {
  if (stage_of(row.rank) < Stage::taken || planted) return;
  for (const Holder& other : holders) {
    const Stage theirs = stage_of(streams_.at(other.stream).rows.at(other.number).rank);
    if (theirs < Stage::taken) continue;
    contested_[id].insert(number);
    if (!vouches_) contested_[other.stream].insert(other.number);
    if (theirs == Stage::honoured && stage_of(row.rank) == Stage::honoured)
      findings_.honoured_twice(*row.key, id.writer, other.stream.writer);
  }
}

void Replica::drop(const StreamId& id, Stream& stream, std::map<std::uint64_t, Row>::iterator row) {
  if (id == StreamId{Kind::mark, me_}) contested_by_.erase(row->first);
  if (const auto it = contested_.find(id); it != contested_.end()) {
    it->second.erase(row->first);
    if (it->second.empty()) contested_.erase(it);
  }
  stream.point.digest ^= digest_of(row->first, *row->second.key, row->second.rank, row->second.count);
  Index& index = index_[at(id.kind)];
  const auto it = index.find(*row->second.key);
  std::erase_if(it->second, [&](const Holder& holder) { return holder.stream == id; });
  if (it->second.empty()) index.erase(it);
  stream.rows.erase(row);
  --sizes_[at(id.kind)];
}

void Replica::end_through(const StreamId& id, Stream& stream, std::uint64_t number) {
  while (!stream.rows.empty() && stream.rows.begin()->first <= number) drop(id, stream, stream.rows.begin());
  stream.point.ended = std::max(stream.point.ended, number);
  stream.point.through = std::max(stream.point.through, number);
}

std::uint64_t Replica::write(Time now, Kind kind, const std::string& key, std::uint32_t rank,
                             std::uint64_t count) {
  const StreamId id{kind, me_};
  Stream& stream = streams_.at(id);
  Row row{.rank = rank, .count = count, .written = now};
  if (const std::uint64_t known = number_of(id, key); known != 0) {
    const auto old = stream.rows.find(known);
    if (rank <= old->second.rank && count <= old->second.count) return old->first;
    row.rank = std::max(rank, old->second.rank);
    row.count = std::max(count, old->second.count);
    drop(id, stream, old);
  } else {
    const auto room = [&] {
      return stream.rows.size() < bounds_.own[at(kind)] && sizes_[at(kind)] < bounds_.together[at(kind)];
    };
    if (!room()) pass(now);
    if (!room() && kind == Kind::hint && !stream.rows.empty())
      end_through(id, stream, stream.rows.begin()->first);
    if (!room() || key.size() > longest_key) return findings_.full(kind), 0;
  }
  const std::uint64_t number = ++stream.point.through;
  put(id, stream, key, number, row);
  return number;
}

template <typename Visit>
void Replica::each_holder(Kind kind, const std::string& key, Visit visit) const {
  const auto it = index_[at(kind)].find(key);
  if (it == index_[at(kind)].end()) return;
  for (const Holder& holder : it->second) visit(streams_.at(holder.stream).rows.at(holder.number));
}

std::uint32_t Replica::strictest(Kind kind, const std::string& key) const {
  std::uint32_t rank = 0;
  each_holder(kind, key, [&](const Row& row) { rank = std::max(rank, row.rank); });
  return rank;
}

std::uint64_t Replica::sum(Kind kind, const std::string& key) const {
  std::uint64_t total = 0;
  each_holder(kind, key, [&](const Row& row) { total += row.count; });
  return total;
}

Stage Replica::stage(const std::string& event) const {
  Stage strictest = Stage::none;
  if (planted) return strictest;
  each_holder(Kind::mark, event,
              [&](const Row& row) { strictest = std::max(strictest, stage_of(row.rank)); });
  return strictest;
}

std::uint64_t Replica::take_event(Time now, const std::string& event) {
  return end_event(now, event, Stage::taken);
}

std::uint64_t Replica::end_event(Time now, const std::string& event, Stage how) {
  const StreamId id{Kind::mark, me_};
  const std::uint64_t known = number_of(id, event);
  const std::uint32_t rank = known == 0 ? 0 : streams_.at(id).rows.at(known).rank;
  std::uint32_t taking = rank / ranks_a_taking;
  if (how == Stage::shed && stage_of(rank) > Stage::shed) ++taking;
  return write(now, Kind::mark, event, taking * ranks_a_taking + static_cast<std::uint32_t>(how));
}

std::uint64_t Replica::written_before(Kind kind) const {
  std::uint64_t total = 0;
  for (const auto& [id, stream] : streams_) {
    if (id.kind != kind || id.writer.router != me_.router || id.writer == me_) continue;
    for (const auto& [number, row] : stream.rows) total += row.count;
  }
  return total;
}

Summary Replica::summary() const {
  Summary told;
  for (const auto& [id, stream] : streams_) {
    if (stream.point.through == 0) continue;
    Point point = stream.point;
    point.whole = stream.whole();
    told.emplace(id, point);
  }
  return told;
}

Batch Replica::lacking(Time now, const Summary& theirs, std::size_t most) {
  Batch batch;
  for (const auto& [id, stream] : streams_) {
    const Point& mine = stream.point;
    const auto known = theirs.find(id);
    const Point point = known == theirs.end() ? Point{} : known->second;
    Piece piece{.stream = id,
                .after = point.through,
                .ended = mine.ended,
                .through = mine.through,
                .of = std::max(mine.through, stream.whole_from),
                .words = {}};
    const bool same = point.through == mine.through && point.ended == mine.ended;
    if (same && point.whole && stream.whole() && point.digest != mine.digest) {
      // Nothing tells which word it is: all go again, a part at a time.
      std::uint64_t& from = repaired_[id];
      if (from >= mine.through || from < mine.ended) from = mine.ended;
      piece.after = from;
    } else if (point.through >= mine.through && point.ended >= mine.ended) {
      repaired_.erase(id);
      continue;
    } else if (known == theirs.end() && stream.rows.empty()) {
      continue;
    }
    for (auto it = stream.rows.upper_bound(piece.after); it != stream.rows.end(); ++it) {
      if (most == 0) {
        piece.through = piece.words.empty() ? piece.after : piece.words.back().number;
        break;
      }
      --most;
      const Row& row = it->second;
      piece.words.push_back({it->first, *row.key, row.rank, row.count, std::max<Time>(now - row.written, 0)});
    }
    if (const auto it = repaired_.find(id); it != repaired_.end()) it->second = piece.through;
    if (piece.through > piece.after || piece.ended > point.ended) batch.push_back(std::move(piece));
  }
  return batch;
}

std::uint64_t Replica::known_through(const StreamId& stream) const {
  const auto it = streams_.find(stream);
  return it == streams_.end() ? 0 : it->second.point.through;
}

std::uint64_t Replica::behind(const Summary& theirs) const {
  std::uint64_t words = 0;
  for (const auto& [id, point] : theirs) {
    const auto it = streams_.find(id);
    const std::uint64_t known = it == streams_.end() ? 0 : it->second.point.through;
    const std::uint64_t from = std::max(known, point.ended);
    words += point.through > from ? point.through - from : 0;
  }
  return words;
}

void Replica::apply(Time now, const Batch& batch) {
  for (const Piece& piece : batch) {
    const StreamId& id = piece.stream;
    if (id.writer == me_) {
      if (piece.through > streams_.at(id).point.through) findings_.second_of_us(me_);
      continue;
    }
    if (!streams_.contains(id) && streams_.size() >= bounds_.streams) {
      pass(now);
      if (streams_.size() >= bounds_.streams) {
        findings_.full(id.kind);
        continue;
      }
    }
    Stream& stream = streams_[id];
    stream.heard = now;
    if (piece.after > stream.point.through || piece.ended > piece.through) continue;
    stream.whole_from = std::max(stream.whole_from, piece.of);
    end_through(id, stream, piece.ended);
    const bool all = std::ranges::all_of(piece.words, [&](const Word& word) {
      return word.number <= piece.through && take(now, id, stream, word);
    });
    if (all) stream.point.through = std::max(stream.point.through, piece.through);
  }
}

// False: the bound is reached or the word cannot be, and what follows it is not known.
bool Replica::take(Time now, const StreamId& id, Stream& stream, const Word& word) {
  if (word.number == 0 || word.key.size() > longest_key || word.age < 0) return false;
  if (word.number <= stream.point.ended) return true;
  if (word.number <= stream.point.through) return settle(now, id, stream, word), true;
  if (word.age >= bounds_.life[at(id.kind)]) {
    end_through(id, stream, word.number);
    return true;
  }
  if (const std::uint64_t known = number_of(id, word.key); known != 0) {
    drop(id, stream, stream.rows.find(known));
  } else if (sizes_[at(id.kind)] >= bounds_.together[at(id.kind)]) {
    if (id.kind != Kind::hint || stream.rows.empty()) return findings_.full(id.kind), false;
    end_through(id, stream, stream.rows.begin()->first);
  }
  put(id, stream, word.key, word.number, {.rank = word.rank, .count = word.count, .written = now - word.age});
  stream.point.through = word.number;
  return true;
}

// A word under a number that is known: the same, or overwritten since, or the copies differ.
void Replica::settle(Time now, const StreamId& id, Stream& stream, const Word& word) {
  const std::uint64_t same_key = number_of(id, word.key);
  if (same_key > word.number) return;
  const auto it = stream.rows.find(word.number);
  if (it == stream.rows.end()) {
    if (word.age >= bounds_.life[at(id.kind)] || sizes_[at(id.kind)] >= bounds_.together[at(id.kind)]) return;
    if (stream.whole()) findings_.copies_differed(id, word, {});
  } else {
    const Row& mine = it->second;
    const auto here = std::tie(mine.rank, mine.count, *mine.key);
    const auto told = std::tie(word.rank, word.count, word.key);
    if (here == told) return;
    const Word kept{word.number, *mine.key, mine.rank, mine.count, now - mine.written};
    if (here > told) return findings_.copies_differed(id, kept, word);
    findings_.copies_differed(id, word, kept);
    drop(id, stream, it);
  }
  if (const std::uint64_t older = number_of(id, word.key); older != 0)
    drop(id, stream, stream.rows.find(older));
  put(id, stream, word.key, word.number, {.rank = word.rank, .count = word.count, .written = now - word.age});
}

void Replica::heard_from(int router, const Summary& theirs, bool vouches,
                         const std::vector<std::uint64_t>& contested) {
  for (const auto& [id, point] : theirs) {
    if (id.writer == me_ && point.through > streams_.at(id).point.through) findings_.second_of_us(me_);
  }
  theirs_[router] = {theirs, vouches};
  const Stream& marks = streams_.at({Kind::mark, me_});
  for (const std::uint64_t number : contested) {
    if (marks.rows.contains(number)) contested_by_[number].insert(router);
  }
}

void Replica::forget(int router) {
  theirs_.erase(router);
  for (auto& [number, routers] : contested_by_) routers.erase(router);
}

int Replica::contesting(std::uint64_t number) const {
  const auto it = contested_by_.find(number);
  return it == contested_by_.end() ? 0 : static_cast<int>(it->second.size());
}

std::vector<std::uint64_t> Replica::contested_of(const Writer& writer, std::uint64_t after) const {
  const auto it = contested_.find({Kind::mark, writer});
  if (it == contested_.end()) return {};
  return {it->second.upper_bound(after), it->second.end()};
}

std::uint64_t Replica::held_through(Kind kind, int others) const {
  std::vector<std::uint64_t> through;
  for (const auto& [router, theirs] : theirs_) {
    const auto it = theirs.summary.find({kind, me_});
    if (theirs.vouches && router != me_.router && it != theirs.summary.end())
      through.push_back(it->second.through);
  }
  if (others <= 0) return streams_.at({kind, me_}).point.through;
  const auto place = static_cast<std::size_t>(others) - 1;
  if (place >= through.size()) return 0;
  std::ranges::nth_element(through, through.begin() + static_cast<std::ptrdiff_t>(place), std::greater<>{});
  return through[place];
}

int Replica::holders(Kind kind, std::uint64_t number) const {
  const StreamId mine{kind, me_};
  const auto contested = contested_by_.find(number);
  return static_cast<int>(std::ranges::count_if(theirs_, [&](const auto& item) {
    if (kind == Kind::mark && contested != contested_by_.end() && contested->second.contains(item.first))
      return false;
    const auto it = item.second.summary.find(mine);
    return item.second.vouches && it != item.second.summary.end() && it->second.through >= number;
  }));
}

void Replica::pass(Time now) {
  for (auto& [id, stream] : streams_) {
    const Time life = bounds_.life[at(id.kind)];
    while (!stream.rows.empty() && now - stream.rows.begin()->second.written >= life)
      end_through(id, stream, stream.rows.begin()->first);
  }
  std::erase_if(streams_, [&](const auto& item) {
    const auto& [id, stream] = item;
    return id.writer != me_ && stream.rows.empty() && now - stream.heard > bounds_.horizon;
  });
}

}  // namespace rushhill::replica
