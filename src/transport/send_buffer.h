// Bytes that wait to be sent.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace rushhill::transport {

// A queue of bytes, appended at its end and sent from its front. What has been sent is dropped only once it
// is at least as long as what still waits, so that a long queue costs time linear in its length, however
// small the parts are that the system takes.
class SendBuffer {
 public:
  bool empty() const { return size() == 0; }
  std::size_t size() const { return bytes_.size() - sent_; }
  // The bytes that wait; valid until the buffer changes.
  std::string_view waiting() const { return std::string_view(bytes_).substr(sent_); }

  void append(std::string_view bytes) {
    drop_sent();
    bytes_ += bytes;
  }
  // Takes `count` bytes, of size() at most, from the front.
  void consume(std::size_t count) {
    sent_ += count;
    if (empty()) clear();
  }
  // Takes `count` bytes from the middle, which stand at `from`, counted from the front.
  void erase(std::size_t from, std::size_t count) {
    bytes_.erase(sent_ + from, count);
    if (empty()) clear();
  }
  // An empty buffer holds no memory.
  void clear() {
    bytes_ = {};
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
