#include "membership/board_client.h"

#include <algorithm>
#include <utility>

#include "membership/roster_client.h"

namespace rushhill::membership {
namespace {

constexpr std::size_t longest_line = 4 * 1024 * 1024;  // bytes; some 20,000 servers
constexpr std::size_t shown = 120;                     // bytes of a line that cannot be read
constexpr Time beat_limit = 15'000;  // tenths of a millisecond; a line comes each second; two silences in 4 s
constexpr std::size_t progress = 64 * 1024;  // bytes of a line within that time, which is no silence either
constexpr Time open_limit = 5'000;           // likewise; a board that does not open is tried again
constexpr Time first_pause = 300;            // before the next try; doubled up to
constexpr Time longest_pause = 4'800;  // which leaves several tries in the 2 s after which news count as told

}  // namespace

BoardClient::BoardClient(transport::Reactor& reactor, const transport::Address& address, std::int64_t last,
                         std::uint64_t seed, core::Diary& diary, Heard heard)
    : reactor_(reactor), address_(address), last_(last),
      chance_(static_cast<std::uint_fast32_t>(seed % 16'777'216)), diary_(diary), heard_(std::move(heard)),
      wall_offset_(wall_offset_now(reactor)) {}

BoardClient::~BoardClient() {
  reactor_.withdraw(alarm_);
  if (stream_) stream_->close();
}

void BoardClient::follow(bool on) {
  following_ = on;
  if (on && !stream_) connect();
}

// The board has no word for the list as a whole: what is missing comes with a new watch.
void BoardClient::reload() { again("asked"); }

void BoardClient::move_to(const transport::Address& address) {
  if (address == address_) return;
  address_ = address;
  failures_ = 0;
  if (following_) again("moved");
}

void BoardClient::connect() {
  in_.clear();
  counted_ = 0;
  stream_ = transport::Stream::connect(reactor_, address_, *this);
  silent_after(open_limit);
}

void BoardClient::silent_after(Time span) {
  reactor_.withdraw(alarm_);
  alarm_ = reactor_.at(reactor_.now() + span, [this] { again("silent"); });
}

void BoardClient::opened() {
  stream_->write("watch " + std::to_string(last_) + "\n");
  silent_after(beat_limit);
}

void BoardClient::arrived(std::string_view bytes) {
  in_ += bytes;
  std::size_t at = 0;
  const auto stream = stream_;
  for (;;) {
    const std::size_t end = in_.find('\n', at);
    if (end == std::string::npos) break;
    const std::string text = in_.substr(at, end - at);
    at = end + 1;
    line(text);
    if (stream_ != stream) return;  // it was no good: a new watch is on its way
  }
  in_.erase(0, at);
  if (in_.size() > longest_line) return again("endless line");
  if (at > 0) counted_ = 0;
  if (in_.size() < counted_ + progress) return;
  counted_ = in_.size();
  silent_after(beat_limit);
}

void BoardClient::line(std::string_view text) {
  while (!text.empty() && (text.back() == '\r' || text.back() == ' ')) text.remove_suffix(1);
  if (text.empty()) return;
  const auto stream = stream_;
  take(text);
  if (stream_ == stream) silent_after(beat_limit);  // from when it is taken: a long list takes a while
}

void BoardClient::take(std::string_view text) {
  Notice notice;
  try {
    notice = read_line(text, wall_offset_);
  } catch (const told::BadField& wrong) {
    diary_.line(core::Level::warning, "notice cannot be read",
                {{"reason", wrong.what()}, {"line", std::string(text.substr(0, shown))}});
    return again("unreadable");
  }
  if (notice.number <= last_) {  // told before, or a beat that agrees
    failures_ = 0;
    return;
  }
  if (notice.beat) return again("behind its number");
  if (notice.number > last_ + 1 && !notice.whole) return again("a gap");
  failures_ = 0;
  last_ = notice.number;
  heard_(notice.whole ? RosterForm::complete : RosterForm::changes, notice.entries);
}

void BoardClient::lost(transport::Loss) { again("broken"); }

// Doubling pauses, each with a part by chance, so that many routers do not come back in one moment.
void BoardClient::again(const char* why) {
  reactor_.withdraw(alarm_);
  if (stream_) {
    stream_->close();
    reactor_.soon([gone = std::move(stream_)] {});
    stream_.reset();
  }
  if (!following_) return;
  diary_.line(core::Level::info, "watching again", {{"reason", why}, {"last", std::to_string(last_)}});
  const Time pause = std::min(first_pause << std::min(failures_++, 8), longest_pause);
  const double part = static_cast<double>(chance_()) / static_cast<double>(chance_.max());
  alarm_ = reactor_.at(reactor_.now() + static_cast<Time>(static_cast<double>(pause) * (0.5 + part / 2)),
                       [this] { connect(); });
}

}  // namespace rushhill::membership
