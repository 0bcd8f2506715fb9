// What happened on a day, as its clients, model servers and service discovery recorded it.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "checker/day_rules.h"

namespace rushhill::checker {

// One attempt of a request, as the model server saw it.
struct Attempt {
  Ns at = 0;
  Ns ended = 0;
  std::string server;
  std::string end;    // how it ended
  std::string fault;  // injected; empty: none
  int router = 0;

  // Only a refusal that says so proves that it did not.
  bool may_have_run() const { return end != "never-ran"; }
};

// An order to load a copy of a function.
struct LoadOrder {
  Ns at = 0;
  std::string server;
  std::string function;
  int router = 0;
};

// A client's sending of a request to one router.
struct Submission {
  int router = 0;
  Ns sent = 0;
  std::string end;
};

// A request, as its client saw it.
struct Request {
  std::string id;
  std::string type;
  std::string outcome;
  Ns sent = 0;
  Ns ended = 0;
  Ns limit = 0;  // the client's, from its sending
  bool by_broker = false;
  std::vector<Submission> submissions;

  bool succeeded() const { return outcome == "honoured"; }
  // How many times it was sent to that router.
  std::int64_t submissions_to(int router) const;
};

// What one message to a router says of a model server. A router that is stopped meanwhile reads it at the
// earliest in the moment in which it goes on, and at the latest a transit later.
struct EndpointUpdate {
  Ns at = 0;
  bool leaving = false;  // draining or gone
  Ns earliest = at;
  Ns latest = at;
};

// One start of a model server.
struct Incarnation {
  Ns at = 0;
  bool cold = false;
  double cores = 1;
  double speed = 1;
};

// A model server that broke down under its load.
struct Overload {
  std::string server;
  Ns at = 0;
};

// From one moment to another.
struct Span {
  Ns from = 0;
  Ns to = 0;
};

// When requests that clients sent to one router can have been read there, in the order of time. A router that
// is stopped reads what is sent meanwhile when it goes on.
struct Arrivals {
  std::vector<Ns> earliest;
  std::vector<Ns> latest;

  // Those that can have been read within the span, both ends included.
  std::int64_t within(Span span) const;
};

// All records of a day, in the order of time where it matters.
struct History {
  std::vector<Request> requests;                         // in the order of the records
  std::vector<std::string> extras;                       // ids of requests whose answer was followed by more
  std::map<std::string, std::vector<Ns>> deliveries;     // by id: when the broker handed a message over
  std::map<std::string, std::vector<Attempt>> attempts;  // by id
  std::map<std::string, int> runs;                       // by id
  std::vector<LoadOrder> orders;
  std::map<std::pair<int, std::string>, std::vector<EndpointUpdate>> updates;  // by router and server
  std::map<std::string, std::vector<Incarnation>> incarnations;                // by server
  std::vector<Overload> overloads;
  std::map<int, Arrivals> arrivals;                   // by router
  std::map<int, std::vector<Span>> unavailabilities;  // by router: stopped, killed or starting
  std::map<int, std::vector<Span>> stalls;            // by router: stopped
  std::int64_t repeated_answers = 0;
  std::int64_t router_kills = 0;
  std::int64_t router_stalls = 0;

  const std::vector<Attempt>& attempts_of(const std::string& id) const;

  // Whether a router was stopped, killed or starting at some moment of the span.
  bool unavailable(int router, Span span) const;
};

// Throws nlohmann::json::exception where something is missing or of another type.
History read_history(const std::vector<nlohmann::json>& records);

}  // namespace rushhill::checker
