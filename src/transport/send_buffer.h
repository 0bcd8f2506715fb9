// A buffer of bytes that are waiting to be sent.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "core/idle_buffer.h"

namespace rushhill::transport {

// A queue of bytes that are appended at its end and sent from its front. Sent bytes are removed only once
// there are at least as many of them as unsent ones. Sending a long queue thus takes time linear in its
// length, however small the parts are that the system takes.
class SendBuffer {
 public:
  bool empty() const { return size() == 0; }
  std::size_t size() const { return bytes_.size() - sent_; }
  // Bytes of memory that it takes.
  std::size_t capacity() const { return bytes_.capacity(); }
  // The unsent bytes. The view is valid until the buffer changes.
  std::string_view pending() const { return std::string_view(bytes_).substr(sent_); }

  void append(std::string_view bytes) {
    drop_sent();
    bytes_ += bytes;
  }
  // Marks the first `count` unsent bytes as sent; `count` must not exceed size().
  void consume(std::size_t count) {
    sent_ += count;
    if (empty()) clear();
  }
  // Removes `count` unsent bytes, starting `from` bytes after the first unsent one.
  void erase(std::size_t from, std::size_t count) {
    bytes_.erase(sent_ + from, count);
    if (empty()) clear();
  }
  // Removes all bytes.
  void clear() {
    core::clear_buffer(bytes_);
    sent_ = 0;
  }

 private:
  void drop_sent() {
    if (sent_ < size()) return;
    bytes_.erase(0, sent_);
    sent_ = 0;
  }

  std::string bytes_;
  std::size_t sent_ = 0;  // bytes at the front that have been sent
};

}  // namespace rushhill::transport
