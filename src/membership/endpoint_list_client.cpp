#include "membership/endpoint_list_client.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace rushhill::membership {
namespace {

constexpr std::size_t max_line_bytes = 32 * 1024 * 1024;  // A list of 100,000 servers fits.
// The pause between connection attempts doubles up to 32 times the first one, and not beyond max_backoff
// unless the first one is longer. Times are in tenths of a millisecond. With its jitter, max_backoff stays
// below 2 s.
constexpr int max_doublings = 5;
constexpr Time max_backoff = 11'000;
// A connection that is not established within this time is given up and retried.
constexpr Time connect_timeout = 5'000;
// The pause after an attempt that this machine lacked a resource for, and after one that failed while the
// client, which has just started, waits for its first list.
constexpr Time short_pause = 200;
// How long connections have to fail until discovery counts as unreachable: it may be away for a moment only.
constexpr Time unreachable_after = 3'000;

const char* name_of(transport::CloseReason reason) {
  switch (reason) {
    case transport::CloseReason::connect_failed:
      return "connect failed";
    case transport::CloseReason::closed_by_peer:
      return "closed by discovery";
    case transport::CloseReason::reset:
      return "reset";
    case transport::CloseReason::not_started:
      return "this machine lacks a resource";
  }
  return "unknown";
}

}  // namespace

EndpointListClient::EndpointListClient(transport::Reactor& reactor, const transport::Address& address,
                                       int router, Time initial_backoff, std::uint64_t seed,
                                       core::EventLog& event_log, ListCallback on_list)
    : reactor_(reactor), address_(address), router_(router), initial_backoff_(initial_backoff),
      random_(static_cast<std::uint_fast32_t>(seed % 16'777'216)), event_log_(event_log),
      on_list_(std::move(on_list)) {}

EndpointListClient::~EndpointListClient() {
  reactor_.cancel(timer_);
  if (stream_) stream_->close();
}

void EndpointListClient::watch(bool on) {
  watching_ = on;
  if (connected_) return send_request(on ? "follow" : "rest");
  if (on && !stream_) connect();
}

void EndpointListClient::resync() {
  if (connected_) return send_request("reload");
  resync_pending_ = true;
  if (!stream_) connect();
}

void EndpointListClient::connect() {
  reactor_.cancel(timer_);
  input_.clear();
  stream_ = transport::Stream::connect(reactor_, address_, *this);
  stream_->keepalive();
  timer_ = reactor_.at(reactor_.now() + connect_timeout, [this] {
    stream_->close();
    unreachable_ = true;
    on_connection_lost("connect timeout", next_backoff());
  });
}

void EndpointListClient::send_request(const char* request) {
  stream_->write("{\"ask\":\"" + std::string(request) + "\",\"router\":" + std::to_string(router_) + "}\n");
}

void EndpointListClient::on_connected() {
  connected_ = true;
  unreachable_ = false;
  connect_failing_since_.reset();
  reactor_.cancel(timer_);
  if (watching_) send_request("follow");
  if (std::exchange(resync_pending_, false) && !watching_) send_request("reload");
}

void EndpointListClient::on_data(std::string_view bytes) {
  input_ += bytes;
  for (;;) {
    const std::size_t end = input_.find('\n');
    if (end == std::string::npos) break;
    const std::string line = input_.substr(0, end);
    input_.erase(0, end + 1);
    try {
      EndpointListMessage message = read_endpoint_list_message(line, 0);
      for (const std::string& inconsistency : message.remarks)
        event_log_.write(core::Level::warning, "endpoint list contradicts itself",
                         {{"remark", inconsistency}});
      record_success();
      apply_message(std::move(message));
    } catch (const std::invalid_argument& error) {
      // The list received before stays in use. A new connection requests a complete one.
      event_log_.write(core::Level::warning, "cannot read an endpoint list message; closing the connection",
                       {{"reason", error.what()}});
      stream_->close();
      return on_connection_lost("invalid message", next_backoff());
    }
  }
  if (input_.size() > max_line_bytes) {
    event_log_.write(core::Level::warning,
                     "endpoint list message is longer than 32 MiB; closing the connection", {});
    stream_->close();
    on_connection_lost("message too long", next_backoff());
  }
}

void EndpointListClient::record_success() {
  failures_ = 0;
  if (std::exchange(unavailable_, false))
    event_log_.write(core::Level::info, "service discovery answers again", {});
}

void EndpointListClient::apply_message(EndpointListMessage message) {
  list_.hear(message);
  if (!std::exchange(received_any_, true) && message.form == EndpointListForm::complete) {
    start_times_.translate_snapshot(read_clocks(reactor_), latest_start(message.entries), message.form,
                                    message.entries);
  } else {
    start_times_.translate_update(reactor_.now(), message.form, message.entries);
  }
  on_list_(message.form, message.entries);
}

void EndpointListClient::on_closed(transport::CloseReason reason) {
  on_connection_lost(name_of(reason), pause_after(reason));
}

Time EndpointListClient::pause_after(transport::CloseReason reason) {
  if (reason == transport::CloseReason::not_started) return short_pause;
  if (reason != transport::CloseReason::connect_failed) return next_backoff();
  if (!connect_failing_since_) connect_failing_since_ = reactor_.now();
  unreachable_ |= reactor_.now() - *connect_failing_since_ >= unreachable_after;
  return unreachable_ || received_any_ ? next_backoff() : short_pause;
}

Time EndpointListClient::next_backoff() {
  return std::min(initial_backoff_ << std::min(failures_++, max_doublings),
                  std::max(initial_backoff_, max_backoff));
}

// Waits for the pause with random jitter, so that many routers do not reconnect at the same moment. Logs the
// first loss of a series.
void EndpointListClient::on_connection_lost(const char* reason, Time pause) {
  connected_ = false;
  reactor_.cancel(timer_);
  reactor_.post([closed = std::move(stream_)] {});
  stream_.reset();
  if (!std::exchange(unavailable_, true))
    event_log_.write(core::Level::info, "no connection to service discovery", {{"reason", reason}});
  on_list_(EndpointListForm::failed, {});
  const double jitter = 0.5 + static_cast<double>(random_()) / static_cast<double>(random_.max());
  if (watching_ || resync_pending_)
    timer_ = reactor_.at(reactor_.now() + static_cast<Time>(static_cast<double>(pause) * jitter),
                         [this] { connect(); });
}

}  // namespace rushhill::membership
