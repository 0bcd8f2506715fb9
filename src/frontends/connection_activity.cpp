#include "frontends/connection_activity.h"

namespace rushhill::frontends {

std::optional<EvictionRank> eviction_rank(const ConnectionActivity& activity, Time now) {
  if (activity.request_open) return std::nullopt;
  if (activity.answer_unread) return EvictionRank{HeldFor::unread_answer, activity.since};
  const bool partial = activity.partial_since.has_value();
  if (activity.request_seen && !partial) return EvictionRank{HeldFor::idle, activity.since};
  const Time since = activity.partial_since.value_or(activity.since);
  if (now - since < request_grace) return EvictionRank{HeldFor::grace_period, since};
  return EvictionRank{partial ? HeldFor::partial_request : HeldFor::silent_client, since};
}

}  // namespace rushhill::frontends
