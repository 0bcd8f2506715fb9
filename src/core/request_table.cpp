#include "core/request_table.h"

#include <algorithm>

namespace rushhill::core {
namespace {

// Bytes beside the message: the entries of the request in the tables of the core, the routing policy, the
// frontend and the connection pool, its timers, and the names that it is known by.
constexpr std::size_t request_overhead = 2 * 1024;
constexpr std::uint64_t first_id_limit = 1ULL << 51U;  // the first id is at most this

// The finalizer of SplitMix64; it makes similar seeds give first ids that are far apart.
std::uint64_t mix_bits(std::uint64_t value) {
  value = (value ^ value >> 30U) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ value >> 27U) * 0x94d049bb133111ebULL;
  return value ^ value >> 31U;
}

}  // namespace

std::size_t memory_of(const events::CloudEvent& message) {
  std::size_t bytes = request_overhead + message.data.capacity();
  for (const auto& [name, value] : message.others) bytes += name.size() + value.size();
  return bytes;
}

RequestTable::RequestTable(TimerService& clock, std::uint64_t seed)
    : clock_(clock), next_id_(static_cast<RequestId>(mix_bits(seed) % first_id_limit) + 1) {}

RequestTable::~RequestTable() {
  for (auto& [id, request] : requests_) {
    clock_.cancel(request.deadline_timer);
    for (Attempt& attempt : request.attempts) clock_.cancel(attempt.timeout_timer);
  }
}

RequestTable::Added RequestTable::add() {
  const RequestId id = next_id_++;
  return {id, requests_[id]};
}

Request* RequestTable::find(RequestId id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

Attempt* RequestTable::find_attempt(const AttemptId& id) {
  Request* request = find(id.request);
  const auto number = static_cast<std::size_t>(id.number);
  if (request == nullptr || number >= request->attempts.size()) return nullptr;
  return &request->attempts[number];
}

void RequestTable::erase_if_finished(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  Request& request = it->second;
  if (!request.concluded || request.deferred_calls > 0) return;
  if (std::ranges::any_of(request.attempts, &Attempt::open)) return;
  clock_.cancel(request.deadline_timer);
  requests_.erase(it);
}

bool RequestTable::any_client_waits() const {
  return std::ranges::any_of(requests_, [](const auto& item) { return item.second.client != nullptr; });
}

std::vector<RequestId> RequestTable::unconcluded_requests() const {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : requests_) {
    if (!request.concluded) ids.push_back(id);
  }
  std::ranges::sort(ids);
  return ids;
}

}  // namespace rushhill::core
