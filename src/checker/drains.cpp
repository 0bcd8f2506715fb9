// Rule 3: a server that leaves gets nothing more once its grace is over.
#include <string>

#include "checker/rules.h"

namespace rushhill::checker {
namespace {

constexpr Ns not_leaving = -1;

// What a router sent to a server, a request or an order.
struct Contact {
  int router;
  const std::string& server;
  Ns at;
  std::string what;
};

// Since when the server is leaving by the router's messages before that moment. Against a router counts only
// what it must have read: a departure from when it has read it at the latest, until it can have read at the
// earliest that the server is back.
Ns leaving_since(const Contact& contact, const History& history) {
  const auto updates = history.updates.find({contact.router, contact.server});
  if (updates == history.updates.end()) return not_leaving;
  Ns since = not_leaving;
  for (const EndpointUpdate& update : updates->second) {
    if (!update.leaving && update.earliest <= contact.at) since = not_leaving;
    if (update.leaving && since < 0 && update.latest <= contact.at) since = update.latest;
  }
  return since;
}

void check_contact(const Contact& contact, const Day& day, Finding& rule) {
  const Ns since = leaving_since(contact, day.history);
  rule.check(since < 0 || contact.at <= since + day.rules.drain_grace + transit,
             contact.what + " reached " + contact.server + " " +
                 std::to_string((contact.at - since) / millisecond) + " ms after router " +
                 std::to_string(contact.router) + " was told that it goes");
}

}  // namespace

void check_drains(const Day& day, Verdict& verdict) {
  Finding& rule = verdict.rules["3 drains kept"];
  for (const auto& [id, attempts] : day.history.attempts) {
    for (const Attempt& attempt : attempts)
      check_contact({.router = attempt.router, .server = attempt.server, .at = attempt.at, .what = id}, day,
                    rule);
  }
  for (const LoadOrder& order : day.history.orders)
    check_contact({.router = order.router,
                   .server = order.server,
                   .at = order.at,
                   .what = "an order for " + order.function},
                  day, rule);
}

}  // namespace rushhill::checker
