// Byte streams on TCP sockets.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "transport/backoff.h"
#include "transport/event_source.h"
#include "transport/file_descriptor.h"
#include "transport/send_buffer.h"
#include "transport/stream.h"

namespace rushhill::transport {

class Loop;

// A byte stream on a TCP socket of the event loop, which must outlive it. Shared ownership, as posted calls
// hold it.
class SocketStream final : public Stream,
                           public EventSource,
                           public std::enable_shared_from_this<SocketStream> {
 public:
  // One that we open, by connect().
  SocketStream(Loop& loop, StreamHandler& handler);
  // One that a peer opened; establish() follows.
  SocketStream(Loop& loop, StreamHandler& handler, FileDescriptor accepted);
  SocketStream(const SocketStream&) = delete;
  SocketStream& operator=(const SocketStream&) = delete;
  SocketStream(SocketStream&&) = delete;
  SocketStream& operator=(SocketStream&&) = delete;
  ~SocketStream() override { SocketStream::close(); }

  void connect(const Address& address);
  void establish();
  // Sends what had to wait until the loop has read the connections that peers opened.
  void send_deferred();

  void write(std::string_view bytes) override;
  bool cancel_unsent(std::size_t from, std::size_t count) override;
  std::size_t handed_over_bytes() const override { return handed_over_; }
  std::size_t pending_bytes() const override { return unsent_.size(); }
  void set_reading(bool on) override;
  Peeked peek() override;
  void shutdown_write() override;
  void close() override;
  void reset() override;
  bool closed() const override { return handler_ == nullptr; }
  Time unread_age() const override { return unread_age_; }
  void keepalive() override;

 private:
  void on_readable() override;
  void on_writable() override;
  bool begin_connect(const Address& address);
  void finish_connect();
  void flush();
  bool send_unsent();
  bool survives_send_failure(int error);
  void flush_and_notify();
  void wait_for(Interest interest);
  void update_watch();
  void pause_reading();
  void pause_sending();
  void resume_sending();
  void fail_to_begin();
  ssize_t receive(char* bytes, std::size_t count, int flags);
  void end_our_side();
  void lose(CloseReason why);
  void lose_when_read();
  void lose_soon(CloseReason why);
  std::size_t max_read_bytes() const;
  void measure_unread_age();
  Time since_last_data() const;

  Loop& loop_;
  FileDescriptor socket_;
  StreamHandler* handler_;
  SendBuffer unsent_;
  std::size_t handed_over_ = 0;
  std::optional<Time> arrived_after_;  // of one that a peer opened and that has not been read yet
  Time unread_age_ = 0;
  bool established_ = false;
  bool finishing_ = false;
  bool failed_ = false;
  bool deferred_ = false;
  // What it waits for, apart from the pauses after calls that failed for lack of memory.
  Interest wanted_;
  bool reading_paused_ = false;
  bool sending_paused_ = false;
  core::Timer read_pause_;
  core::Timer send_pause_;
  core::Timer begin_pause_;
  Backoff read_backoff_;
  Backoff send_backoff_;
};

}  // namespace rushhill::transport
