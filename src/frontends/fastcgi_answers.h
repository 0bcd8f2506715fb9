// The answers of the FastCGI frontend as records, each complete with its request's end.
#pragma once

#include <string>

#include "fastcgi/records.h"
#include "frontends/cgi_response.h"
#include "routing/time.h"

namespace rushhill::frontends {

// The header line that tells a client when it may come back; `retry_after` in tenths of a millisecond, 0: no
// advice, and no line.
std::string retry_after_field(Time retry_after);

std::string response_records(fastcgi::Number number, const CgiResponse& response);
// For a request that the reader has refused.
std::string refusal_records(fastcgi::Number number, fastcgi::Refusal why);
// There is no room for the request.
std::string overloaded_records(fastcgi::Number number);
// The client has cancelled the request.
std::string cancelled_records(fastcgi::Number number);

}  // namespace rushhill::frontends
