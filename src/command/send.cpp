#include "command/send.h"

#include <iostream>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <utility>

#include "events/cloudevent.h"
#include "transport/http.h"
#include "transport/loop.h"
#include "transport/reactor.h"

namespace rushhill::command {
namespace {

constexpr Time millisecond = 10;
constexpr std::size_t longest_answer = 64 * 1024 * 1024;  // bytes
constexpr int http_ok = 200;

struct SendOptions {
  std::string to;
  std::string type;
  std::string function;
  std::string tenant;  // empty: none is named
  std::string id;      // empty: drawn
  std::string source = "/rushhill/send";
  std::string data;
  int within_ms = 5000;
};

// Sends one request over a connection of its own and prints the answer; halts the reactor at its end.
class Exchange final : public transport::StreamHandler {
 public:
  Exchange(transport::Reactor& reactor, const transport::Address& to, std::string bytes)
      : reactor_(reactor), bytes_(std::move(bytes)), reader_({.body = longest_answer}) {
    stream_ = transport::Stream::connect(reactor, to, *this);
  }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  Exchange(Exchange&&) = delete;
  Exchange& operator=(Exchange&&) = delete;
  ~Exchange() override { stream_->close(); }

  // Of the answer; `unavailable` until there is one.
  ExitCode exit_code() const { return exit_code_; }

  void on_connected() override { stream_->write(bytes_); }

  void on_data(std::string_view bytes) override {
    received_ += bytes;
    const auto progress = reader_.put(received_);
    if (progress == transport::HttpProgress::more) return;
    if (progress == transport::HttpProgress::done) {
      print(reader_.take());
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

 private:
  void print(const transport::HttpResponse& response) {
    std::cout << response.status << ' ' << transport::reason_of(response.status) << '\n';
    for (const auto& [name, value] : response.headers) std::cout << name << ": " << value << '\n';
    std::cout << '\n' << response.body << '\n';
    exit_code_ = response.status == http_ok ? ExitCode::success : ExitCode::not_kept;
  }

  transport::Reactor& reactor_;
  std::string bytes_;
  std::string received_;
  transport::HttpResponseReader reader_;
  std::shared_ptr<transport::Stream> stream_;
  ExitCode exit_code_ = ExitCode::unavailable;
};

transport::HttpRequest request_of(const SendOptions& options) {
  events::CloudEvent event{.id = options.id, .source = options.source, .type = options.type};
  if (event.id.empty()) event.id = "by-hand-" + std::to_string(std::random_device{}());
  event.others["function"] = options.function;
  if (!options.tenant.empty()) event.others["customer"] = options.tenant;
  if (!options.data.empty()) event.data_content_type = "application/json";
  transport::HttpRequest request{.method = "POST", .target = "/", .headers = events::to_headers(event)};
  request.headers.emplace_back("host", options.to);
  request.body = options.data;
  return request;
}

ExitCode send(const SendOptions& options) {
  const transport::HttpRequest request = request_of(options);
  transport::Loop reactor;
  Exchange exchange(reactor, transport::numeric_address(options.to), transport::to_bytes(request));
  reactor.at(reactor.now() + millisecond * options.within_ms, [&] {
    std::cerr << "rushhill: no answer in time\n";
    reactor.halt();
  });
  reactor.run();
  return exchange.exit_code();
}

}  // namespace

Command add_send(CLI::App& app) {
  const auto options = std::make_shared<SendOptions>();
  CLI::App* send_app = app.add_subcommand("send", "send one event by hand and print its answer");
  send_app->add_option("--to", options->to, "the router's address")->required();
  send_app->add_option("--type", options->type, "the event's type")->required();
  send_app->add_option("--function", options->function, "the function it calls")->required();
  send_app->add_option("--customer", options->tenant, "the customer");
  send_app->add_option("--id", options->id, "the event's id; drawn where not given");
  send_app->add_option("--source", options->source, "the event's source");
  send_app->add_option("--data", options->data, "the payload, JSON");
  send_app->add_option("--within", options->within_ms, "milliseconds to wait")
      ->check(CLI::Range(1, 3'600'000));
  return {.app = send_app, .run = [options] { return send(*options); }};
}

}  // namespace rushhill::command
