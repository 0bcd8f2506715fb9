#include "command/send.h"

#include <iostream>
#include <random>

#include "events/cloudevent.h"
#include "transport/http.h"
#include "transport/loop.h"
#include "transport/reactor.h"

namespace rushhill::command {
namespace {

class Exchange final : public transport::StreamHandler {
 public:
  Exchange(transport::Reactor& reactor, const transport::Address& to, std::string bytes)
      : reactor_(reactor), bytes_(std::move(bytes)), reader_({.body = 64 * 1024 * 1024}) {
    stream_ = transport::Stream::connect(reactor, to, *this);
  }
  ~Exchange() override { stream_->close(); }
  void on_connected() override { stream_->write(bytes_); }
  void on_data(std::string_view bytes) override {
    in_ += bytes;
    const auto progress = reader_.put(in_);
    if (progress == transport::HttpProgress::more) return;
    if (progress == transport::HttpProgress::done) {
      const auto response = reader_.take();
      std::cout << response.status << ' ' << transport::reason_of(response.status) << '\n';
      for (const auto& [name, value] : response.headers) std::cout << name << ": " << value << '\n';
      std::cout << '\n' << response.body << '\n';
      result = response.status == 200 ? 0 : 1;
    } else {
      std::cerr << "rushhill: the answer is no HTTP\n";
    }
    reactor_.halt();
  }
  void on_closed(transport::CloseReason why) override {
    std::cerr << (why == transport::CloseReason::connect_failed ? "rushhill: no connection\n"
                                                                : "rushhill: connection lost\n");
    reactor_.halt();
  }
  int result = 4;

 private:
  transport::Reactor& reactor_;
  std::string bytes_, in_;
  transport::HttpResponseReader reader_;
  std::shared_ptr<transport::Stream> stream_;
};

}  // namespace

int send(const Sending& sending) {
  events::CloudEvent event{.id = sending.id, .source = sending.source, .type = sending.type};
  if (event.id.empty()) event.id = "by-hand-" + std::to_string(std::random_device{}());
  event.others["function"] = sending.function;
  if (!sending.customer.empty()) event.others["customer"] = sending.customer;
  if (!sending.data.empty()) event.data_content_type = "application/json";
  transport::HttpRequest request{.method = "POST", .target = "/", .headers = events::to_headers(event)};
  request.headers.emplace_back("host", sending.to);
  request.body = sending.data;
  transport::Loop reactor;
  Exchange exchange(reactor, transport::numeric_address(sending.to), transport::to_bytes(request));
  reactor.at(reactor.now() + Time{10} * sending.within_ms, [&] {
    std::cerr << "rushhill: no answer in time\n";
    reactor.halt();
  });
  reactor.run();
  return exchange.result;
}

}  // namespace rushhill::command
