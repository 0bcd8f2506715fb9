#include "transport/upstream_requests.h"

#include <nlohmann/json.hpp>

#include "transport/http.h"

namespace rushhill::transport {
namespace {

using Json = nlohmann::json;

constexpr const char* endpoint_header = "rushhill-server";
constexpr const char* router_header = "rushhill-router";
constexpr const char* attempt_number_header = "rushhill-shot";
constexpr const char* time_left_header = "rushhill-time-left-ms";
constexpr Time time_units_per_ms = 10;

std::string model_path(const FunctionId& function, const char* action) {
  return "/v2/repository/models/" + path_segment(function) + "/" + action;
}

// Builds a request with a JSON body to the endpoint's model repository.
std::string repository_request(int router, const EndpointId& endpoint, std::string path, const Json& body) {
  const HttpRequest request{.method = "POST",
                            .target = std::move(path),
                            .headers = {{"host", endpoint},
                                        {"content-type", "application/json"},
                                        {endpoint_header, events::header_encoded(endpoint)},
                                        {router_header, std::to_string(router)}},
                            .body = body.dump()};
  return to_bytes(request);
}

// Whether a path segment can contain the character without encoding.
bool is_unreserved(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '-' || character == '_' || character == '.' ||
         character == '~';
}

}  // namespace

std::string attempt_request(int router, const core::AttemptCall& call) {
  HttpRequest request{.method = "POST", .target = "/", .headers = events::to_headers(call.message)};
  request.headers.emplace_back("host", call.endpoint);
  request.headers.emplace_back(endpoint_header, events::header_encoded(call.endpoint));
  request.headers.emplace_back(router_header, std::to_string(router));
  request.headers.emplace_back(attempt_number_header, std::to_string(call.attempt_number));
  request.headers.emplace_back(time_left_header,
                               std::to_string(to_ticks(call.time_left) / time_units_per_ms));
  request.body = call.message.data;
  return to_bytes(request);
}

std::string probe_request(const EndpointId& endpoint) {
  const HttpRequest request{.method = "GET",
                            .target = "/v2/health/ready",
                            .headers = {{"host", endpoint},
                                        {endpoint_header, events::header_encoded(endpoint)},
                                        {"endpoint-load-metrics-format", "JSON"}}};
  return to_bytes(request);
}

std::string prewarm_request(int router, const EndpointId& endpoint, const FunctionId& function, int copies) {
  const Json body{{"parameters", {{"copies", copies}}}};
  return repository_request(router, endpoint, model_path(function, "load"), body);
}

std::string copy_query_request(int router, const EndpointId& endpoint) {
  return repository_request(router, endpoint, "/v2/repository/index", Json{{"ready", true}});
}

std::string evict_request(int router, const EndpointId& endpoint, const FunctionId& function) {
  const HttpRequest request{.method = "POST",
                            .target = model_path(function, "unload"),
                            .headers = {{"host", endpoint},
                                        {endpoint_header, events::header_encoded(endpoint)},
                                        {router_header, std::to_string(router)}}};
  return to_bytes(request);
}

std::string path_segment(std::string_view text) {
  constexpr std::string_view digits = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : text) {
    if (is_unreserved(character)) {
      encoded += character;
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    encoded += '%';
    encoded += digits[byte >> 4U];
    encoded += digits[byte & 15U];
  }
  return encoded;
}

}  // namespace rushhill::transport
