// An owning file descriptor.
#pragma once

#include <utility>

#include "transport/system_calls.h"

namespace rushhill::transport {

// Owns an open file descriptor and closes it when destroyed.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  FileDescriptor(SystemCalls& system, int number) : system_(&system), number_(number) {}
  FileDescriptor(FileDescriptor&& other) noexcept
      : system_(other.system_), number_(std::exchange(other.number_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(system_, other.system_);
    std::swap(number_, other.number_);
    return *this;
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  ~FileDescriptor() { close(); }

  int number() const { return number_; }  // -1 if none is open
  bool open() const { return number_ >= 0; }
  // Linux releases the number even if close() reports a failure, so the call is never repeated.
  void close() {
    if (open()) system_->close(std::exchange(number_, -1));
  }

 private:
  SystemCalls* system_ = nullptr;
  int number_ = -1;
};

}  // namespace rushhill::transport
