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

// Only in builds with tests: a planted fault that makes a replica ignore the admissions of requests, so that
// a simulation shows whether the fault would be detected.
#ifdef RUSHHILL_PLANTING
const bool planted_fault = std::getenv("RUSHHILL_PLANT_FORGETFUL") != nullptr;
#else
constexpr bool planted_fault = false;
#endif

}  // namespace

Replica::Replica(Writer writer, const Bounds& bounds, ReplicaObserver& observer)
    : writer_(writer), bounds_(bounds), observer_(observer) {
  for (std::size_t kind = 0; kind < kinds; ++kind) {
    if (bounds_.life[kind] <= 0 || bounds_.own[kind] == 0 || bounds_.together[kind] < bounds_.own[kind])
      throw std::invalid_argument(
          "each record kind needs a lifetime and limits above 0, and a limit for all routers that is not "
          "below its limit for one");
    if (bounds_.horizon <= bounds_.life[kind])
      throw std::invalid_argument(
          "the retention of empty streams must exceed the lifetime of every record kind");
  }
  if (bounds_.streams < kinds)
    throw std::invalid_argument("the limit of streams is below the number of record kinds");
  for (int kind = 0; kind < kinds; ++kind) streams_[{static_cast<Kind>(kind), writer_}];
}

std::uint64_t Replica::find_number(const StreamId& id, const std::string& key) const {
  const auto it = index_[at(id.kind)].find(key);
  if (it == index_[at(id.kind)].end()) return 0;
  const auto location = std::ranges::find(it->second, id, &RecordLocation::stream);
  return location == it->second.end() ? 0 : location->number;
}

void Replica::insert_record(const StreamId& id, Stream& stream, const std::string& key, std::uint64_t number,
                            StoredRecord record) {
  stream.version.digest ^= digest_of(number, key, record.rank, record.count);
  const auto it = index_[at(id.kind)].try_emplace(key).first;
  record.key = &it->first;
  if (id.kind == Kind::deduplication) note_contested(id, it->second, number, record);
  it->second.push_back({id, number});
  stream.records.insert_or_assign(number, record);
  ++record_counts_[at(id.kind)];
}

void Replica::note_contested(const StreamId& id, const std::vector<RecordLocation>& same_key,
                             std::uint64_t number, const StoredRecord& record) {
  if (stage_of(record.rank) < Stage::admitted || planted_fault) return;
  for (const RecordLocation& other : same_key) {
    const Stage other_stage = stage_of(streams_.at(other.stream).records.at(other.number).rank);
    if (other_stage < Stage::admitted) continue;
    contested_records_[id].insert(number);
    if (!recovered_) contested_records_[other.stream].insert(other.number);
    if (other_stage == Stage::executed && stage_of(record.rank) == Stage::executed)
      observer_.on_executed_twice(*record.key, id.writer, other.stream.writer);
  }
}

void Replica::erase_record(const StreamId& id, Stream& stream,
                           std::map<std::uint64_t, StoredRecord>::iterator record) {
  if (id == StreamId{Kind::deduplication, writer_}) contested_by_peers_.erase(record->first);
  if (const auto it = contested_records_.find(id); it != contested_records_.end()) {
    it->second.erase(record->first);
    if (it->second.empty()) contested_records_.erase(it);
  }
  stream.version.digest ^=
      digest_of(record->first, *record->second.key, record->second.rank, record->second.count);
  Index& index = index_[at(id.kind)];
  const auto it = index.find(*record->second.key);
  std::erase_if(it->second, [&](const RecordLocation& location) { return location.stream == id; });
  if (it->second.empty()) index.erase(it);
  stream.records.erase(record);
  --record_counts_[at(id.kind)];
}

void Replica::expire_through(const StreamId& id, Stream& stream, std::uint64_t number) {
  while (!stream.records.empty() && stream.records.begin()->first <= number)
    erase_record(id, stream, stream.records.begin());
  stream.version.expired_through = std::max(stream.version.expired_through, number);
  stream.version.known_through = std::max(stream.version.known_through, number);
}

std::uint64_t Replica::write(Time now, Kind kind, const std::string& key, std::uint32_t rank,
                             std::uint64_t count) {
  const StreamId id{kind, writer_};
  Stream& stream = streams_.at(id);
  StoredRecord record{.rank = rank, .count = count, .written = now};
  if (const std::uint64_t known = find_number(id, key); known != 0) {
    const auto old = stream.records.find(known);
    if (rank <= old->second.rank && count <= old->second.count) return old->first;
    record.rank = std::max(rank, old->second.rank);
    record.count = std::max(count, old->second.count);
    erase_record(id, stream, old);
  } else {
    const auto has_room = [&] {
      return stream.records.size() < bounds_.own[at(kind)] &&
             record_counts_[at(kind)] < bounds_.together[at(kind)];
    };
    if (!has_room()) expire_records(now);
    if (!has_room() && kind == Kind::hint && !stream.records.empty())
      expire_through(id, stream, stream.records.begin()->first);
    if (!has_room() || key.size() > max_key_bytes) return observer_.full(kind), 0;
  }
  const std::uint64_t number = ++stream.version.known_through;
  insert_record(id, stream, key, number, record);
  return number;
}

template <typename Visit>
void Replica::for_each_record(Kind kind, const std::string& key, Visit visit) const {
  const auto it = index_[at(kind)].find(key);
  if (it == index_[at(kind)].end()) return;
  for (const RecordLocation& location : it->second)
    visit(streams_.at(location.stream).records.at(location.number));
}

std::uint32_t Replica::highest_rank(Kind kind, const std::string& key) const {
  std::uint32_t highest = 0;
  for_each_record(kind, key, [&](const StoredRecord& record) { highest = std::max(highest, record.rank); });
  return highest;
}

std::uint64_t Replica::total_count(Kind kind, const std::string& key) const {
  std::uint64_t total = 0;
  for_each_record(kind, key, [&](const StoredRecord& record) { total += record.count; });
  return total;
}

Stage Replica::stage(const std::string& request) const {
  Stage highest = Stage::none;
  if (planted_fault) return highest;
  for_each_record(Kind::deduplication, request,
                  [&](const StoredRecord& record) { highest = std::max(highest, stage_of(record.rank)); });
  return highest;
}

std::uint64_t Replica::admit_request(Time now, const std::string& request) {
  return finish_request(now, request, Stage::admitted);
}

std::uint64_t Replica::finish_request(Time now, const std::string& request, Stage stage) {
  const StreamId id{Kind::deduplication, writer_};
  const std::uint64_t known = find_number(id, request);
  const std::uint32_t rank = known == 0 ? 0 : streams_.at(id).records.at(known).rank;
  std::uint32_t admissions = rank / ranks_per_admission;
  if (stage == Stage::not_executed && stage_of(rank) > Stage::not_executed) ++admissions;
  return write(now, Kind::deduplication, request,
               admissions * ranks_per_admission + static_cast<std::uint32_t>(stage));
}

std::uint64_t Replica::count_of_earlier_incarnations(Kind kind) const {
  std::uint64_t total = 0;
  for (const auto& [id, stream] : streams_) {
    if (id.kind != kind || id.writer.router != writer_.router || id.writer == writer_) continue;
    for (const auto& [number, record] : stream.records) total += record.count;
  }
  return total;
}

VersionVector Replica::versions() const {
  VersionVector result;
  for (const auto& [id, stream] : streams_) {
    if (stream.version.known_through == 0) continue;
    StreamVersion version = stream.version;
    version.complete = stream.complete();
    result.emplace(id, version);
  }
  return result;
}

DeltaBatch Replica::deltas_for(Time now, const VersionVector& peer_versions, std::size_t max_records) {
  DeltaBatch batch;
  for (const auto& [id, stream] : streams_) {
    const StreamVersion& own = stream.version;
    const auto entry = peer_versions.find(id);
    const StreamVersion peer_version = entry == peer_versions.end() ? StreamVersion{} : entry->second;
    Piece delta{.stream = id,
                .after = peer_version.known_through,
                .expired_through = own.expired_through,
                .through = own.known_through,
                .of = std::max(own.known_through, stream.complete_from),
                .words = {}};
    const bool same = peer_version.known_through == own.known_through &&
                      peer_version.expired_through == own.expired_through;
    if (same && peer_version.complete && stream.complete() && peer_version.digest != own.digest) {
      // The digest does not tell which record differs, so all are sent again.
      std::uint64_t& from = resent_through_[id];
      if (from >= own.known_through || from < own.expired_through) from = own.expired_through;
      delta.after = from;
    } else if (peer_version.known_through >= own.known_through &&
               peer_version.expired_through >= own.expired_through) {
      resent_through_.erase(id);
      continue;
    } else if (entry == peer_versions.end() && stream.records.empty()) {
      continue;
    }
    for (auto it = stream.records.upper_bound(delta.after); it != stream.records.end(); ++it) {
      if (max_records == 0) {
        delta.through = delta.words.empty() ? delta.after : delta.words.back().number;
        break;
      }
      --max_records;
      const StoredRecord& record = it->second;
      delta.words.push_back(
          {it->first, *record.key, record.rank, record.count, std::max<Time>(now - record.written, 0)});
    }
    if (const auto it = resent_through_.find(id); it != resent_through_.end()) it->second = delta.through;
    if (delta.through > delta.after || delta.expired_through > peer_version.expired_through)
      batch.push_back(std::move(delta));
  }
  return batch;
}

std::uint64_t Replica::known_through(const StreamId& stream) const {
  const auto it = streams_.find(stream);
  return it == streams_.end() ? 0 : it->second.version.known_through;
}

std::uint64_t Replica::missing_records(const VersionVector& peer_versions) const {
  std::uint64_t missing = 0;
  for (const auto& [id, version] : peer_versions) {
    const auto it = streams_.find(id);
    const std::uint64_t known = it == streams_.end() ? 0 : it->second.version.known_through;
    const std::uint64_t from = std::max(known, version.expired_through);
    missing += version.known_through > from ? version.known_through - from : 0;
  }
  return missing;
}

void Replica::apply(Time now, const DeltaBatch& batch) {
  for (const Piece& delta : batch) {
    const StreamId& id = delta.stream;
    if (id.writer == writer_) {
      if (delta.through > streams_.at(id).version.known_through) observer_.on_duplicate_writer(writer_);
      continue;
    }
    if (!streams_.contains(id) && streams_.size() >= bounds_.streams) {
      expire_records(now);
      if (streams_.size() >= bounds_.streams) {
        observer_.full(id.kind);
        continue;
      }
    }
    Stream& stream = streams_[id];
    stream.last_received = now;
    if (delta.after > stream.version.known_through || delta.expired_through > delta.through) continue;
    stream.complete_from = std::max(stream.complete_from, delta.of);
    expire_through(id, stream, delta.expired_through);
    const bool all_applied = std::ranges::all_of(delta.words, [&](const Word& record) {
      return record.number <= delta.through && apply_record(now, id, stream, record);
    });
    if (all_applied) stream.version.known_through = std::max(stream.version.known_through, delta.through);
  }
}

bool Replica::apply_record(Time now, const StreamId& id, Stream& stream, const Word& received) {
  if (received.number == 0 || received.key.size() > max_key_bytes || received.age < 0) return false;
  if (received.number <= stream.version.expired_through) return true;
  if (received.number <= stream.version.known_through)
    return resolve_conflict(now, id, stream, received), true;
  if (received.age >= bounds_.life[at(id.kind)]) {
    expire_through(id, stream, received.number);
    return true;
  }
  if (const std::uint64_t known = find_number(id, received.key); known != 0) {
    erase_record(id, stream, stream.records.find(known));
  } else if (record_counts_[at(id.kind)] >= bounds_.together[at(id.kind)]) {
    if (id.kind != Kind::hint || stream.records.empty()) return observer_.full(id.kind), false;
    expire_through(id, stream, stream.records.begin()->first);
  }
  insert_record(id, stream, received.key, received.number,
                {.rank = received.rank, .count = received.count, .written = now - received.age});
  stream.version.known_through = received.number;
  return true;
}

void Replica::resolve_conflict(Time now, const StreamId& id, Stream& stream, const Word& received) {
  const std::uint64_t same_key = find_number(id, received.key);
  if (same_key > received.number) return;
  const auto it = stream.records.find(received.number);
  if (it == stream.records.end()) {
    if (received.age >= bounds_.life[at(id.kind)] ||
        record_counts_[at(id.kind)] >= bounds_.together[at(id.kind)])
      return;
    if (stream.complete()) observer_.on_divergence(id, received, {});
  } else {
    const StoredRecord& stored = it->second;
    const auto stored_fields = std::tie(stored.rank, stored.count, *stored.key);
    const auto received_fields = std::tie(received.rank, received.count, received.key);
    if (stored_fields == received_fields) return;
    const Word own{received.number, *stored.key, stored.rank, stored.count, now - stored.written};
    if (stored_fields > received_fields) return observer_.on_divergence(id, own, received);
    observer_.on_divergence(id, received, own);
    erase_record(id, stream, it);
  }
  if (const std::uint64_t older = find_number(id, received.key); older != 0)
    erase_record(id, stream, stream.records.find(older));
  insert_record(id, stream, received.key, received.number,
                {.rank = received.rank, .count = received.count, .written = now - received.age});
}

void Replica::set_peer_versions(int router, const VersionVector& versions, bool recovered,
                                const std::vector<std::uint64_t>& contested) {
  for (const auto& [id, version] : versions) {
    if (id.writer == writer_ && version.known_through > streams_.at(id).version.known_through)
      observer_.on_duplicate_writer(writer_);
  }
  peers_[router] = {versions, recovered};
  const Stream& own_stream = streams_.at({Kind::deduplication, writer_});
  for (const std::uint64_t number : contested) {
    if (own_stream.records.contains(number)) contested_by_peers_[number].insert(router);
  }
}

void Replica::forget_peer(int router) {
  peers_.erase(router);
  for (auto& [number, routers] : contested_by_peers_) routers.erase(router);
}

int Replica::contesting_peer_count(std::uint64_t number) const {
  const auto it = contested_by_peers_.find(number);
  return it == contested_by_peers_.end() ? 0 : static_cast<int>(it->second.size());
}

std::vector<std::uint64_t> Replica::contested_records(const Writer& writer, std::uint64_t after) const {
  const auto it = contested_records_.find({Kind::deduplication, writer});
  if (it == contested_records_.end()) return {};
  return {it->second.upper_bound(after), it->second.end()};
}

std::uint64_t Replica::replicated_through(Kind kind, int required_holders) const {
  std::vector<std::uint64_t> through;
  for (const auto& [router, peer] : peers_) {
    const auto it = peer.versions.find({kind, writer_});
    if (peer.recovered && router != writer_.router && it != peer.versions.end())
      through.push_back(it->second.known_through);
  }
  if (required_holders <= 0) return streams_.at({kind, writer_}).version.known_through;
  const auto position = static_cast<std::size_t>(required_holders) - 1;
  if (position >= through.size()) return 0;
  std::ranges::nth_element(through, through.begin() + static_cast<std::ptrdiff_t>(position),
                           std::greater<>{});
  return through[position];
}

int Replica::holder_count(Kind kind, std::uint64_t number) const {
  const StreamId own_stream{kind, writer_};
  const auto contested = contested_by_peers_.find(number);
  return static_cast<int>(std::ranges::count_if(peers_, [&](const auto& item) {
    if (kind == Kind::deduplication && contested != contested_by_peers_.end() &&
        contested->second.contains(item.first))
      return false;
    const auto it = item.second.versions.find(own_stream);
    return item.second.recovered && it != item.second.versions.end() && it->second.known_through >= number;
  }));
}

void Replica::expire_records(Time now) {
  for (auto& [id, stream] : streams_) {
    const Time lifetime = bounds_.life[at(id.kind)];
    while (!stream.records.empty() && now - stream.records.begin()->second.written >= lifetime)
      expire_through(id, stream, stream.records.begin()->first);
  }
  std::erase_if(streams_, [&](const auto& item) {
    const auto& [id, stream] = item;
    return id.writer != writer_ && stream.records.empty() && now - stream.last_received > bounds_.horizon;
  });
}

}  // namespace rushhill::replica
