// Follows the platform's notice board: watches from the last event that came whole, comes back after a break,
// a gap or a silence, and goes to another address when told.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "core/ports.h"
#include "membership/board_words.h"
#include "transport/reactor.h"

namespace rushhill::membership {

class BoardClient final : public core::RosterSource, private transport::StreamUser {
 public:
  using Heard = std::function<void(RosterForm, const std::vector<core::RosterEntry>&)>;

  BoardClient(transport::Reactor& reactor, const transport::Address& address, std::int64_t last,
              std::uint64_t seed, core::Diary& diary, Heard heard);
  ~BoardClient() override;

  void follow(bool on) override;
  void reload() override;
  void move_to(const transport::Address& address);  // the numbers go on there
  std::int64_t last() const { return last_; }

 private:
  void connect();
  void line(std::string_view text);
  void take(std::string_view text);
  void again(const char* why);
  void silent_after(Time span);
  void opened() override;
  void arrived(std::string_view bytes) override;
  void lost(transport::Loss why) override;

  transport::Reactor& reactor_;
  transport::Address address_;
  std::int64_t last_;
  std::ranlux24_base chance_;
  core::Diary& diary_;
  Heard heard_;
  Time wall_offset_;
  std::shared_ptr<transport::Stream> stream_;
  core::Alarm alarm_;
  std::string in_;
  std::size_t counted_ = 0;  // bytes of the line that is coming, when its last progress was noted
  int failures_ = 0;
  bool following_ = false;
};

}  // namespace rushhill::membership
