// What a client's connection is doing, and how soon it may be closed to make room for another.
#pragma once

#include <cstdint>
#include <optional>

#include "routing/time.h"

namespace rushhill::frontends {

// What a connection without an open request is held for. In a full frontend the first of these is evicted
// first, and of equal ones the one that has been so for longest.
enum class HeldFor : std::uint8_t {
  silent_client,    // it has connected, has not sent anything, and its grace is over
  idle,             // every request so far has been answered
  partial_request,  // a part of a request has come, and its grace is over
  grace_period,     // connected, or has begun its request, just now
  unread_answer     // its client has not read the whole answer yet
};

// An evictable connection's place in the order of eviction.
struct EvictionRank {
  HeldFor held_for = HeldFor::idle;
  Time since = 0;  // tenths of a millisecond
};

// A connection as its frontend sees it. Times in tenths of a millisecond.
struct ConnectionActivity {
  bool request_open = false;            // a complete request awaits its answer
  bool answer_unread = false;           // bytes of an answer wait for the client to read
  bool request_seen = false;            // at least one complete request has come
  Time since = 0;                       // of the last change, such as an answer written
  std::optional<Time> partial_since{};  // when a request began that is not complete
};

// How long a client has for its first request, or for the rest of one, before it may be evicted for it.
constexpr Time request_grace = 500;  // tenths of a millisecond

// The connection's place in the order of eviction; nothing: it must stay, since an answer is owed.
std::optional<EvictionRank> eviction_rank(const ConnectionActivity& activity, Time now);

}  // namespace rushhill::frontends
