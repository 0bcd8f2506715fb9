#include "lab/pump.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "events/cloudevent.h"
#include "transport/http.h"

namespace rushhill::lab {
namespace {

// Takes one whole HTTP message off the front, by its Content-Length; false: more is needed.
bool take_message(std::string& buffer, bool* honoured = nullptr) {
  const std::size_t head = buffer.find("\r\n\r\n");
  if (head == std::string::npos) return false;
  std::size_t length = 0;
  for (std::size_t at = buffer.find("\r\n"); at < head; at = buffer.find("\r\n", at + 2)) {
    constexpr std::string_view name = "content-length: ";
    const std::string_view field = std::string_view(buffer).substr(at + 2, name.size());
    const bool same = std::ranges::equal(
        field, name, [](char a, char b) { return a == b || (a >= 'A' && a <= 'Z' && a + 32 == b); });
    if (same) std::from_chars(buffer.data() + at + 2 + name.size(), buffer.data() + head, length);
  }
  if (buffer.size() < head + 4 + length) return false;
  if (honoured != nullptr) *honoured = buffer.starts_with("HTTP/1.1 2");
  buffer.erase(0, head + 4 + length);
  return true;
}

std::string prepared_answer() {
  const events::CloudEvent reply{
      .id = "r", .source = "/echo", .type = "echo.reply", .data_content_type = "application/json"};
  transport::HttpResponse response{.headers = events::to_headers(reply), .body = "{\"answer\":42}"};
  response.headers.emplace_back("rushhill-copy", "found");
  response.headers.emplace_back("endpoint-load-metrics", "TEXT cpu_utilization=0.3");
  return to_bytes(response);
}

}  // namespace

class Echo::Caller final : public transport::StreamHandler,
                           public std::enable_shared_from_this<Echo::Caller> {
 public:
  Caller(Echo& echo, const transport::PendingConnection& arrival) : echo_(echo) {
    stream_ = transport::Stream::adopt(echo.reactor_, arrival, *this);
  }
  ~Caller() override { stream_->close(); }
  void on_data(std::string_view bytes) override {
    in_ += bytes;
    while (take_message(in_)) {
      if (echo_.work_ == 0) {
        answer();
      } else if (echo_.busy_ < echo_.lanes_) {
        echo_.work(shared_from_this());
      } else {
        echo_.queue_.push_back(weak_from_this());
      }
    }
  }
  void answer() {
    static const std::string bytes = prepared_answer();
    if (echo_.left_ == 0 || stream_->closed()) return;
    if (echo_.left_ > 0) --echo_.left_;
    stream_->write(bytes);
  }
  void on_closed(transport::CloseReason) override {
    const auto it = echo_.callers_.find(this);
    echo_.reactor_.post([gone = it->second] {});
    echo_.callers_.erase(it);
  }

 private:
  Echo& echo_;
  std::shared_ptr<transport::Stream> stream_;
  std::string in_;
};

Echo::Echo(transport::Reactor& reactor, const transport::Address& address, std::int64_t& left, Time work,
           int lanes)
    : reactor_(reactor), left_(left), work_(work), lanes_(lanes),
      listener_(reactor, address, true, [this](const auto& arrival) {
        const auto caller = std::make_shared<Caller>(*this, arrival);
        callers_.emplace(caller.get(), caller);
      }) {}
Echo::~Echo() = default;

void Echo::work(const std::shared_ptr<Caller>& caller) {
  ++busy_;
  reactor_.at(reactor_.now() + work_, [this, caller] {
    --busy_;
    caller->answer();
    while (!queue_.empty() && busy_ < lanes_) {
      const auto next = queue_.front().lock();
      queue_.pop_front();
      if (next) work(next);
    }
  });
}

class EventLoopDriver::Line final : public transport::StreamHandler {
 public:
  Line(EventLoopDriver& pump, const transport::Address& to) : pump_(pump) {
    stream = transport::Stream::connect(pump.reactor_, to, *this);
  }
  ~Line() override { stream->close(); }
  void on_connected() override { pump_.answered(*this, false); }
  void on_data(std::string_view bytes) override {
    in_ += bytes;
    bool honoured = false;
    if (take_message(in_, &honoured)) pump_.answered(*this, honoured);
  }
  void on_closed(transport::CloseReason) override { pump_.broken(*this); }

  std::shared_ptr<transport::Stream> stream;
  std::int64_t intended = 0;  // of the request that is out; 0: none

 private:
  EventLoopDriver& pump_;
  std::string in_;
};

EventLoopDriver::EventLoopDriver(transport::Reactor& reactor, std::vector<transport::Address> to,
                                 const Pumping& how)
    : reactor_(reactor), to_(std::move(to)), how_(how) {
  for (int i = 0; i < how.functions; ++i) {
    events::CloudEvent event{.id = "e", .source = "/pump", .type = "lookup"};
    event.others = {{"function", "f-" + std::to_string(i)}, {"lanes", "1000"}};
    transport::HttpRequest request{.method = "POST", .target = "/"};
    if (how.batch == 0) {
      request.headers = events::to_headers(event);
    } else {
      request.headers = {{"content-type", "application/cloudevents-batch+json"}};
      request.body = "[";
      for (int k = 0; k < how.batch; ++k) request.body += (k > 0 ? "," : "") + events::to_json(event);
      request.body += "]";
    }
    request.headers.emplace_back("host", "bench");
    requests_.push_back(to_bytes(request));
  }
}
EventLoopDriver::~EventLoopDriver() = default;

void EventLoopDriver::run() {
  began_ = transport::monotonic_ns();
  ends_ = reactor_.now() + how_.span;
  count_from_ = began_ + how_.span * 20'000;  // a fifth of the span, in nanoseconds
  next_ = began_;
  for (int i = 0; i < how_.connections; ++i)
    lines_.push_back(std::make_shared<Line>(*this, to_[static_cast<std::size_t>(i) % to_.size()]));
  if (how_.rate > 0) pace();
  reactor_.at(ends_, [this] {
    result_.seconds = static_cast<double>(transport::monotonic_ns() - count_from_) / 1e9;
    reactor_.halt();
  });
  reactor_.run();
}

// The moments that have come: each goes out now, or waits for a connection, and counts from its own moment.
void EventLoopDriver::pace() {
  const std::int64_t now = transport::monotonic_ns();
  const auto step = static_cast<std::int64_t>(1e9 / how_.rate);
  for (; next_ <= now; next_ += step) {
    late_.push_back(next_);
    result_.offered += next_ >= count_from_ ? 1 : 0;
  }
  std::size_t used = 0;
  while (used < late_.size() && !idle_.empty()) {
    Line* line = idle_.back();
    idle_.pop_back();
    send(*line, late_[used++]);
  }
  late_.erase(late_.begin(), late_.begin() + static_cast<std::ptrdiff_t>(used));
  reactor_.post([this] { pace(); });  // turning without rest: a client's own delay must not count
}

void EventLoopDriver::send(Line& line, std::int64_t intended_ns) {
  line.intended = intended_ns;
  line.stream->write(requests_[static_cast<std::size_t>(sent_++) % requests_.size()]);
}

void Pumped::note(std::int64_t after_ns, bool was_honoured, Time due) {
  ++answered;
  honoured += was_honoured ? 1 : 0;
  in_time += was_honoured && (due == 0 || after_ns <= due * 100'000) ? 1 : 0;
  latencies_us.push_back(static_cast<double>(after_ns) / 1e3);
}

void EventLoopDriver::answered(Line& line, bool honoured) {
  const std::int64_t now = transport::monotonic_ns();
  if (line.intended != 0 && line.intended >= count_from_)
    result_.note(now - line.intended, honoured, how_.due);
  line.intended = 0;
  if (how_.rate <= 0) return send(line, now);
  if (late_.empty()) return idle_.push_back(&line);
  const std::int64_t oldest = late_.front();
  late_.erase(late_.begin());
  send(line, oldest);
}

void EventLoopDriver::broken(Line& line) {
  ++result_.failed;
  std::erase(idle_, &line);
}

std::string as_json(const Pumped& result) {
  std::vector<double> sorted = result.latencies_us;
  std::ranges::sort(sorted);
  const auto at = [&](double share) {
    return sorted.empty() ? 0
                          : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
  };
  return nlohmann::json{{"offered", result.offered},
                        {"answered", result.answered},
                        {"honoured", result.honoured},
                        {"in_time", result.in_time},
                        {"failed", result.failed},
                        {"seconds", result.seconds},
                        {"per_second", static_cast<double>(result.answered) / std::max(result.seconds, 1e-9)},
                        {"median_us", at(0.5)},
                        {"p99_us", at(0.99)}}
      .dump();
}

}  // namespace rushhill::lab
