#include "membership/board_client.h"

#include <algorithm>
#include <utility>

namespace rushhill::membership {
namespace {

constexpr std::size_t longest_line = 4 * 1024 * 1024;  // bytes; some 20,000 servers
constexpr std::size_t shown = 120;                     // bytes of a line that cannot be read
constexpr Time beat_limit = 15'000;  // tenths of a millisecond; a line comes each second; two silences in 4 s
constexpr std::size_t progress = 4 * 1024;  // bytes of a line within that time, which is no silence either
constexpr Time slow_answer = 40'000;   // likewise; a watch that is silent for longer brings nothing in time
constexpr Time open_limit = 5'000;     // likewise; a board that does not open is tried again
constexpr Time first_pause = 300;      // before the next try; doubled up to
constexpr Time longest_pause = 4'800;  // which leaves several tries in the 2 s after which news count as told

EndpointListForm form_of(const Notice& notice) {
  return notice.whole ? EndpointListForm::complete : EndpointListForm::delta;
}

}  // namespace

// One connection to discovery, cut into lines.
class BoardClient::Watch final : public transport::StreamHandler {
 public:
  explicit Watch(BoardClient& client) : client_(client) {
    stream_ = transport::Stream::connect(client.reactor_, client.address_, *this);
  }
  ~Watch() override { close(); }
  void close() {
    closed_ = true;
    stream_->close();
  }
  bool established() const { return established_; }
  Time since() const { return since_; }  // when it was established

 private:
  void on_connected() override {
    established_ = true;
    since_ = client_.reactor_.now();
    stream_->write("watch " + std::to_string(client_.last_) + "\n");
    client_.silent_after(beat_limit);
  }
  void on_data(std::string_view bytes) override {
    in_ += bytes;
    std::size_t at = 0;
    for (std::size_t end = 0; (end = in_.find('\n', at)) != std::string::npos; at = end + 1) {
      client_.line(*this, std::string_view(in_).substr(at, end - at));
      if (closed_) return;  // it was no good: a new watch is on its way
    }
    in_.erase(0, at);
    if (in_.size() > longest_line) return client_.failed(*this, "endless line");
    if (at > 0) counted_ = 0;
    if (in_.size() < counted_ + progress) return;
    counted_ = in_.size();
    client_.alive(*this);
  }
  void on_closed(transport::CloseReason) override { client_.failed(*this, "broken"); }

  BoardClient& client_;
  std::shared_ptr<transport::Stream> stream_;
  std::string in_;
  std::size_t counted_ = 0;  // bytes of the line that is coming, when its last progress was noted
  Time since_ = 0;
  bool established_ = false, closed_ = false;
};

BoardClient::BoardClient(transport::Reactor& reactor, const transport::Address& address, std::int64_t last,
                         std::uint64_t seed, core::EventLog& diary, Heard heard)
    : reactor_(reactor), address_(address), last_(last),
      chance_(static_cast<std::uint_fast32_t>(seed % 16'777'216)), diary_(diary), heard_(std::move(heard)) {}

BoardClient::~BoardClient() { reactor_.cancel(alarm_); }

void BoardClient::watch(bool on) {
  following_ = on;
  if (on && !watch_) connect();
}

// The board has no word for the list as a whole: what is missing comes with a new watch.
void BoardClient::resync() {
  drop(silent_);
  again("asked");
}

void BoardClient::move_to(const transport::Address& address) {
  if (address == address_) return;
  address_ = address;
  failures_ = 0;
  drop(silent_);
  if (following_) again("moved");
}

void BoardClient::connect() {
  watch_ = std::make_shared<Watch>(*this);
  silent_after(open_limit);
}

void BoardClient::silent_after(Time span) {
  reactor_.cancel(alarm_);
  alarm_ = reactor_.at(reactor_.now() + span, [this] { fell_silent(); });
}

// It may only be slow: beside the next ones the oldest stays for a while, until one of them speaks. What is
// asked for anew each time would never come where its answer takes longer than the silence that is borne.
void BoardClient::fell_silent() {
  const bool slow = silent_ && reactor_.now() - silent_->since() < slow_answer;
  if (!slow) {
    drop(silent_);
    if (watch_->established()) silent_ = std::exchange(watch_, nullptr);
  }
  again("silent");
}

void BoardClient::alive(Watch& watch) {
  if (&watch == silent_.get()) watch_.swap(silent_);
  drop(silent_);
  silent_after(beat_limit);
}

void BoardClient::failed(Watch& watch, const char* why) {
  if (&watch == silent_.get()) return drop(silent_);
  again(why);
}

// It may be the one that is calling: it goes when that call has returned.
void BoardClient::drop(std::shared_ptr<Watch>& watch) {
  if (!watch) return;
  watch->close();
  reactor_.post([gone = std::exchange(watch, nullptr)] {});
}

void BoardClient::line(Watch& watch, std::string_view text) {
  while (!text.empty() && (text.back() == '\r' || text.back() == ' ')) text.remove_suffix(1);
  if (text.empty()) return;
  alive(watch);
  take(text);
  if (watch_.get() == &watch) silent_after(beat_limit);  // from when it is taken: a long list takes a while
}

void BoardClient::take(std::string_view text) {
  Notice notice;
  try {
    notice = read_line(text, as_told);
  } catch (const settings::BadField& wrong) {
    diary_.write(core::Level::warning, "notice cannot be read",
                 {{"reason", wrong.what()}, {"line", std::string(text.substr(0, shown))}});
    return again("unreadable");
  }
  if (notice.number <= last_) {  // told before, or a beat that agrees
    failures_ = 0;
    return;
  }
  if (notice.beat) return again("behind its number");
  if (!follows(notice)) return again("a gap");
  failures_ = 0;
  apply(std::move(notice));
}

void BoardClient::apply(Notice notice) {
  last_ = notice.number;
  start_times_.translate_update(reactor_.now(), form_of(notice), notice.entries);
  heard_(form_of(notice), notice.entries);
}

Known BoardClient::translated(Known initial) {
  const ClockReading at = read_clocks(reactor_);
  Time latest = 0;
  for (const Notice& notice : initial.notices) latest = std::max(latest, latest_start(notice.entries));
  for (Notice& notice : initial.notices)
    start_times_.translate_snapshot(at, latest, form_of(notice), notice.entries);
  return initial;
}

void BoardClient::catch_up(const Known& known) {
  for (const Notice& notice : known.notices) {
    if (notice.number <= last_) continue;
    if (!follows(notice)) return;  // what is missing comes with the watch
    apply(notice);
  }
}

// Doubling pauses, each with a part by chance, so that many routers do not come back in one moment.
void BoardClient::again(const char* why) {
  reactor_.cancel(alarm_);
  drop(watch_);
  if (!following_) return;
  diary_.write(core::Level::info, "watching again", {{"reason", why}, {"last", std::to_string(last_)}});
  const Time pause = std::min(first_pause << std::min(failures_++, 8), longest_pause);
  const double part = static_cast<double>(chance_()) / static_cast<double>(chance_.max());
  alarm_ = reactor_.at(reactor_.now() + static_cast<Time>(static_cast<double>(pause) * (0.5 + part / 2)),
                       [this] { connect(); });
}

}  // namespace rushhill::membership
