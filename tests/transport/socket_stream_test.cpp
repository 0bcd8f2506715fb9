// What a stream does when its peer does not read, and where no descriptor is left.
#include <sys/resource.h>
#include <unistd.h>

#include "loopback.h"
#include "transport/loop.h"

namespace rushhill::transport {
namespace {

TEST(Stream, APeerThatDoesNotReadIsToldOfOnceItHasReadAll) {
  Loop reactor;
  Pump pump(reactor);
  RawServer server(reactor);
  struct User final : StreamHandler {
    void on_connected() override { stream->write(std::string(8'000'000, 'x')); }
    void on_data(std::string_view) override {}
    void on_write_drained() override { ++drains; }
    void on_closed(CloseReason) override {}
    std::shared_ptr<Stream> stream;
    int drains = 0;
  } user;
  user.stream = Stream::connect(reactor, numeric_address(server.address()), user);
  ASSERT_TRUE(pump.until([&] { return !server.peers.empty(); }));
  server.peers.front()->stream->set_reading(false);
  pump.pass(500);
  EXPECT_GT(user.stream->pending_bytes(), 0U);
  EXPECT_EQ(user.drains, 0);
  server.peers.front()->stream->set_reading(true);
  ASSERT_TRUE(pump.until([&] { return user.drains == 1; }));
  ASSERT_TRUE(pump.until([&] { return server.peers.front()->seen.size() == 8'000'000; }));
  user.stream->close();
}

// The system gives none, whatever the program counts: that ends the connection and not the program.
TEST(Stream, WithoutADescriptorLeftAConnectionIsRefused) {
  Loop reactor;
  Pump pump(reactor);
  RawServer server(reactor);
  // The sanitizer needs descriptors itself to look at an object of a kind that it has not met.
  RawPeer met(reactor, numeric_address(server.address()));
  ASSERT_TRUE(pump.until([&] { return server.peers.size() == 1; }));
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  const int next = dup(0);
  close(next);
  const rlimit none{static_cast<rlim_t>(next), before.rlim_max};
  setrlimit(RLIMIT_NOFILE, &none);
  std::unique_ptr<RawPeer> opened;
  EXPECT_NO_THROW(opened = std::make_unique<RawPeer>(reactor, numeric_address(server.address())));
  setrlimit(RLIMIT_NOFILE, &before);
  ASSERT_NE(opened, nullptr);
  EXPECT_TRUE(pump.until([&] { return opened->ended; }));
}

}  // namespace
}  // namespace rushhill::transport
