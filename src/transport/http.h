// HTTP/1.1 messages on bytes alone, read and written by Boost.Beast, which is seen by http.cpp only.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "events/cloudevent.h"

namespace rushhill::transport {

using events::Headers;

// A request as read or to be written.
struct HttpRequest {
  std::string method{};
  std::string target{};
  Headers headers{};  // names in lower case
  std::string body{};
  bool keep_alive = true;
  // The first field of that name; nullptr: there is none.
  const std::string* header(std::string_view name) const;
};

// A response as read or to be written.
struct HttpResponse {
  int status = 200;
  Headers headers{};
  std::string body{};
  bool keep_alive = true;
  // The first field of that name; nullptr: there is none.
  const std::string* header(std::string_view name) const;
};

// What a message may not exceed.
struct HttpBounds {
  std::uint32_t head = 16 * 1024;    // bytes of the first line and the header fields
  std::uint64_t body = 1024 * 1024;  // bytes
};

// How far a message has been read, or why it cannot be.
enum class HttpProgress : std::uint8_t { more, done, bad, head_too_large, body_too_large };

// Reads one request after another from a growing buffer, taking off its front what it has used.
class HttpRequestReader {
 public:
  explicit HttpRequestReader(HttpBounds bounds);
  HttpRequestReader(const HttpRequestReader&) = delete;
  HttpRequestReader& operator=(const HttpRequestReader&) = delete;
  HttpRequestReader(HttpRequestReader&&) = delete;
  HttpRequestReader& operator=(HttpRequestReader&&) = delete;
  ~HttpRequestReader();

  HttpProgress put(std::string& buffer);
  bool wants_continue() const;  // the head asks for 100 Continue and none of the body has come
  bool head_done() const;       // the first line and the header fields have been read
  HttpRequest take();           // after done; ready for the next
 private:
  struct Parser;
  HttpBounds bounds_;
  std::unique_ptr<Parser> parser_;
};

// The same for responses.
class HttpResponseReader {
 public:
  explicit HttpResponseReader(HttpBounds bounds);
  HttpResponseReader(const HttpResponseReader&) = delete;
  HttpResponseReader& operator=(const HttpResponseReader&) = delete;
  HttpResponseReader(HttpResponseReader&&) = delete;
  HttpResponseReader& operator=(HttpResponseReader&&) = delete;
  ~HttpResponseReader();

  HttpProgress put(std::string& buffer);
  HttpProgress end();   // the stream has ended: done where that ends the body
  HttpResponse take();  // after done; ready for the next

 private:
  struct Parser;
  HttpBounds bounds_;
  std::unique_ptr<Parser> parser_;
};

std::string to_bytes(const HttpRequest& request);
std::string to_bytes(const HttpResponse& response);
// The reason phrase of a status.
std::string_view reason_of(int status);

}  // namespace rushhill::transport
