#include "transport/datagram_socket.h"

#include <array>
#include <cerrno>

#include "transport/loop.h"
#include "transport/sockets.h"

namespace rushhill::transport {
namespace {

constexpr int max_received_at_once = 64;  // datagrams per iteration, so that connections are served too
constexpr int max_failures = 8;           // consecutive failures before a pause
constexpr std::size_t max_datagram_bytes = 2048;  // far more than peers may send

}  // namespace

DatagramSocket::DatagramSocket(Loop& loop, FileDescriptor socket, DatagramHandler handler)
    : loop_(loop), socket_(std::move(socket)), handler_(std::move(handler)) {
  set_non_blocking(socket_);
  loop_.watch(socket_.number(), *this, {.readable = true});
}

DatagramSocket::~DatagramSocket() {
  loop_.cancel(pause_timer_);
  loop_.watch(socket_.number(), *this, {});
}

Address DatagramSocket::address() const { return local_address(loop_.system(), socket_); }

bool DatagramSocket::send(const Address& to, std::string_view bytes) {
  const auto sent = loop_.system().sendto(socket_.number(), bytes.data(), bytes.size(),
                                          MSG_DONTWAIT | MSG_NOSIGNAL, to.addr(), to.length());
  return sent == static_cast<ssize_t>(bytes.size());
}

// A failure concerns only one call or one datagram, so the datagrams behind it are still received.
void DatagramSocket::on_readable() {
  int failures = 0;
  for (int i = 0; i < max_received_at_once && failures < max_failures; ++i) {
    std::array<char, max_datagram_bytes> bytes{};
    sockaddr_storage from{};
    socklen_t length = sizeof from;
    const auto got = loop_.system().recvfrom(socket_.number(), bytes.data(), bytes.size(), MSG_DONTWAIT,
                                             reinterpret_cast<sockaddr*>(&from), &length);
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (got < 0) {
      ++failures;
      continue;
    }
    failures = 0;
    backoff_.record_success();
    handler_(Address(reinterpret_cast<const sockaddr*>(&from), length),
             {bytes.data(), static_cast<std::size_t>(got)});
  }
  if (failures >= max_failures) pause();
}

void DatagramSocket::pause() {
  loop_.watch(socket_.number(), *this, {});
  pause_timer_ = loop_.at(loop_.now() + backoff_.pause_after_failure(),
                          [this] { loop_.watch(socket_.number(), *this, {.readable = true}); });
}

}  // namespace rushhill::transport
