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

// A byte stream on a TCP socket of the event loop, which must outlive it. Ownership is shared, because posted
// calls keep the stream alive.
class SocketStream final : public Stream,
                           public EventSource,
                           public std::enable_shared_from_this<SocketStream> {
 public:
  // Creates a stream that we open; connect() must follow.
  SocketStream(Loop& loop, StreamHandler& handler);
  // Creates a stream for a connection that a peer opened; establish() must follow.
  SocketStream(Loop& loop, StreamHandler& handler, FileDescriptor accepted);
  SocketStream(const SocketStream&) = delete;
  SocketStream& operator=(const SocketStream&) = delete;
  SocketStream(SocketStream&&) = delete;
  SocketStream& operator=(SocketStream&&) = delete;
  ~SocketStream() override { SocketStream::close(); }

  void connect(const Address& address);
  void establish();
  // Sends the bytes that waited until the loop had read the connections that peers opened.
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
  bool is_reading_delayed() const override;
  Time unread_age() const override { return unread_age_; }
  void keepalive() override;

 private:
  void on_readable() override;
  void on_writable() override;
  bool start_connect(const Address& address);
  void finish_connect();
  void flush();
  bool send_pending();
  bool handle_send_failure(int error);
  void flush_and_notify();
  void set_interest(Interest interest);
  void update_watch();
  void pause_reading();
  void pause_sending();
  void resume_sending();
  void report_not_started();
  std::size_t read_once();
  ssize_t receive(char* bytes, std::size_t count, int flags);
  void shut_down_sending();
  void close_and_notify(CloseReason why);
  void read_rest_and_close();
  void post_close_and_notify(CloseReason why);
  std::size_t max_read_bytes() const;
  void measure_unread_age();
  Time last_data_age() const;

  Loop& loop_;
  FileDescriptor socket_;
  StreamHandler* handler_;
  SendBuffer unsent_;
  std::size_t handed_over_ = 0;
  // No unread byte arrived before; set until the first read of a peer's connection, and while there is more
  // to read than its turns allow.
  std::optional<Time> arrived_after_;
  Time unread_age_ = 0;
  bool established_ = false;
  bool shutdown_requested_ = false;
  bool failed_ = false;
  bool is_deferred_ = false;
  // The events to wait for, except during pauses after calls that failed for lack of memory.
  Interest wanted_;
  bool reading_paused_ = false;
  bool sending_paused_ = false;
  core::Timer read_pause_timer_;
  core::Timer send_pause_timer_;
  core::Timer connect_failure_timer_;
  Backoff read_backoff_;
  Backoff send_backoff_;
};

}  // namespace rushhill::transport
