// Checks that datagrams that name their sender are accepted only from that router's own address.
#include "transport/peer_links.h"

#include <Poco/Net/DatagramSocket.h>
#include <unistd.h>

#include "loopback.h"
#include "transport/datagram_endpoint.h"
#include "transport/loop.h"

namespace rushhill::transport {
namespace {

TEST(PeerLinks, AcceptsMessagesOnlyFromTheAddressOfTheNamedRouter) {
  Loop reactor;
  EventLoopDriver pump(reactor);
  std::vector<std::pair<int, std::string>> received;
  const auto record = [&](int router, const std::string& bytes) { received.emplace_back(router, bytes); };
  DatagramEndpoint stranger(reactor, numeric_address("127.0.0.1:0"), [](const Address&, std::string_view) {});
  Poco::Net::DatagramSocket first(numeric_address("127.0.0.1:0")), second(numeric_address("127.0.0.1:0"));
  const std::vector<std::string> addresses{first.address().toString(), second.address().toString()};
  PeerLinks one(reactor, "fd:" + std::to_string(dup(first.impl()->sockfd())), 0, addresses, record);
  PeerLinks two(reactor, "fd:" + std::to_string(dup(second.impl()->sockfd())), 1, addresses, record);
  two.send(-1, "box u50");
  two.send(0, std::string("with\nfeeds\0and zeros", 20));
  ASSERT_TRUE(pump.until([&] { return received.size() == 2; }));
  EXPECT_EQ(received[0], std::pair(1, std::string("box u50")));
  EXPECT_EQ(received[1].second, std::string("with\nfeeds\0and zeros", 20));
  for (const std::string& invalid :
       {std::string("rushhill-peer-1 1\nforged"), std::string("rushhill-peer-1 99\nx"),
        std::string("rubbish"), "rushhill-peer-1 1\n" + std::string(1000, 'x'), std::string()})
    stranger.send(numeric_address(addresses[0]), invalid);
  pump.pass(300);
  EXPECT_EQ(received.size(), 2U);
}

}  // namespace
}  // namespace rushhill::transport
