// Parses and serializes HTTP/1.1 messages. Only http.cpp includes Boost.Beast, which does the work.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "events/cloudevent.h"

namespace rushhill::transport {

using events::Headers;

// A request that was read or is to be written.
struct HttpRequest {
  std::string method{};
  std::string target{};
  Headers headers{};  // names in lower case
  std::string body{};
  bool keep_alive = true;
  // Returns the value of the first field of that name, or nullptr if there is none.
  const std::string* header(std::string_view name) const;
};

// A response that was read or is to be written.
struct HttpResponse {
  int status = 200;
  Headers headers{};
  std::string body{};
  bool keep_alive = true;
  // Returns the value of the first field of that name, or nullptr if there is none.
  const std::string* header(std::string_view name) const;
};

// Size limits of a message.
struct HttpLimits {
  // Bytes of the start line and the header fields. All attributes that an event may have take 1.7 MB,
  // percent-encoded.
  std::uint32_t head = 2 * 1024 * 1024;
  std::uint64_t body = 1024 * 1024;  // bytes of the body
};

// How far a message has been parsed, or why it cannot be.
enum class HttpProgress : std::uint8_t { more, done, bad, head_too_large, body_too_large };

// Parses consecutive requests from a growing buffer and removes from its front the bytes that it has used.
class HttpRequestReader {
 public:
  explicit HttpRequestReader(HttpLimits limits);
  HttpRequestReader(const HttpRequestReader&) = delete;
  HttpRequestReader& operator=(const HttpRequestReader&) = delete;
  HttpRequestReader(HttpRequestReader&&) = delete;
  HttpRequestReader& operator=(HttpRequestReader&&) = delete;
  ~HttpRequestReader();

  HttpProgress put(std::string& buffer);
  bool expects_continue() const;  // the client waits for 100 Continue and has sent no byte of the body
  bool head_done() const;         // the start line and the header fields have been read
  HttpRequest take();             // to be called after `done`; the reader is then ready for the next request
 private:
  struct Parser;
  HttpLimits limits_;
  std::unique_ptr<Parser> parser_;
};

// Parses consecutive responses in the same way.
class HttpResponseReader {
 public:
  explicit HttpResponseReader(HttpLimits limits);
  HttpResponseReader(const HttpResponseReader&) = delete;
  HttpResponseReader& operator=(const HttpResponseReader&) = delete;
  HttpResponseReader(HttpResponseReader&&) = delete;
  HttpResponseReader& operator=(HttpResponseReader&&) = delete;
  ~HttpResponseReader();

  HttpProgress put(std::string& buffer);
  // To be called when the stream ends. Returns `done` if that completes the body, else `malformed`.
  HttpProgress end();
  HttpResponse take();  // to be called after `done`; the reader is then ready for the next response

 private:
  struct Parser;
  HttpLimits limits_;
  std::unique_ptr<Parser> parser_;
};

std::string to_bytes(const HttpRequest& request);
std::string to_bytes(const HttpResponse& response);
// Returns the reason phrase of a status code.
std::string_view reason_of(int status);

}  // namespace rushhill::transport
