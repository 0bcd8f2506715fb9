// Reads the platform's FastCGI parameters as a request for the gateway. docs/platform.md describes them.
#pragma once

#include <string>
#include <variant>

#include "events/cloudevent.h"
#include "fastcgi/records.h"
#include "routing/configuration.h"

namespace rushhill::frontends {

// A request as the gateway takes it; `routing.time_left` is what the client allows, less the answer's way.
struct GatewayRequest {
  RoutingRequest routing{};
  events::CloudEvent message{};
};

// Why a request cannot be taken.
struct RequestError {
  int status = 400;      // of HTTP
  std::string reason{};  // the answer's body
};

// Checks one parameter after the other; the first that is wrong is the error.
std::variant<GatewayRequest, RequestError> read_request(const RoutingConfiguration& configuration,
                                                        fastcgi::Request request);

}  // namespace rushhill::frontends
