#include "transport/upstream_requests.h"

#include <gtest/gtest.h>

namespace rushhill::transport {
namespace {

TEST(UpstreamRequests, AttemptContainsTheEventTheSenderAndTheTimeLeft) {
  const events::CloudEvent message{.id = "1", .source = "/c", .type = "t", .data = "hello"};
  const EndpointId endpoint = "a";
  const std::string bytes = attempt_request(3, {7, 2, endpoint, Duration{10'005}, message});
  EXPECT_TRUE(bytes.starts_with("POST / HTTP/1.1\r\n"));
  EXPECT_TRUE(
      bytes.ends_with("host: a\r\nrushhill-server: a\r\nrushhill-router: 3\r\nrushhill-shot: 2\r\n"
                      "rushhill-time-left-ms: 1000\r\nContent-Length: 5\r\n\r\nhello"))
      << bytes;
}

TEST(UpstreamRequests, SerializesProbesAndRepositoryCallsExactly) {
  EXPECT_EQ(probe_request("a"),
            "GET /v2/health/ready HTTP/1.1\r\nhost: a\r\nrushhill-server: a\r\n"
            "endpoint-load-metrics-format: JSON\r\n\r\n");
  EXPECT_EQ(prewarm_request(3, "a", "f/1", 2),
            "POST /v2/repository/models/f%2F1/load HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n"
            "rushhill-server: a\r\nrushhill-router: 3\r\nContent-Length: 27\r\n\r\n"
            "{\"parameters\":{\"copies\":2}}");
  EXPECT_EQ(copy_query_request(3, "a"),
            "POST /v2/repository/index HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n"
            "rushhill-server: a\r\nrushhill-router: 3\r\nContent-Length: 14\r\n\r\n{\"ready\":true}");
  EXPECT_EQ(evict_request(3, "a", "f"),
            "POST /v2/repository/models/f/unload HTTP/1.1\r\nhost: a\r\nrushhill-server: a\r\n"
            "rushhill-router: 3\r\nContent-Length: 0\r\n\r\n");
}

TEST(PathSegment, KeepsUnreservedCharactersAndEncodesAllOthers) {
  EXPECT_EQ(path_segment("aZ09-_.~"), "aZ09-_.~");
  EXPECT_EQ(path_segment("a/b %\xff"), "a%2Fb%20%25%FF");
}

}  // namespace
}  // namespace rushhill::transport
