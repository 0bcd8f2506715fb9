// Guards against a router that starts other processes, opens sockets other than IPv4 ones, or uses io_uring,
// splice or sendfile. `rushhill node` runs under a seccomp filter that kills it when it or a library makes
// such a call: at its start, in service, on SIGHUP and at its shutdown.
#include <fcntl.h>
#include <linux/audit.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <fstream>

#include "fastcgi/records.h"
#include "loopback.h"

namespace rushhill::node {
namespace {

// Installs the filter in the calling process, which is a child that has not yet executed another program.
// Returns whether that succeeded.
bool install_filter() {
  constexpr auto number = static_cast<unsigned>(offsetof(seccomp_data, nr));
  constexpr auto first_argument = static_cast<unsigned>(offsetof(seccomp_data, args));
  std::vector<sock_filter> instructions{BPF_STMT(BPF_LD | BPF_W | BPF_ABS, number)};
  const auto add_rule = [&](long call, unsigned action) {
    instructions.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, static_cast<unsigned>(call), 0, 1));
    instructions.push_back(BPF_STMT(BPF_RET | BPF_K, action));
  };
  add_rule(SYS_clone3, SECCOMP_RET_ERRNO | ENOSYS);  // threads then use clone, whose flags a filter can read
#ifdef SYS_fork
  for (const long call : {SYS_fork, SYS_vfork}) add_rule(call, SECCOMP_RET_KILL_PROCESS);
#endif
  for (const long call :
       {SYS_io_uring_setup, SYS_io_uring_enter, SYS_io_uring_register, SYS_splice, SYS_sendfile})
    add_rule(call, SECCOMP_RET_KILL_PROCESS);
  const std::vector<sock_filter> argument_rules{
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_clone, 0, 4),
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS, first_argument),
      BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, 0x00010000 /* CLONE_THREAD */, 1, 0),
      BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_KILL_PROCESS),
      BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_socket, 0, 3),
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS, first_argument),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, AF_INET, 1, 0),
      BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_KILL_PROCESS),
      BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW)};
  instructions.insert(instructions.end(), argument_rules.begin(), argument_rules.end());
  sock_fprog program{static_cast<unsigned short>(instructions.size()), instructions.data()};
  return prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) == 0 &&
         prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &program) == 0;
}

// A child process under the filter, whose standard error can be read.
class SandboxedProcess {
 public:
  explicit SandboxedProcess(const std::function<void()>& run) {
    int pipe_ends[2];
    if (pipe2(pipe_ends, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
    process_id_ = fork();
    if (process_id_ == 0) {
      dup2(pipe_ends[1], STDERR_FILENO);
      if (!install_filter()) _exit(90);
      run();
      _exit(91);
    }
    close(pipe_ends[1]);
    output_descriptor_ = pipe_ends[0];
  }
  ~SandboxedProcess() {
    if (!ended_) kill(process_id_, SIGKILL), wait();
    close(output_descriptor_);
  }
  SandboxedProcess(const SandboxedProcess&) = delete;
  SandboxedProcess& operator=(const SandboxedProcess&) = delete;

  // Reads to the end of the line that holds the word, or to the end of the output. Returns all that was read.
  std::string read_until(const std::string& word) {
    for (char byte = 0; output.find(word) == std::string::npos || output.back() != '\n'; output += byte) {
      pollfd waiting{.fd = output_descriptor_, .events = POLLIN, .revents = 0};
      if (poll(&waiting, 1, 30'000) <= 0 || read(output_descriptor_, &byte, 1) != 1) break;
    }
    return output;
  }
  void signal(int number) const { kill(process_id_, number); }
  int wait() {
    int status = 0;
    waitpid(process_id_, &status, 0);
    ended_ = true;
    return status;
  }

  std::string output;

 private:
  pid_t process_id_ = -1;
  int output_descriptor_ = -1;
  bool ended_ = false;
};

std::string configuration(const std::string& discovery, const std::string& server) {
  return R"({"name":"n0","listen":"127.0.0.1:0","peer_listen":"127.0.0.1:0","peers":["127.0.0.1:1"],"peers_all":"127.0.0.1:1",
    "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":64,"sockets":256},"board":")" +
         discovery +
         R"(","known":{"rev":1,"notices":[{"rev":1,"pool":{"seq":1,"whole":true,"hosts":[{"host":"s1","dial":")" +
         server + R"(","site":"old","class":"std","block":0,"health":"active","share":1,"born_ms":0}]}}]},
    "settings":{"me":0,"balancers":1,"zone":"old","quantum":4000000,
    "services":[{"name":"date-lookup","promise":750000000,"deadline":2500000000,"effect":"free","worth":1.0}],
    "tenants":[{"name":"acme","quota-per-s":0,"share":1.0}],
    "obligations":{"drain-grace":2000000000,"fall":1500000000,"fall-multiple":2.0,"cold":16000000000,"cold-share":0.16},
    "permissions":{"cancel":true,"send-cap":5,"open-cap":20000,"peers":true,"probing":true,"conn-idle":15000000000,
      "connect-timeout":250000000},"family-info":{"marks-cold":true,"keep":10000000000,"not-loaded":"load"}}})";
}

TEST(NodeSandboxTest, RouterServesReloadsAndDrainsWithoutForbiddenCalls) {
  transport::Loop reactor;
  EventLoopDriver driver{reactor};
  RawServer server{reactor}, discovery{reactor};
  server.on_bytes = [](RawPeer& peer) {
    const std::size_t at = peer.seen.rfind("invoke ");
    if (at != std::string::npos && peer.seen.ends_with("ask\r\n"))
      peer.stream->write(peer.seen.substr(at + 7, 16) + " HIT remark=init 2\r\nok\r\n");
  };
  const std::string path = testing::TempDir() + "confined-" + std::to_string(getpid()) + ".json";
  std::ofstream(path) << configuration(discovery.address(), server.address());
  SandboxedProcess router([&] {
    setenv("PROXY_CONFIG", path.c_str(), 1);
    setenv("ASAN_OPTIONS", "detect_leaks=0", 1);  // the leak check would start a process
    execl(RUSHHILL_COMMAND, "rushhill", "node", static_cast<char*>(nullptr));
  });
  const std::string log = router.read_until("serving");
  const std::size_t at = log.find("127.0.0.1:", log.find("serving"));
  ASSERT_NE(at, std::string::npos) << log;
  const transport::Address address(log.substr(at, log.find_first_not_of("0123456789.:", at) - at));
  for (int i = 0; i < 40; ++i) {
    RawPeer client(reactor, address);
    const std::string id = "9b1f03aa5c7e2d" + std::to_string(10 + i);
    client.stream->write(fastcgi::write_request(1, {.params = {{"SCRIPT_NAME", "/ops/date-lookup"},
                                                               {"HTTP_X_JOB_ID", id},
                                                               {"HTTP_X_ALLOW_MS", "2500"},
                                                               {"HTTP_X_TEAM", "acme"},
                                                               {"HTTP_X_ITEM", "7f3a9c21e0b4d655"},
                                                               {"CONTENT_LENGTH", "3"}},
                                                    .body = "ask",
                                                    .keep = true}));
    ASSERT_TRUE(
        driver.until([&] { return client.ended || client.seen.find("Status: 200") != std::string::npos; }));
    ASSERT_FALSE(client.ended) << router.read_until("never written");
    if (i == 20) router.signal(SIGHUP);
  }
  EXPECT_TRUE(
      driver.until([&] { return !discovery.peers.empty() && discovery.peers[0]->seen == "watch 1\n"; }));
  router.signal(SIGTERM);
  const std::string all = router.read_until("never written");
  const int status = router.wait();
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status << '\n' << all;
  EXPECT_NE(all.find("configuration read again"), std::string::npos);
  std::remove(path.c_str());
}

TEST(NodeSandboxTest, FilterKillsAProcessThatMakesAForbiddenCall) {
  const std::vector<std::function<void()>> forbidden_calls{
      [] { (void)!fork(); }, [] { socket(AF_UNIX, SOCK_STREAM, 0); }, [] { socket(AF_INET6, SOCK_DGRAM, 0); },
      [] { syscall(SYS_splice, -1, nullptr, -1, nullptr, 0, 0); },
      [] { syscall(SYS_io_uring_setup, 1, nullptr); }};
  for (const auto& forbidden_call : forbidden_calls) {
    const int status = SandboxedProcess(forbidden_call).wait();
    EXPECT_TRUE(WIFSIGNALED(status) && WTERMSIG(status) == SIGSYS) << status;
  }
  const int status = SandboxedProcess([] { socket(AF_INET, SOCK_STREAM, 0); }).wait();
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 91) << status;
}

}  // namespace
}  // namespace rushhill::node
