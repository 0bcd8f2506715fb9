// A byte stream on a TCP socket of the event loop.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "transport/event_source.h"
#include "transport/file_descriptor.h"
#include "transport/reactor.h"

namespace rushhill::transport {

class Loop;

class SocketStream final : public Stream,
                           public EventSource,
                           public std::enable_shared_from_this<SocketStream> {
 public:
  // One that we open, by connect().
  SocketStream(Loop& loop, StreamUser& user);
  // One that came to us; establish() follows.
  SocketStream(Loop& loop, StreamUser& user, FileDescriptor accepted);
  ~SocketStream() override { SocketStream::close(); }

  void connect(const Address& address);
  void establish();
  void send_deferred();

  void write(std::string_view bytes) override;
  bool recall(std::size_t from, std::size_t count) override;
  std::size_t handed_over() const override { return handed_over_; }
  std::size_t waiting() const override { return out_.size(); }
  void read(bool on) override { watch({.readable = on, .writable = interest().writable}); }
  Ahead ahead() override;
  void finish() override;
  void close() override;
  void reset() override;
  bool closed() const override { return user_ == nullptr; }
  void keepalive() override;

 private:
  void on_readable() override;
  void on_writable() override;
  void open_socket(const Address& address);
  void flush();
  void watch(Interest wanted);
  void watch_writable(bool on) { watch({.readable = interest().readable, .writable = on}); }
  void end_our_side();
  void lose(Loss why);
  void lose_when_read();
  void lose_soon(Loss why);
  std::size_t most_read() const;

  Loop& loop_;
  FileDescriptor socket_;
  StreamUser* user_;
  std::string out_;
  std::size_t handed_over_ = 0;
  bool established_ = false;
  bool finishing_ = false;
  bool failed_ = false;
  bool deferred_ = false;
};

}  // namespace rushhill::transport
