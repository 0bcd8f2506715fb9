#include "membership/roster_client.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace rushhill::membership {
namespace {

constexpr std::size_t longest_line = 32 * 1024 * 1024;  // bytes; 100,000 servers and their fields
constexpr int most_doublings = 5;                       // of the pause between tries; 32 times the first, or
constexpr Time longest_pause = 11'000;  // tenths of a millisecond; with its part by chance below 2 s
constexpr Time open_limit = 5'000;      // likewise; a source that does not open is tried again

}  // namespace

RosterClient::RosterClient(transport::Reactor& reactor, const transport::Address& address, int router,
                           Time retry, std::uint64_t seed, core::EventLog& diary, Heard heard)
    : reactor_(reactor), address_(address), router_(router), retry_(retry),
      chance_(static_cast<std::uint_fast32_t>(seed % 16'777'216)), diary_(diary), heard_(std::move(heard)) {}

RosterClient::~RosterClient() {
  reactor_.cancel(again_);
  if (stream_) stream_->close();
}

void RosterClient::watch(bool on) {
  following_ = on;
  if (open_) return ask(on ? "follow" : "rest");
  if (on && !stream_) connect();
}

void RosterClient::resync() {
  if (open_) return ask("reload");
  reload_due_ = true;
  if (!stream_) connect();
}

void RosterClient::connect() {
  reactor_.cancel(again_);
  in_.clear();
  stream_ = transport::Stream::connect(reactor_, address_, *this);
  stream_->keepalive();
  again_ = reactor_.at(reactor_.now() + open_limit, [this] {
    stream_->close();
    broke();
  });
}

void RosterClient::ask(const char* what) {
  stream_->write("{\"ask\":\"" + std::string(what) + "\",\"router\":" + std::to_string(router_) + "}\n");
}

void RosterClient::on_connected() {
  open_ = true;
  reactor_.cancel(again_);
  if (following_) ask("follow");
  if (std::exchange(reload_due_, false) && !following_) ask("reload");
}

void RosterClient::on_data(std::string_view bytes) {
  in_ += bytes;
  for (;;) {
    const std::size_t end = in_.find('\n');
    if (end == std::string::npos) break;
    const std::string line = in_.substr(0, end);
    in_.erase(0, end + 1);
    try {
      RosterWord word = read_word(line, 0);
      for (const std::string& remark : word.remarks)
        diary_.write(core::Level::warning, "roster disagrees with itself", {{"remark", remark}});
      failures_ = 0;
      take(std::move(word));
    } catch (const std::invalid_argument& wrong) {
      // The list as it stood stays in force; a complete one is asked for on a new connection.
      diary_.write(core::Level::warning, "roster's word cannot be read", {{"reason", wrong.what()}});
      stream_->close();
      return broke();
    }
  }
  if (in_.size() > longest_line) {
    diary_.write(core::Level::warning, "roster's word is too long", {});
    stream_->close();
    broke();
  }
}

void RosterClient::take(RosterWord word) {
  remembered_.hear(word);
  if (!std::exchange(heard_any_, true) && word.form == EndpointListForm::complete) {
    start_times_.translate_snapshot(read_clocks(reactor_), latest_start(word.entries), word.form,
                                    word.entries);
  } else {
    start_times_.translate_update(reactor_.now(), word.form, word.entries);
  }
  heard_(word.form, word.entries);
}

void RosterClient::on_closed(transport::CloseReason) { broke(); }

void RosterClient::broke() {
  open_ = false;
  reactor_.cancel(again_);
  reactor_.post([gone = std::move(stream_)] {});
  stream_.reset();
  heard_(EndpointListForm::failed, {});
  // Doubling pauses, each with a part by chance, so that many routers do not come back in one moment.
  const Time pause =
      std::min(retry_ << std::min(failures_++, most_doublings), std::max(retry_, longest_pause));
  const double part = 0.5 + static_cast<double>(chance_()) / static_cast<double>(chance_.max());
  if (following_ || reload_due_)
    again_ = reactor_.at(reactor_.now() + static_cast<Time>(static_cast<double>(pause) * part),
                         [this] { connect(); });
}

}  // namespace rushhill::membership
