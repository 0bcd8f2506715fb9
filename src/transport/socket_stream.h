// A byte stream on a TCP socket of the event loop.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "transport/backoff.h"
#include "transport/event_source.h"
#include "transport/file_descriptor.h"
#include "transport/stream.h"

namespace rushhill::transport {

class Loop;

class SocketStream final : public Stream,
                           public EventSource,
                           public std::enable_shared_from_this<SocketStream> {
 public:
  // One that we open, by connect().
  SocketStream(Loop& loop, StreamHandler& user);
  // One that came to us; establish() follows.
  SocketStream(Loop& loop, StreamHandler& user, FileDescriptor accepted);
  ~SocketStream() override { SocketStream::close(); }

  void connect(const Address& address);
  void establish();
  void send_deferred();

  void write(std::string_view bytes) override;
  bool cancel_unsent(std::size_t from, std::size_t count) override;
  std::size_t handed_over_bytes() const override { return handed_over_; }
  std::size_t pending_bytes() const override { return out_.size(); }
  void set_reading(bool on) override;
  Peeked peek() override;
  void shutdown_write() override;
  void close() override;
  void reset() override;
  bool closed() const override { return user_ == nullptr; }
  Time unread_age() const override { return unread_for_; }
  void keepalive() override;

 private:
  void on_readable() override;
  void on_writable() override;
  bool begin_connect(const Address& address);
  void finish_connect();
  void flush();
  void wait_for(Interest wanted);
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
  std::size_t most_read() const;
  void note_unread_for();
  Time since_last_data() const;

  Loop& loop_;
  FileDescriptor socket_;
  StreamHandler* user_;
  std::string out_;
  std::size_t handed_over_ = 0;
  std::optional<Time> came_after_;  // of one that came to us and has not been read yet
  Time unread_for_ = 0;
  bool established_ = false;
  bool finishing_ = false;
  bool failed_ = false;
  bool deferred_ = false;
  // What it waits for but for the pauses after calls that failed for want of memory.
  Interest wanted_;
  bool reading_paused_ = false, sending_paused_ = false;
  core::Timer read_pause_, send_pause_, begin_pause_;
  Backoff read_backoff_, send_backoff_;
};

}  // namespace rushhill::transport
