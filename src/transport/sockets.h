// Making sockets and reading their state, by system calls that can be exchanged.
#pragma once

#include <cerrno>

#include "transport/address.h"
#include "transport/file_descriptor.h"
#include "transport/system_calls.h"

namespace rushhill::transport {

// How an address is bound.
struct BindOptions {
  bool shared = false;  // with other sockets that share the port (SO_REUSEPORT)
};

// A non-blocking socket of this type at the address, which may have been in use just now.
// Throws std::system_error, naming the call and the address.
FileDescriptor bound_socket(SystemCalls& system, const Address& address, int type, BindOptions options);

// Throws std::system_error.
void start_listening(SystemCalls& system, const FileDescriptor& socket);

// The address that the socket is bound to; throws std::system_error.
Address local_address(SystemCalls& system, const FileDescriptor& socket);

// Whether a call failed only for now, with nothing to do but wait until the descriptor is ready again.
bool would_block(int error);

// Whether a call on an open connection failed for lack of memory: the connection is as it was, and the call
// is made again after a pause.
bool out_of_memory(int error);

// Whether a connection could not be begun for lack of a resource on this machine (a descriptor, memory, a
// local port, a route, a permission): nothing has left, and it says nothing of the peer.
bool cannot_begin(int error);

// Whether accept4() failed for lack of a resource on this machine, with the connection still in the queue.
// Any other failure is of one connection, which is gone, or of one call.
bool cannot_accept(int error);

// At a start, when nothing else waits: makes a call again, with rests, while it fails for lack of a
// resource on this machine, for half a second at most. Returns what the call returned last, as -1 with errno.
template <typename SystemCall>
int try_for_a_moment(SystemCalls& system, SystemCall call) {
  constexpr int max_tries = 50;
  constexpr int rest_ms = 10;
  int result = call();
  for (int tries = 1; result < 0 && tries < max_tries && (cannot_accept(errno) || errno == EINTR); ++tries) {
    system.poll(nullptr, 0, rest_ms);
    result = call();
  }
  return result;
}

// For a socket that this process was started with.
void set_non_blocking(const FileDescriptor& socket);

void set_option(SystemCalls& system, const FileDescriptor& socket, int level, int name, int value);

}  // namespace rushhill::transport
