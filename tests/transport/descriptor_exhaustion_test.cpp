// Checks that streams and listeners report a lack of file descriptors, or pause, instead of spinning. Each
// test runs in a child process in which every call that creates a socket fails.
#include <Poco/Net/StreamSocket.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstddef>

#include "loopback.h"
#include "transport/listener.h"
#include "transport/loop.h"

namespace rushhill::transport {
namespace {

// Makes socket() and accept4() fail with EMFILE in this process from now on, as if no descriptor were left.
// The sanitizers need descriptors now and then, so using up the real ones would end the test.
bool block_new_sockets() {
  constexpr auto fail_with_emfile = static_cast<unsigned>(SECCOMP_RET_ERRNO | EMFILE);
  constexpr auto call_number = static_cast<unsigned>(offsetof(seccomp_data, nr));
  std::array<sock_filter, 5> steps{
      {BPF_STMT(BPF_LD | BPF_W | BPF_ABS, call_number), BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_socket, 1, 0),
       BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_accept4, 0, 1), BPF_STMT(BPF_RET | BPF_K, fail_with_emfile),
       BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW)}};
  sock_fprog program{static_cast<unsigned short>(steps.size()), steps.data()};
  return prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) == 0 &&
         prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &program) == 0;
}
constexpr Time observation_time = 2'000;  // tenths of a millisecond
// In that time. Pauses last 1 to 16 ms, while a spinning loop makes many thousands of iterations.
constexpr int max_iterations = 100;
constexpr int success_exit_code = 17;  // of the child process

int connect_without_a_descriptor() {
  Loop reactor;
  struct RecordingHandler final : StreamHandler {
    void on_data(std::string_view) override {}
    void on_closed(CloseReason reason) override { close_reasons.push_back(reason); }
    std::vector<CloseReason> close_reasons;
  } handler;
  if (!block_new_sockets()) return 1;
  const auto stream = Stream::connect(reactor, numeric_address("127.0.0.1:9"), handler);
  stream->write("x");
  if (!handler.close_reasons.empty()) return 2;  // the handler must not be called from within connect()
  reactor.at(reactor.now() + observation_time, [&] { reactor.halt(); });
  reactor.run();
  return handler.close_reasons == std::vector{CloseReason::not_started} && stream->closed()
             ? success_exit_code
             : 3;
}
int listen_without_a_descriptor() {
  Loop reactor;
  int accepted = 0, iterations = 0;
  Listener listener(reactor, numeric_address("127.0.0.1:0"), false,
                    [&](const PendingConnection&) { ++accepted; });
  Poco::Net::StreamSocket client(listener.address());
  if (!block_new_sockets()) return 1;
  reactor.set_iteration_hook([&] { ++iterations; });
  reactor.at(reactor.now() + observation_time, [&] { reactor.halt(); });
  reactor.run();
  if (accepted != 0) return 2;
  return iterations < max_iterations ? success_exit_code : 3;
}

TEST(DescriptorExhaustionDeathTest, ConnectionEndsAsNotStarted) {
  EXPECT_EXIT(_exit(connect_without_a_descriptor()), testing::ExitedWithCode(success_exit_code), "");
}
TEST(DescriptorExhaustionDeathTest, ListenerPausesInsteadOfSpinning) {
  EXPECT_EXIT(_exit(listen_without_a_descriptor()), testing::ExitedWithCode(success_exit_code), "");
}

}  // namespace
}  // namespace rushhill::transport
