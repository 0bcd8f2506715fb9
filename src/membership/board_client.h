// Follows the platform's notice board: watches from the last event that came whole, comes back after a break,
// a gap or a silence, and goes to another address when told.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "core/endpoint_list_source.h"
#include "core/event_log.h"
#include "membership/board_words.h"
#include "membership/start_times.h"
#include "transport/reactor.h"

namespace rushhill::membership {

class BoardClient final : public core::EndpointListSource {
 public:
  using Heard = std::function<void(EndpointListForm, const std::vector<core::EndpointListEntry>&)>;

  BoardClient(transport::Reactor& reactor, const transport::Address& address, std::int64_t last,
              std::uint64_t seed, core::EventLog& diary, Heard heard);
  ~BoardClient() override;

  void watch(bool on) override;
  void resync() override;
  void move_to(const transport::Address& address);  // the numbers go on there
  // The initial endpoint list with its start times on this process's clock; before anything else is heard.
  Known translated(Known initial);
  // Takes what another source, a new configuration, tells beyond what has been heard here.
  void catch_up(const Known& known);
  std::int64_t last() const { return last_; }

 private:
  class Watch;
  void connect();
  void line(Watch& watch, std::string_view text);
  void alive(Watch& watch);
  void failed(Watch& watch, const char* why);
  void fell_silent();
  void drop(std::shared_ptr<Watch>& watch);
  void take(std::string_view text);
  bool follows(const Notice& notice) const { return notice.whole || notice.number == last_ + 1; }
  void apply(Notice notice);
  void again(const char* why);
  void silent_after(Time span);

  transport::Reactor& reactor_;
  transport::Address address_;
  std::int64_t last_;
  std::ranlux24_base chance_;
  core::EventLog& diary_;
  Heard heard_;
  StartTimeTranslator start_times_;
  std::shared_ptr<Watch> watch_;
  std::shared_ptr<Watch> silent_;  // an older one, which may still speak; only while watch_ has not
  core::Timer alarm_;
  int failures_ = 0;
  bool following_ = false;
};

}  // namespace rushhill::membership
