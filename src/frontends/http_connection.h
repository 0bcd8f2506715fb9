// One client's HTTP connection, within the HTTP frontend.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "frontends/connection_activity.h"
#include "frontends/http_exchange.h"
#include "frontends/http_front.h"
#include "frontends/request_accounting.h"
#include "transport/http.h"
#include "transport/numbered.h"
#include "transport/stream.h"

namespace rushhill::frontends {

// Reads a request, has it answered by its Exchange, writes the answer, and reads the next.
class HttpFront::Connection final : public transport::StreamHandler, public transport::Numbered {
 public:
  Connection(HttpFront& front, const transport::PendingConnection& pending);
  ~Connection() override;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  Connection(Connection&&) = delete;
  Connection& operator=(Connection&&) = delete;

  // Closes the stream and cancels the open events, which have no client any more.
  void close(ConnectionEnd end);
  // The frontend drains: the connection closes after its present or next answer. One on which no request
  // stands, read or unread, has a moment for it.
  void start_draining();

  std::optional<EvictionRank> eviction_rank(Time now) const;
  bool has_no_unread_input() const;
  // Whether something of the client, or its leaving, stands unread.
  bool has_unread_input() const { return stream_->peek() != transport::Stream::Peeked::nothing; }
  bool is_reading_delayed() const { return stream_->is_reading_delayed(); }
  // How long ago the present request arrived. It may have waited in the system, because this process was
  // slow, or behind another request of its connection.
  Time request_age() const { return reactor_.now() - input_arrived_; }
  // Answers the present request, which is complete.
  void answer(transport::HttpResponse response);

  void on_data(std::string_view bytes) override;
  void on_write_drained() override;
  void on_closed(transport::CloseReason reason) override;

 private:
  // Whether no part of a request has been read that is not answered yet.
  bool is_idle() const;
  void set_timer(Time span);
  // For an idle connection of a front that drains.
  void set_drain_timer();
  void on_timer();
  // Reads on in what has come, up to the end of one request.
  void read_input();
  void start_request();
  void on_partial_request();
  void on_complete_request();
  // For a request that is not complete.
  void answer_and_close(transport::HttpResponse response);
  // The next request, when what runs now has returned.
  void read_next();
  void close_after_answer();

  HttpFront& front_;
  transport::Reactor& reactor_;  // also when the front is gone
  std::shared_ptr<transport::Stream> stream_;
  transport::HttpRequestReader reader_;
  ConnectionRequests requests_;
  Exchange exchange_;
  std::string input_;                                      // not read yet
  Time input_arrived_ = 0;                                 // the last of it
  core::Timer timer_;                                      // of whatever the client has to do next
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);  // for calls that are posted
  Time since_;                  // of the last change: connected, request begun, or answered
  bool request_seen_ = false;   // a complete request has come
  bool partial_ = false;        // a part of a request has come
  bool answering_ = false;      // a complete one has come and is not answered yet
  bool keep_alive_ = true;      // the connection stays after the present answer
  bool closing_ = false;        // this side has ended
  bool sent_continue_ = false;  // 100 Continue, for the present request
};

}  // namespace rushhill::frontends
