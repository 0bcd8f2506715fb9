#include "transport/sockets.h"

#include <fcntl.h>

#include <cerrno>
#include <string>
#include <system_error>

namespace rushhill::transport {
namespace {

constexpr int backlog = 4096;  // connections that may stand in a listener's queue

[[noreturn]] void fail(const char* call, const Address& address) {
  throw std::system_error(errno, std::generic_category(), std::string(call) + " " + address.toString());
}

}  // namespace

FileDescriptor bound_socket(SystemCalls& system, const Address& address, int type, BindOptions options) {
  FileDescriptor socket(system, system.socket(address.af(), type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket.open()) fail("socket", address);
  set_option(system, socket, SOL_SOCKET, SO_REUSEADDR, 1);
  if (options.shared) set_option(system, socket, SOL_SOCKET, SO_REUSEPORT, 1);
  if (system.bind(socket.number(), address.addr(), address.length()) != 0) fail("bind", address);
  return socket;
}

void start_listening(SystemCalls& system, const FileDescriptor& socket) {
  if (system.listen(socket.number(), backlog) != 0) fail("listen", local_address(system, socket));
}

Address local_address(SystemCalls& system, const FileDescriptor& socket) {
  sockaddr_storage address{};
  socklen_t length = sizeof address;
  if (system.getsockname(socket.number(), reinterpret_cast<sockaddr*>(&address), &length) != 0)
    throw std::system_error(errno, std::generic_category(), "getsockname");
  return {reinterpret_cast<const sockaddr*>(&address), length};
}

bool would_block(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }

void set_non_blocking(const FileDescriptor& socket) {
  const int flags = ::fcntl(socket.number(), F_GETFL);
  if (flags >= 0) ::fcntl(socket.number(), F_SETFL, flags | O_NONBLOCK);
}

void set_option(SystemCalls& system, const FileDescriptor& socket, int level, int name, int value) {
  system.setsockopt(socket.number(), level, name, &value, sizeof value);
}

}  // namespace rushhill::transport
