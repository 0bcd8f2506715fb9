#include "frontends/cgi_response.h"

namespace rushhill::frontends {

std::string to_bytes(const CgiResponse& response) {
  std::string bytes = "Status: " + std::to_string(response.status);
  bytes.append(" ").append(response.reason_phrase).append("\r\n");
  bytes.append(response.extra_fields);
  bytes.append("Content-Type: ").append(response.content_type);
  bytes.append("\r\nContent-Length: ").append(std::to_string(response.body.size()));
  bytes.append("\r\n\r\n").append(response.body);
  return bytes;
}

}  // namespace rushhill::frontends
