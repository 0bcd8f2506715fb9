// Answers of the HTTP frontend that carry no reply: problem details (RFC 9457), with what a client must know
// before it repeats its request.
#pragma once

#include <string>

#include "events/cloudevent.h"
#include "routing/time.h"
#include "transport/http.h"

namespace rushhill::frontends {

// What a problem says.
struct Problem {
  int status = 500;                // of HTTP
  const char* outcome = "";        // as it stands in the body
  bool harmless_to_repeat = true;  // the request had no effect
  std::string detail{};            // for people
};

transport::HttpResponse to_response(const Problem& problem);
// The same, telling when the client may come back; `retry_after` in tenths of a millisecond, 0: no advice.
// Its header counts whole seconds, the body tells the exact time.
transport::HttpResponse to_response(const Problem& problem, Time retry_after);
// For an event that breaks the specification: names the attribute.
transport::HttpResponse malformed(const events::BadEvent& bad);

}  // namespace rushhill::frontends
