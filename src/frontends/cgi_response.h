// Answers in the form of a CGI response (RFC 3875), as they stand in FastCGI's output stream.
#pragma once

#include <string>
#include <string_view>

namespace rushhill::frontends {

// A CGI response; the texts must outlive it.
struct CgiResponse {
  int status = 200;
  std::string_view reason_phrase = "OK";
  std::string_view extra_fields{};  // header lines, each with its line end
  std::string_view content_type = "application/octet-stream";
  std::string_view body{};
};

std::string to_bytes(const CgiResponse& response);

}  // namespace rushhill::frontends
