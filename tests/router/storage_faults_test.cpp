// A router whose files fail, over real sockets: requests are served meanwhile, /metrics shows the failures,
// and the endpoint list outlives SIGKILL.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <thread>

#include "loopback.h"
#include "process.h"
#include "router/router_process.h"
#include "simulation/faulty_file_system.h"
#include "storage/documented_failures.h"
#include "storage/temporary_directory.h"

namespace rushhill::router {
namespace {

using simulation::StorageFault;
using storage::Operation;

constexpr Time within = 100'000;  // tenths of a millisecond; far longer than anything here should take
const std::string traffic =
    "[traffic lookup]\nevent-type = org.lookup\ndue = 1s\nhard-limit = 2s\neffect = reissuable\n";

std::string request(const std::string& id) {
  return "POST / HTTP/1.1\r\nhost: x\r\nce-specversion: 1.0\r\nce-source: /c\r\nce-type: org.lookup\r\n"
         "ce-function: f\r\nce-id: " +
         id + "\r\ncontent-length: 0\r\n\r\n";
}
const std::string reply =
    "HTTP/1.1 200 OK\r\nce-specversion: 1.0\r\nce-id: r\r\nce-source: /s\r\nce-type: t\r\n"
    "content-type: text/plain\r\ncontent-length: 2\r\n\r\nok";

class StorageFaults : public testing::Test {
 protected:
  StorageFaults() {
    server.on_bytes = [](RawPeer& peer) {
      for (std::size_t end = 0; (end = peer.seen.find("\r\n\r\n")) != std::string::npos;
           peer.seen.erase(0, end + 4))
        peer.stream->write(reply);
    };
    discovery.on_bytes = [this](RawPeer& peer) {
      if (peer.seen.find("follow") != std::string::npos) follower = &peer;
      peer.seen.clear();
    };
  }
  std::string deployment(const std::string& discovery_address) const {
    return "[router]\ntick = 50ms\n[http]\nlisten = 127.0.0.1:0\nwind-up = 1s\n[roster]\naddress = " +
           discovery_address + "\nremembered = " + list_path + "\n" + traffic;
  }
  bool update_list() {
    if (!pump.until([&] { return follower != nullptr; }, within)) return false;
    ++revision;
    follower->stream->write(R"({"form":"complete","revision":)" + std::to_string(revision) +
                            R"(,"servers":[{"id":"s","address":")" + server.address() + "\"}]}\n");
    return true;
  }
  std::string revision_text() const { return "\"revision\":" + std::to_string(revision) + ","; }
  bool saved() const { return content_of(list_path).find(revision_text()) != std::string::npos; }
  std::string ask(const transport::Address& router, const std::string& bytes) {
    RawPeer client(reactor, router);
    client.stream->write(bytes);
    pump.until([&] { return client.seen.find("\r\n\r\n") != std::string::npos; }, within);
    pump.pass(20);
    return client.seen;
  }
  bool served(const transport::Address& router) {
    return ask(router, request("e" + std::to_string(++asked))).find(" 200 ") != std::string::npos;
  }
  bool shows(const transport::Address& router, const std::string& metric) {
    return ask(router, "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n").find("\n" + metric + "\n") !=
           std::string::npos;
  }

  TemporaryDirectory directory;
  const std::string list_path = directory / "list", deployment_path = directory / "router.ini";
  transport::Loop reactor;
  Pump pump{reactor};
  Silent silent;
  RawServer server{reactor}, discovery{reactor};
  RawPeer* follower = nullptr;
  int revision = 0, asked = 0;
};

class ServingWhileStorageFails : public StorageFaults, public testing::WithParamInterface<Operation> {};

TEST_P(ServingWhileStorageFails, ShowsItAndTheListIsSavedWhenItRecovers) {
  std::atomic<bool> failing = false;
  auto files = std::make_shared<simulation::FaultyFileSystem>(
      storage::system_files(), [&failing](Operation operation) {
        return failing && operation == GetParam() ? StorageFault{.error_number = EIO} : StorageFault{};
      });
  RouterProcess router(reactor, deployment::read_text("f", deployment(discovery.address())), 3, silent,
                       {.files = files});
  const transport::Address address = router.address();
  ASSERT_TRUE(update_list());
  ASSERT_TRUE(pump.until([&] { return saved(); }, within));
  EXPECT_TRUE(shows(address, "rushhill_remembered_list_failing 0"));
  failing = true;
  ASSERT_TRUE(update_list());
  ASSERT_TRUE(pump.until([&] { return shows(address, "rushhill_remembered_list_failing 1"); }, within));
  const std::string counted = "rushhill_remembered_list_write_failures_total{operation=\"" +
                              std::string(storage::name_of(GetParam())) + "\"} ";
  EXPECT_TRUE(pump.until([&] { return shows(address, counted + "2"); }, within)) << "retried";
  for (int i = 0; i < 5; ++i) EXPECT_TRUE(served(address));
  EXPECT_NE(content_of(list_path).find("\"revision\":"), std::string::npos);
  failing = false;
  EXPECT_TRUE(pump.until([&] { return shows(address, "rushhill_remembered_list_failing 0"); }, within));
  EXPECT_TRUE(saved());
}

// Every operation with every error: remembered_endpoint_list_test.cpp.
INSTANTIATE_TEST_SUITE_P(Operations, ServingWhileStorageFails,
                         testing::Values(Operation::write, Operation::sync_directory),
                         [](const auto& given) { return std::string(storage::name_of(given.param)); });

TEST_F(StorageFaults, ASyncThatHangsHoldsUpNoRequest) {
  std::atomic<bool> hangs = true, syncing = false;
  auto files =
      std::make_shared<simulation::FaultyFileSystem>(storage::system_files(), [&](Operation operation) {
        if (operation == Operation::sync) {
          syncing = true;
          while (hangs) std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return StorageFault{};
      });
  {
    RouterProcess router(reactor, deployment::read_text("f", deployment(discovery.address())), 3, silent,
                         {.files = files});
    ASSERT_TRUE(update_list());
    ASSERT_TRUE(pump.until([&] { return syncing.load(); }, within));
    for (int i = 0; i < 5; ++i) EXPECT_TRUE(served(router.address()));
    EXPECT_FALSE(saved());
    hangs = false;
    EXPECT_TRUE(pump.until([&] { return saved(); }, within));
  }
}

TEST_F(StorageFaults, TheListOutlivesSigkillAndServesWithoutDiscovery) {
  std::ofstream(deployment_path) << deployment(discovery.address());
  {
    Process program(Launch{.arguments = {"serve", deployment_path}});
    program.address_after("ready");
    ASSERT_TRUE(update_list());
    ASSERT_TRUE(pump.until([&] { return saved(); }, within));
    program.signal(SIGKILL);
    program.wait();
  }
  const auto nobody = reactor.reserve(transport::numeric_address("127.0.0.1:0"));
  std::ofstream(deployment_path) << deployment(nobody->address().toString());
  Process program(Launch{.arguments = {"serve", deployment_path}});
  EXPECT_TRUE(served(program.address_after("ready")));
}

TEST_F(StorageFaults, ACutListIsToldWithFileAndReasonAndDiscoveryServes) {
  std::ofstream(list_path) << R"({"form":"complete","revi)";
  std::ofstream(deployment_path) << deployment(discovery.address());
  Process program(Launch{.arguments = {"serve", deployment_path}});
  const transport::Address address = program.address_after("ready");
  EXPECT_NE(program.said().find("remembered endpoint list cannot be read  file=" + list_path +
                                "  reason=not a JSON object"),
            std::string::npos)
      << program.said();
  ASSERT_TRUE(update_list());
  ASSERT_TRUE(pump.until([&] { return saved(); }, within));
  EXPECT_TRUE(served(address));
}

TEST_F(StorageFaults, CountsThatCannotBeWrittenAreToldWithFileAndReason) {
  std::ofstream(deployment_path) << deployment(discovery.address());
  Process program(Launch{.arguments = {"serve", deployment_path, "--tally", directory / "none/tally"}});
  program.address_after("ready");
  program.signal(SIGTERM);
  EXPECT_TRUE(program.says("counts cannot be written  file=" + (directory / "none/tally") +
                           "  reason=open: No such file or directory"))
      << program.said();
  EXPECT_EQ(program.wait(), 0);
}

TEST_F(StorageFaults, InjectedFromASeedTheyEndAndTheListIsSaved) {
  std::ofstream(deployment_path) << deployment(discovery.address());
  Process program(
      Launch{.arguments = {"serve", deployment_path}, .environment = {{"RUSHHILL_STORAGE_FAULTS", "1"}}});
  const transport::Address address = program.address_after("ready");
  ASSERT_TRUE(update_list());
  EXPECT_TRUE(pump.until([&] { return saved(); }, within));
  EXPECT_TRUE(served(address));
}

}  // namespace
}  // namespace rushhill::router
