#include "routing/request_tracker.h"

#include <ranges>

namespace rushhill::routing {

void Attempt::end(AttemptOutcome outcome) {
  open = false;
  may_have_run = outcome != AttemptOutcome::overloaded && outcome != AttemptOutcome::connect_failed &&
                 outcome != AttemptOutcome::not_sent && outcome != AttemptOutcome::function_missing;
  function_missing = outcome == AttemptOutcome::function_missing;
}

const Attempt* TrackedRequest::search_newest_attempt_at(const EndpointId& endpoint) const {
  const auto newest_first = std::views::reverse(attempts);
  const auto it = std::ranges::find(newest_first, endpoint, &Attempt::endpoint);
  return it == newest_first.end() ? nullptr : &*it;
}

Attempt* TrackedRequest::find_open_attempt(int attempt_number) {
  const auto index = static_cast<std::size_t>(attempt_number);
  if (index >= attempts.size() || !attempts[index].open) return nullptr;
  return &attempts[index];
}

TrackedRequest& RequestTracker::add(const RoutingRequest& request) {
  TrackedRequest& tracked = requests_[request.id];
  tracked.request = request;
  return tracked;
}

TrackedRequest* RequestTracker::find(RequestId id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

void RequestTracker::add_waiting(TrackedRequest& tracked) {
  tracked.waiting = true;
  waiting_.insert(tracked.request.id);
}

void RequestTracker::finish(TrackedRequest& tracked) {
  tracked.done = true;
  waiting_.erase(tracked.request.id);
}

void RequestTracker::erase_finished() {
  std::erase_if(requests_,
                [](const auto& item) { return item.second.done && !item.second.has_open_attempt(); });
}

}  // namespace rushhill::routing
