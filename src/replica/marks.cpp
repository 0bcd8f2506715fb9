#include "replica/marks.h"

#include <xxhash.h>

#include <algorithm>

namespace rushhill::replica {
namespace {

constexpr std::size_t hash_digits = 32;  // of 128 bits; two long names never meet by chance

}  // namespace

// A source is a URI and has no line break, so that no two pairs make one key.
std::string mark_of(std::string_view source, std::string_view id) {
  std::string key = std::string(source) + "\n" + std::string(id);
  if (key.size() <= longest_key) return key;
  const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
  key.resize(longest_key - hash_digits);
  for (const std::uint64_t half : {hash.high64, hash.low64}) {
    for (int shift = 60; shift >= 0; shift -= 4) key += "0123456789abcdef"[half >> shift & 0xfU];
  }
  return key;
}

Taking Marks::take(Time now, std::int64_t event, const std::string& mark, MarkLevel level, Time by) {
  if (level == MarkLevel::none) return Taking::go;
  if (copy_.stage(mark) >= Stage::taken) return Taking::known;
  const std::uint64_t number = copy_.take_event(now, mark);
  if (number == 0) return Taking::full;
  if (level == MarkLevel::announced || others_ <= 0) return Taking::go;
  // A copy that forgets (the tests' build has one) may take the same again under the same number.
  if (!waiting_.emplace(number, Waiting{event, by}).second) return Taking::known;
  by_.emplace(by, number);
  return Taking::wait;
}

void Marks::heard() {
  const std::uint64_t held = copy_.held_through(Kind::mark, others_);
  std::vector<std::uint64_t> ripe;
  for (auto it = waiting_.begin(); it != waiting_.end() && it->first <= held; ++it) ripe.push_back(it->first);
  for (const auto& [number, routers] : copy_.contested()) {
    if (number > held && waiting_.contains(number)) ripe.push_back(number);
  }
  for (const std::uint64_t number : ripe) decide(number);
}

// A holder that had another's mark first does not count; where too few others are left, there is no way on.
void Marks::decide(std::uint64_t number) {
  const auto it = waiting_.find(number);
  if (it == waiting_.end()) return;
  const int contesting = copy_.contesting(number);
  const bool goes = copy_.holders(Kind::mark, number) >= others_;
  if (!goes && routers_ - 1 - contesting >= others_) return;
  const Waiting waiting = it->second;
  waiting_.erase(it);
  const auto [from, to] = by_.equal_range(waiting.by);
  by_.erase(std::find_if(from, to, [&](const auto& item) { return item.second == number; }));
  if (goes) {
    taker_.may_go(waiting.event);
  } else {
    taker_.taken_elsewhere(waiting.event);
  }
}

void Marks::pass(Time now) {
  while (!by_.empty() && by_.begin()->first <= now) {
    const std::uint64_t number = by_.begin()->second;
    by_.erase(by_.begin());
    const auto it = waiting_.find(number);
    const std::int64_t event = it->second.event;
    waiting_.erase(it);
    if (copy_.contesting(number) > 0) {
      taker_.taken_elsewhere(event);
    } else {
      taker_.not_held(event);
    }
  }
}

}  // namespace rushhill::replica
