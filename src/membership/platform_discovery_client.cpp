#include "membership/platform_discovery_client.h"

#include <algorithm>
#include <utility>

namespace rushhill::membership {
namespace {

constexpr std::size_t max_line_bytes = 4 * 1024 * 1024;  // A list of some 20,000 servers fits.
constexpr std::size_t max_logged_bytes = 120;            // of a line that cannot be read

// Times are in tenths of a millisecond. Discovery sends a line each second. An update counts as known to this
// router 4 s after discovery fell silent. With this timeout, two silent watches in a row are replaced before
// that.
constexpr Time silence_timeout = 15'000;
// Receiving this much of an unfinished line within the timeout counts as activity.
constexpr std::size_t min_progress_bytes = 4 * 1024;
// A watch that was connected longer ago and is still silent cannot deliver an update in time.
constexpr Time slow_watch_timeout = 40'000;
// A connection that is not established within this time is given up and retried.
constexpr Time connect_timeout = 5'000;
// The pause before a new watch doubles from the first value to the second. The maximum leaves several
// attempts within the 2 s after which an update counts as known to this router.
constexpr Time initial_backoff = 300;
constexpr Time max_backoff = 4'800;

EndpointListForm form_of(const WatchEvent& event) {
  return event.whole ? EndpointListForm::complete : EndpointListForm::delta;
}

}  // namespace

// One connection to service discovery. Splits what it receives into lines.
class PlatformDiscoveryClient::Watch final : public transport::StreamHandler {
 public:
  explicit Watch(PlatformDiscoveryClient& client) : client_(client) {
    stream_ = transport::Stream::connect(client.reactor_, client.address_, *this);
  }
  ~Watch() override { close(); }
  void close() {
    closed_ = true;
    stream_->close();
  }
  bool connected() const { return connected_; }
  Time connected_since() const { return connected_since_; }

 private:
  void on_connected() override {
    connected_ = true;
    connected_since_ = client_.reactor_.now();
    stream_->write("watch " + std::to_string(client_.last_revision_) + "\n");
    client_.start_timeout(silence_timeout);
  }
  void on_data(std::string_view bytes) override {
    input_ += bytes;
    std::size_t at = 0;
    for (std::size_t end = 0; (end = input_.find('\n', at)) != std::string::npos; at = end + 1) {
      client_.on_line(*this, std::string_view(input_).substr(at, end - at));
      if (closed_) return;  // The line was not accepted, and a new watch has been scheduled.
    }
    input_.erase(0, at);
    if (input_.size() > max_line_bytes) return client_.on_failure(*this, "line too long");
    if (at > 0) reported_bytes_ = 0;
    if (input_.size() < reported_bytes_ + min_progress_bytes) return;
    reported_bytes_ = input_.size();
    client_.on_progress(*this);
  }
  void on_closed(transport::CloseReason) override { client_.on_failure(*this, "broken"); }

  PlatformDiscoveryClient& client_;
  std::shared_ptr<transport::Stream> stream_;
  std::string input_;
  std::size_t reported_bytes_ = 0;  // length of the unfinished line when progress was last reported
  Time connected_since_ = 0;
  bool connected_ = false, closed_ = false;
};

PlatformDiscoveryClient::PlatformDiscoveryClient(transport::Reactor& reactor,
                                                 const transport::Address& address,
                                                 std::int64_t last_revision, std::uint64_t seed,
                                                 core::EventLog& event_log, ListCallback on_list)
    : reactor_(reactor), address_(address), last_revision_(last_revision),
      random_(static_cast<std::uint_fast32_t>(seed % 16'777'216)), event_log_(event_log),
      on_list_(std::move(on_list)) {}

PlatformDiscoveryClient::~PlatformDiscoveryClient() { reactor_.cancel(timer_); }

void PlatformDiscoveryClient::watch(bool on) {
  watching_ = on;
  if (on && !current_watch_) connect();
}

// The protocol has no request for a complete list. A new watch brings what was missed.
void PlatformDiscoveryClient::resync() {
  close_watch(silent_watch_);
  restart_watch("asked");
}

void PlatformDiscoveryClient::move_to(const transport::Address& address) {
  if (address == address_) return;
  address_ = address;
  failures_ = 0;
  close_watch(silent_watch_);
  if (watching_) restart_watch("moved");
}

void PlatformDiscoveryClient::connect() {
  current_watch_ = std::make_shared<Watch>(*this);
  start_timeout(connect_timeout);
}

void PlatformDiscoveryClient::start_timeout(Time span) {
  reactor_.cancel(timer_);
  timer_ = reactor_.at(reactor_.now() + span, [this] { on_timeout(); });
}

// Keeps the oldest silent watch for a while beside the new ones, until one of them receives data: discovery
// may only be slow. If every watch were closed on its timeout, an answer that takes longer than the timeout
// would never be received.
void PlatformDiscoveryClient::on_timeout() {
  const bool slow = silent_watch_ && reactor_.now() - silent_watch_->connected_since() < slow_watch_timeout;
  if (!slow) {
    close_watch(silent_watch_);
    if (current_watch_->connected()) silent_watch_ = std::exchange(current_watch_, nullptr);
  }
  restart_watch("silent");
}

void PlatformDiscoveryClient::on_progress(Watch& watch) {
  if (&watch == silent_watch_.get()) current_watch_.swap(silent_watch_);
  close_watch(silent_watch_);
  start_timeout(silence_timeout);
}

void PlatformDiscoveryClient::on_failure(Watch& watch, const char* reason) {
  if (&watch == silent_watch_.get()) return close_watch(silent_watch_);
  restart_watch(reason);
}

// The watch may be the caller, so it is destroyed only after that call has returned.
void PlatformDiscoveryClient::close_watch(std::shared_ptr<Watch>& watch) {
  if (!watch) return;
  watch->close();
  reactor_.post([closed = std::exchange(watch, nullptr)] {});
}

void PlatformDiscoveryClient::on_line(Watch& watch, std::string_view text) {
  while (!text.empty() && (text.back() == '\r' || text.back() == ' ')) text.remove_suffix(1);
  if (text.empty()) return;
  on_progress(watch);
  process_line(text);
  if (current_watch_.get() == &watch)
    start_timeout(silence_timeout);  // Processing a long list takes a while and is not silence.
}

void PlatformDiscoveryClient::process_line(std::string_view text) {
  WatchEvent event;
  try {
    event = read_line(text, as_told);
  } catch (const settings::BadField& error) {
    event_log_.write(core::Level::warning, "cannot read a line from service discovery",
                     {{"reason", error.what()}, {"line", std::string(text.substr(0, max_logged_bytes))}});
    return restart_watch("unreadable");
  }
  if (event.revision <= last_revision_) {  // an event received before, or a heartbeat without anything newer
    failures_ = 0;
    return;
  }
  if (event.heartbeat) return restart_watch("heartbeat shows a missed event");
  if (!is_next(event)) return restart_watch("gap in the revisions");
  failures_ = 0;
  apply_event(std::move(event));
}

void PlatformDiscoveryClient::apply_event(WatchEvent event) {
  last_revision_ = event.revision;
  start_times_.translate_update(reactor_.now(), form_of(event), event.entries);
  on_list_(form_of(event), event.entries);
}

Known PlatformDiscoveryClient::translated(Known initial) {
  const ClockReading at = read_clocks(reactor_);
  Time latest = 0;
  for (const WatchEvent& event : initial.notices) latest = std::max(latest, latest_start(event.entries));
  for (WatchEvent& event : initial.notices)
    start_times_.translate_snapshot(at, latest, form_of(event), event.entries);
  return initial;
}

void PlatformDiscoveryClient::apply_newer_events(const Known& list) {
  for (const WatchEvent& event : list.notices) {
    if (event.revision <= last_revision_) continue;
    if (!is_next(event)) return;  // The watch will bring the missing events.
    apply_event(event);
  }
}

// Waits with exponential backoff and random jitter, so that many routers do not reconnect at the same moment.
void PlatformDiscoveryClient::restart_watch(const char* reason) {
  reactor_.cancel(timer_);
  close_watch(current_watch_);
  if (!watching_) return;
  event_log_.write(core::Level::info, "restarting the discovery watch",
                   {{"reason", reason}, {"last", std::to_string(last_revision_)}});
  const Time pause = std::min(initial_backoff << std::min(failures_++, 8), max_backoff);
  const double jitter = static_cast<double>(random_()) / static_cast<double>(random_.max());
  timer_ = reactor_.at(reactor_.now() + static_cast<Time>(static_cast<double>(pause) * (0.5 + jitter / 2)),
                       [this] { connect(); });
}

}  // namespace rushhill::membership
