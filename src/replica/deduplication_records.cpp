#include "replica/deduplication_records.h"

#include <xxhash.h>

#include <algorithm>

namespace rushhill::replica {
namespace {

constexpr std::size_t hash_digits = 32;  // of a 128-bit hash, so that long keys do not collide

}  // namespace

// A source is a URI and contains no line break, so two different pairs never give the same joined text.
std::string deduplication_key(std::string_view source, std::string_view id) {
  std::string key = std::string(source) + "\n" + std::string(id);
  if (key.size() <= max_key_bytes) return key;
  const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
  key.resize(max_key_bytes - hash_digits);
  for (const std::uint64_t half : {hash.high64, hash.low64}) {
    for (int shift = 60; shift >= 0; shift -= 4) key += "0123456789abcdef"[half >> shift & 0xfU];
  }
  return key;
}

Taking DeduplicationRecords::take(Time now, std::int64_t request, const std::string& key,
                                  DeduplicationLevel level, Time deadline) {
  if (level == DeduplicationLevel::none) return Taking::go;
  if (replica_.stage(key) >= Stage::admitted) return Taking::known;
  const std::uint64_t number = replica_.admit_request(now, key);
  if (number == 0) return Taking::full;
  if (level == DeduplicationLevel::announced || required_holders_ <= 0) return Taking::go;
  // A replica with the fault that tests can plant may admit the same request again under the same number.
  if (!pending_.emplace(number, Pending{request, deadline}).second) return Taking::known;
  deadlines_.emplace(deadline, number);
  return Taking::wait;
}

void DeduplicationRecords::heard() {
  const std::uint64_t replicated_through =
      replica_.replicated_through(Kind::deduplication, required_holders_);
  std::vector<std::uint64_t> decidable;
  for (auto it = pending_.begin(); it != pending_.end() && it->first <= replicated_through; ++it)
    decidable.push_back(it->first);
  for (const auto& [number, routers] : replica_.contested_by_peers()) {
    if (number > replicated_through && pending_.contains(number)) decidable.push_back(number);
  }
  for (const std::uint64_t number : decidable) decide(number);
}

// A peer at which the record is contested does not count as a holder. If too few other peers are left, the
// request cannot be admitted any more.
void DeduplicationRecords::decide(std::uint64_t number) {
  const auto it = pending_.find(number);
  if (it == pending_.end()) return;
  const int contesting_peers = replica_.contesting_peer_count(number);
  const bool replicated = replica_.holder_count(Kind::deduplication, number) >= required_holders_;
  if (!replicated && routers_ - 1 - contesting_peers >= required_holders_) return;
  const Pending pending = it->second;
  pending_.erase(it);
  const auto [from, to] = deadlines_.equal_range(pending.deadline);
  deadlines_.erase(std::find_if(from, to, [&](const auto& item) { return item.second == number; }));
  if (replicated) {
    observer_.on_admitted(pending.request);
  } else {
    observer_.on_duplicate(pending.request);
  }
}

void DeduplicationRecords::pass(Time now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const std::uint64_t number = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    const auto it = pending_.find(number);
    const std::int64_t request = it->second.request;
    pending_.erase(it);
    if (replica_.contesting_peer_count(number) > 0) {
      observer_.on_duplicate(request);
    } else {
      observer_.on_replication_timeout(request);
    }
  }
}

}  // namespace rushhill::replica
