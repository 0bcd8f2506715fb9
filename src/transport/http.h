// HTTP/1.1 messages on bytes alone, read and written by Boost.Beast, which is seen by http.cpp only.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "events/cloudevent.h"

namespace rushhill::transport {

using events::Headers;

struct HttpRequest {
  std::string method{};
  std::string target{};
  Headers headers{};  // names in lower case
  std::string body{};
  bool keep_alive = true;
  const std::string* header(std::string_view name) const;
};

struct HttpResponse {
  int status = 200;
  Headers headers{};
  std::string body{};
  bool keep_alive = true;
  const std::string* header(std::string_view name) const;
};

struct HttpBounds {
  std::uint32_t head = 16 * 1024;    // bytes of the first line and the header fields
  std::uint64_t body = 1024 * 1024;  // bytes
};

enum class HttpProgress : std::uint8_t { more, done, bad, head_too_large, body_too_large };

// Reads one message after another from a growing buffer, taking off its front what it has used.
class HttpRequestReader {
 public:
  explicit HttpRequestReader(HttpBounds bounds);
  ~HttpRequestReader();
  HttpProgress put(std::string& buffer);
  bool wants_continue() const;  // the head asks for 100 Continue and none of the body has come
  bool head_done() const;
  HttpRequest take();  // after done; ready for the next
 private:
  struct Parser;
  HttpBounds bounds_;
  std::unique_ptr<Parser> parser_;
};

class HttpResponseReader {
 public:
  explicit HttpResponseReader(HttpBounds bounds);
  ~HttpResponseReader();
  HttpProgress put(std::string& buffer);
  HttpProgress end();  // the stream has ended: done where that ends the body
  HttpResponse take();

 private:
  struct Parser;
  HttpBounds bounds_;
  std::unique_ptr<Parser> parser_;
};

std::string to_bytes(const HttpRequest& request);
std::string to_bytes(const HttpResponse& response);
std::string_view reason_of(int status);

}  // namespace rushhill::transport
