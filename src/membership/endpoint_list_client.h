// The client of a service discovery that sends the endpoint list over TCP, one JSON message per line. Watches
// the list or requests it once, and reconnects after a broken connection.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "core/endpoint_list_source.h"
#include "core/event_log.h"
#include "membership/endpoint_list_messages.h"
#include "membership/start_times.h"
#include "transport/reactor.h"

namespace rushhill::membership {

class EndpointListClient final : public core::EndpointListSource, private transport::StreamHandler {
 public:
  using ListCallback = std::function<void(EndpointListForm, const std::vector<core::EndpointListEntry>&)>;

  EndpointListClient(transport::Reactor& reactor, const transport::Address& address, int router,
                     Time initial_backoff, std::uint64_t seed, core::EventLog& event_log,
                     ListCallback on_list);
  ~EndpointListClient() override;

  // Starts or ends the watch of changes. While it is on, every new connection requests it again.
  void watch(bool on) override;
  void resync() override;

  bool received_any() const { return received_any_; }
  // Whether connecting has failed for some time or has timed out. Attempts for which this machine lacked a
  // resource do not count.
  bool unreachable() const { return unreachable_; }
  // Returns the list as discovery sent it, with start times in Unix time.
  const CurrentEndpointList& remembered() const { return list_; }
  StartTimeTranslator& start_times() { return start_times_; }

 private:
  void connect();
  void send_request(const char* request);
  void record_success();
  void apply_message(EndpointListMessage message);
  Time pause_after(transport::CloseReason reason);
  Time next_backoff();
  void on_connection_lost(const char* reason, Time pause);
  void on_connected() override;
  void on_data(std::string_view bytes) override;
  void on_closed(transport::CloseReason reason) override;

  transport::Reactor& reactor_;
  transport::Address address_;
  int router_;
  Time initial_backoff_;
  std::ranlux24_base random_;
  core::EventLog& event_log_;
  ListCallback on_list_;
  std::shared_ptr<transport::Stream> stream_;
  core::Timer timer_;
  std::string input_;
  CurrentEndpointList list_;
  StartTimeTranslator start_times_;
  int failures_ = 0;
  bool watching_ = false, resync_pending_ = false, connected_ = false, received_any_ = false;
  std::optional<Time> connect_failing_since_;  // the first failure since the last connection
  bool unreachable_ = false;
  bool unavailable_ = false;  // whether the connection was lost and no message has come since
};

}  // namespace rushhill::membership
