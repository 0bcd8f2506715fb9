#include "frontends/fastcgi_answers.h"

#include "frontends/time_units.h"

namespace rushhill::frontends {
namespace {

using fastcgi::Ended;
using fastcgi::Number;
using fastcgi::Refusal;

constexpr std::uint32_t cancelled_status = 1;  // of the application, where no answer comes

}  // namespace

std::string retry_after_field(Time retry_after) {
  if (retry_after <= 0) return {};
  return "X-Wait-Ms: " + std::to_string(whole_ms(retry_after)) + "\r\n";
}

std::string response_records(Number number, const CgiResponse& response) {
  return fastcgi::answer(number, to_bytes(response));
}

std::string refusal_records(Number number, Refusal why) {
  switch (why) {
    case Refusal::unknown_role:
      return fastcgi::end_request(number, Ended::unknown_role, 0);
    case Refusal::too_many:
    case Refusal::no_memory:
      break;
    case Refusal::params_too_large:
      return response_records(
          number,
          {.status = 431, .reason_phrase = "Request Header Fields Too Large", .body = "too many parameters"});
    case Refusal::params_unreadable:
      return response_records(
          number, {.status = 400, .reason_phrase = "Bad Request", .body = "parameters cannot be read"});
    case Refusal::body_too_large:
      return response_records(
          number,
          {.status = 413, .reason_phrase = "Content Too Large", .body = "a body holds 16 KiB at most"});
  }
  return overloaded_records(number);
}

std::string overloaded_records(Number number) { return fastcgi::end_request(number, Ended::overloaded, 0); }

std::string cancelled_records(Number number) {
  return fastcgi::end_request(number, Ended::complete, cancelled_status);
}

}  // namespace rushhill::frontends
