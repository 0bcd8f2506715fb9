// Follows a roster source over a line protocol on TCP: asks, reads words, comes back after a break.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "core/endpoint_list_source.h"
#include "core/event_log.h"
#include "membership/roster_words.h"
#include "membership/start_times.h"
#include "transport/reactor.h"

namespace rushhill::membership {

class RosterClient final : public core::EndpointListSource, private transport::StreamHandler {
 public:
  using Heard = std::function<void(EndpointListForm, const std::vector<core::EndpointListEntry>&)>;

  RosterClient(transport::Reactor& reactor, const transport::Address& address, int router, Time retry,
               std::uint64_t seed, core::EventLog& diary, Heard heard);
  ~RosterClient() override;

  // Asks from now on, also again after every break; `on` as in Host::follow.
  void watch(bool on) override;
  void resync() override;

  bool heard_any() const { return heard_any_; }
  // The list as it was told, its start times in Unix time.
  const Remembered& remembered() const { return remembered_; }
  StartTimeTranslator& start_times() { return start_times_; }

 private:
  void connect();
  void ask(const char* what);
  void take(RosterWord word);
  void broke();
  void on_connected() override;
  void on_data(std::string_view bytes) override;
  void on_closed(transport::CloseReason why) override;

  transport::Reactor& reactor_;
  transport::Address address_;
  int router_;
  Time retry_;
  std::ranlux24_base chance_;
  core::EventLog& diary_;
  Heard heard_;
  std::shared_ptr<transport::Stream> stream_;
  core::Timer again_;
  std::string in_;
  Remembered remembered_;
  StartTimeTranslator start_times_;
  int failures_ = 0;
  bool following_ = false, reload_due_ = false, open_ = false, heard_any_ = false;
};

}  // namespace rushhill::membership
