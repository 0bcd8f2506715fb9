#include "transport/sockets.h"

#include <fcntl.h>

#include <cerrno>
#include <string>
#include <system_error>

namespace rushhill::transport {
namespace {

constexpr int backlog = 4096;  // maximum connections in a listener's queue

[[noreturn]] void throw_system_error(const char* call, const Address& address) {
  throw std::system_error(errno, std::generic_category(), std::string(call) + " " + address.toString());
}

}  // namespace

FileDescriptor create_bound_socket(SystemCalls& system, const Address& address, int type,
                                   BindOptions options) {
  FileDescriptor socket(system, retry_briefly(system, [&] {
                          return system.socket(address.af(), type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
                        }));
  if (!socket.open()) throw_system_error("socket", address);
  set_option(system, socket, SOL_SOCKET, SO_REUSEADDR, 1);
  if (options.shared) set_option(system, socket, SOL_SOCKET, SO_REUSEPORT, 1);
  const auto bind = [&] { return system.bind(socket.number(), address.addr(), address.length()); };
  if (retry_briefly(system, bind) != 0) throw_system_error("bind", address);
  return socket;
}

void start_listening(SystemCalls& system, const FileDescriptor& socket) {
  const auto listen = [&] { return system.listen(socket.number(), backlog); };
  if (retry_briefly(system, listen) != 0) throw_system_error("listen", local_address(system, socket));
}

Address local_address(SystemCalls& system, const FileDescriptor& socket) {
  sockaddr_storage address{};
  socklen_t length = sizeof address;
  const auto getsockname = [&] {
    return system.getsockname(socket.number(), reinterpret_cast<sockaddr*>(&address), &length);
  };
  if (retry_briefly(system, getsockname) != 0)
    throw std::system_error(errno, std::generic_category(), "getsockname");
  return {reinterpret_cast<const sockaddr*>(&address), length};
}

bool would_block_or_interrupted(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

bool out_of_memory(int error) { return error == ENOBUFS || error == ENOMEM; }

bool is_local_connect_failure(int error) {
  switch (error) {
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRNOTAVAIL:
    case EADDRINUSE:
    case ENETUNREACH:
    case ENETDOWN:
    case EAGAIN:
    case EPERM:
    case EACCES:
      return true;
    default:
      return false;
  }
}

bool is_local_accept_failure(int error) { return error == EMFILE || error == ENFILE || out_of_memory(error); }

void set_non_blocking(const FileDescriptor& socket) {
  const int flags = ::fcntl(socket.number(), F_GETFL);
  if (flags >= 0) ::fcntl(socket.number(), F_SETFL, flags | O_NONBLOCK);
}

void set_option(SystemCalls& system, const FileDescriptor& socket, int level, int name, int value) {
  system.setsockopt(socket.number(), level, name, &value, sizeof value);
}

}  // namespace rushhill::transport
