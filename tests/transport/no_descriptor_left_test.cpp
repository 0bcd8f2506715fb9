// Streams and listeners of a process that gets no socket more.
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

// From here on this process gets no socket more, as where no descriptor is left. (With none left in truth the
// sanitizers, which need some now and then, end the story.)
bool no_socket_is_left() {
  constexpr auto none = static_cast<unsigned>(SECCOMP_RET_ERRNO | EMFILE);
  constexpr auto number = static_cast<unsigned>(offsetof(seccomp_data, nr));
  std::array<sock_filter, 5> steps{
      {BPF_STMT(BPF_LD | BPF_W | BPF_ABS, number), BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_socket, 1, 0),
       BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_accept4, 0, 1), BPF_STMT(BPF_RET | BPF_K, none),
       BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW)}};
  sock_fprog program{static_cast<unsigned short>(steps.size()), steps.data()};
  return prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) == 0 &&
         prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &program) == 0;
}
constexpr Time looked_at_for = 2'000;  // tenths of a millisecond
constexpr int turns_at_rest = 100;     // in that time; a rest lasts 10 ms, spinning makes many thousands
constexpr int as_it_should_be = 17;    // how the child ends

int connect_without_a_descriptor() {
  Loop reactor;
  struct User final : StreamHandler {
    void on_data(std::string_view) override {}
    void on_closed(CloseReason why) override { ways.push_back(why); }
    std::vector<CloseReason> ways;
  } user;
  if (!no_socket_is_left()) return 1;
  const auto stream = Stream::connect(reactor, numeric_address("127.0.0.1:9"), user);
  stream->write("x");
  if (!user.ways.empty()) return 2;  // never from within the call
  reactor.at(reactor.now() + looked_at_for, [&] { reactor.halt(); });
  reactor.run();
  return user.ways == std::vector{CloseReason::not_started} && stream->closed() ? as_it_should_be : 3;
}
int listen_without_a_descriptor() {
  Loop reactor;
  int came = 0, turns = 0;
  Listener listener(reactor, numeric_address("127.0.0.1:0"), false,
                    [&](const PendingConnection&) { ++came; });
  Poco::Net::StreamSocket caller(listener.address());
  if (!no_socket_is_left()) return 1;
  reactor.every_turn([&] { ++turns; });
  reactor.at(reactor.now() + looked_at_for, [&] { reactor.halt(); });
  reactor.run();
  if (came != 0) return 2;
  return turns < turns_at_rest ? as_it_should_be : 3;
}

TEST(DescriptorsDeathTest, WithNoneLeftAConnectionIsLostAsNeverBegun) {
  EXPECT_EXIT(_exit(connect_without_a_descriptor()), testing::ExitedWithCode(as_it_should_be), "");
}
TEST(DescriptorsDeathTest, WithNoneLeftAListenerRests) {
  EXPECT_EXIT(_exit(listen_without_a_descriptor()), testing::ExitedWithCode(as_it_should_be), "");
}

}  // namespace
}  // namespace rushhill::transport
