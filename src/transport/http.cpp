#include "transport/http.h"

#include <algorithm>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <stdexcept>
#include <utility>

namespace rushhill::transport {
namespace {

namespace http = boost::beast::http;

const std::string* find_header(const Headers& headers, std::string_view name) {
  const auto it = std::ranges::find(headers, name, &std::pair<std::string, std::string>::first);
  return it == headers.end() ? nullptr : &it->second;
}

HttpProgress progress_of(const boost::system::error_code& error) {
  if (error == http::error::need_more) return HttpProgress::more;
  if (error == http::error::header_limit) return HttpProgress::head_too_large;
  if (error == http::error::body_limit) return HttpProgress::body_too_large;
  return HttpProgress::bad;
}

// Feeds the parser until it is done, fails or needs more bytes, and removes the used bytes from the buffer.
// The parser throws length_error for a field, also one of a trailer, that is longer than it can store.
template <typename Parser>
HttpProgress feed_parser(Parser& parser, std::string& buffer) try {
  std::size_t used = 0;
  HttpProgress progress = HttpProgress::more;
  while (!parser.is_done() && used < buffer.size()) {
    boost::system::error_code error;
    const std::size_t consumed =
        parser.put(boost::asio::const_buffer(buffer.data() + used, buffer.size() - used), error);
    used += consumed;
    if (error) progress = progress_of(error);
    if (error || consumed == 0) break;
  }
  buffer.erase(0, used);
  return progress;
} catch (const std::length_error&) {
  return HttpProgress::head_too_large;
}

template <typename Parser>
HttpProgress parse_message(Parser& parser, std::string& buffer, const HttpLimits& limits) {
  const HttpProgress progress = feed_parser(parser, buffer);
  if (progress == HttpProgress::more && parser.is_header_done()) {
    // Beast 1.74 ignores its own body limit if the head and the body of a response arrive together.
    if (parser.content_length().value_or(0) > limits.body || parser.get().body().size() > limits.body)
      return HttpProgress::body_too_large;
    // Of a body only an incomplete chunk header or trailer is left in the buffer.
    if (buffer.size() > limits.head) return HttpProgress::head_too_large;
  }
  return parser.is_done() ? HttpProgress::done : progress;
}

char to_lower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

template <typename Fields>
Headers read_headers(const Fields& fields) {
  Headers headers;
  for (const auto& field : fields) {
    std::string name(field.name_string());
    std::ranges::transform(name, name.begin(), to_lower);
    headers.emplace_back(std::move(name), std::string(field.value()));
  }
  return headers;
}

template <bool is_request>
std::string serialize(http::message<is_request, http::string_body>& message) {
  message.prepare_payload();
  http::serializer<is_request, http::string_body> serializer(message);
  std::string bytes;
  boost::system::error_code error;
  while (!serializer.is_done()) {
    serializer.next(error, [&](boost::system::error_code&, const auto& buffers) {
      std::size_t size = 0;
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
        size += buffer.size();
      }
      serializer.consume(size);
    });
    if (error) break;
  }
  return bytes;
}

}  // namespace

const std::string* HttpRequest::header(std::string_view name) const { return find_header(headers, name); }
const std::string* HttpResponse::header(std::string_view name) const { return find_header(headers, name); }

struct HttpRequestReader::Parser : http::request_parser<http::string_body> {};
struct HttpResponseReader::Parser : http::response_parser<http::string_body> {};

template <typename Parser>
std::unique_ptr<Parser> make_parser(const HttpLimits& limits) {
  auto parser = std::make_unique<Parser>();
  parser->eager(true);
  parser->header_limit(limits.head);
  parser->body_limit(limits.body);
  return parser;
}

HttpRequestReader::HttpRequestReader(HttpLimits limits) : limits_(limits) {}
HttpRequestReader::~HttpRequestReader() = default;
HttpProgress HttpRequestReader::put(std::string& buffer) {
  if (!parser_) parser_ = make_parser<Parser>(limits_);
  return parse_message(*parser_, buffer, limits_);
}
bool HttpRequestReader::head_done() const { return parser_ && parser_->is_header_done(); }
bool HttpRequestReader::expects_continue() const {
  return head_done() && !parser_->is_done() && parser_->get().body().empty() &&
         boost::beast::iequals(parser_->get()[http::field::expect], "100-continue");
}
HttpRequest HttpRequestReader::take() {
  auto message = std::exchange(parser_, nullptr)->release();
  return {std::string(message.method_string()), std::string(message.target()), read_headers(message.base()),
          std::move(message.body()), message.keep_alive()};
}

HttpResponseReader::HttpResponseReader(HttpLimits limits) : limits_(limits) {}
HttpResponseReader::~HttpResponseReader() = default;
HttpProgress HttpResponseReader::put(std::string& buffer) {
  if (!parser_) parser_ = make_parser<Parser>(limits_);
  return parse_message(*parser_, buffer, limits_);
}
HttpProgress HttpResponseReader::end() {
  boost::system::error_code error;
  if (!parser_) return HttpProgress::bad;
  if (parser_->is_header_done() && !parser_->is_done()) parser_->put_eof(error);
  return !error && parser_->is_done() ? HttpProgress::done : HttpProgress::bad;
}
HttpResponse HttpResponseReader::take() {
  auto message = std::exchange(parser_, nullptr)->release();
  return {static_cast<int>(message.result_int()), read_headers(message.base()), std::move(message.body()),
          message.keep_alive()};
}

std::string to_bytes(const HttpRequest& request) {
  http::request<http::string_body> message;
  message.method_string(request.method);
  message.target(request.target);
  message.version(11);
  for (const auto& [name, value] : request.headers) message.insert(name, value);
  message.body() = request.body;
  message.keep_alive(request.keep_alive);
  return serialize(message);
}

std::string to_bytes(const HttpResponse& response) {
  http::response<http::string_body> message;
  message.result(static_cast<unsigned>(response.status));
  message.version(11);
  for (const auto& [name, value] : response.headers) message.insert(name, value);
  message.body() = response.body;
  message.keep_alive(response.keep_alive);
  return serialize(message);
}

std::string_view reason_of(int status) {
  const auto reason = http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
  return {reason.data(), reason.size()};
}

}  // namespace rushhill::transport
