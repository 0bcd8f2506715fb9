// Making sockets and reading their state, by system calls that can be exchanged.
#pragma once

#include "transport/file_descriptor.h"
#include "transport/reactor.h"
#include "transport/system_calls.h"

namespace rushhill::transport {

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

// For a socket that this process was started with.
void set_non_blocking(const FileDescriptor& socket);

void set_option(SystemCalls& system, const FileDescriptor& socket, int level, int name, int value);

}  // namespace rushhill::transport
