// Creates sockets and reads their state through replaceable system calls.
#pragma once

#include <cerrno>

#include "transport/address.h"
#include "transport/file_descriptor.h"
#include "transport/system_calls.h"

namespace rushhill::transport {

// How an address is bound.
struct BindOptions {
  bool shared = false;  // allows other sockets on the same port (SO_REUSEPORT)
};

// Creates a non-blocking socket of this type and binds it to the address, which may have been in use shortly
// before (SO_REUSEADDR). Throws std::system_error with the failed call and the address.
FileDescriptor create_bound_socket(SystemCalls& system, const Address& address, int type,
                                   BindOptions options);

// Makes a bound socket listen; throws std::system_error on failure.
void start_listening(SystemCalls& system, const FileDescriptor& socket);

// Returns the address that the socket is bound to; throws std::system_error on failure.
Address local_address(SystemCalls& system, const FileDescriptor& socket);

// Whether a call on a socket failed only for now. The caller waits until the descriptor is ready again.
bool would_block_or_interrupted(int error);

// Whether a call on an open connection failed for lack of memory. The connection is unchanged, and the call
// is repeated after a pause.
bool out_of_memory(int error);

// Whether a connection could not be started for lack of a resource on this machine (a descriptor, memory, a
// local port, a route or a permission). No byte has been sent, and the failure says nothing about the peer.
bool is_local_connect_failure(int error);

// Whether accept4() failed for lack of a resource on this machine, so that the connection is still in the
// queue. Any other failure concerns one connection, which is lost, or one call.
bool is_local_accept_failure(int error);

// Repeats a call with pauses while it fails for lack of a resource on this machine or is interrupted, for
// half a second at most. Returns the last result, which is -1 with errno set on failure. This blocks, so it
// is only for calls at startup, when nothing else is waiting.
template <typename SystemCall>
int retry_briefly(SystemCalls& system, SystemCall call) {
  constexpr int max_tries = 50;
  constexpr int pause_ms = 10;
  int result = call();
  for (int tries = 1; result < 0 && tries < max_tries && (is_local_accept_failure(errno) || errno == EINTR);
       ++tries) {
    system.poll(nullptr, 0, pause_ms);
    result = call();
  }
  return result;
}

// Makes a socket non-blocking; needed for sockets that this process inherited.
void set_non_blocking(const FileDescriptor& socket);

void set_option(SystemCalls& system, const FileDescriptor& socket, int level, int name, int value);

}  // namespace rushhill::transport
