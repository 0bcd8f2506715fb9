// The reactor of an emulated day: virtual time, and connections and datagrams in memory. Routers, servers,
// roster and clients run on it as they do on sockets, all of them in one thread and the same order each time.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "core/timer_queue.h"
#include "transport/reactor.h"

namespace rushhill::emulator {

class Network final : public transport::Reactor {
 public:
  // `latency`: from one end of a connection to the other, tenths of a millisecond.
  explicit Network(Time latency) : latency_(latency) {}
  // From now on that share of what is sent on connections is lost and sent again after so long, doubling, as
  // TCP does: it comes late, and so does all that is behind it.
  void lose(double share, Time again, std::uint64_t seed) {
    loss_ = share;
    again_ = again;
    chance_.seed(seed);
  }
  ~Network() override;

  void run() override;          // until halt(), or nothing is left to happen
  void run_until(Time moment);  // the same, and no further than that
  void halt() override { halted_ = true; }
  std::int64_t happenings() const { return happenings_; }  // alarms rung and calls put off, all in all
  // Bytes that have left on connections and in datagrams, without any header; and datagrams.
  std::uint64_t bytes() const { return bytes_; }
  std::uint64_t datagrams() const { return datagrams_; }

  Time now() const override { return now_; }
  core::Timer at(Time when, Call call) override { return alarms_.add(when, std::move(call)); }
  void cancel(core::Timer& alarm) override { alarms_.cancel(alarm); }
  void post(Call call) override { soon_.push_back(std::move(call)); }
  std::int64_t nanoseconds() const override { return transport::monotonic_ns(); }  // real: spent time
  std::int64_t clock_ns() const override { return now_ * 100'000; }
  std::int64_t event_time_ns() const override { return clock_ns(); }
  std::int64_t unix_ns() const override { return epoch_ns + wall_step_ns_ + clock_ns(); }
  // From now on the wall clock shows so much more, or less; nothing else changes.
  void step_wall_clock(std::int64_t by_ns) { wall_step_ns_ += by_ns; }

  std::shared_ptr<transport::Stream> connect(const transport::Address& address,
                                             transport::StreamHandler& user) override;
  std::shared_ptr<transport::Stream> adopt(const transport::PendingConnection& arrival,
                                           transport::StreamHandler& user) override;
  std::unique_ptr<transport::BoundSocket> listen(const transport::Address& address, bool shared,
                                                 transport::AcceptHandler accepted) override;
  std::unique_ptr<transport::BoundSocket> listen_inherited(int descriptor,
                                                           transport::AcceptHandler accepted) override;
  std::unique_ptr<transport::BoundSocket> open_datagrams(const transport::Address& address,
                                                         transport::DatagramHandler heard) override;
  std::unique_ptr<transport::BoundSocket> open_inherited_datagrams(int descriptor,
                                                                   transport::DatagramHandler heard) override;
  std::unique_ptr<transport::BoundSocket> reserve(const transport::Address& address) override;

 private:
  class Arrived;
  class End;
  class Listening;
  class Hearing;
  class Holding;
  static constexpr std::int64_t epoch_ns = 1'700'000'000'000'000'000;  // any; the same for all
  static constexpr Time first_moment = 10'000;  // tenths of a millisecond; 0 is never a reading

  transport::Address free(const transport::Address& address);
  void turn(Time until);
  Time on_its_way(Time not_before);

  Time latency_, now_ = first_moment;
  core::TimerQueue alarms_;
  std::vector<Call> soon_;
  std::map<std::uint16_t, std::vector<Listening*>> listening_;  // by port; several share one by turns
  std::map<std::uint16_t, Hearing*> hearing_;
  std::uint64_t turns_ = 0;
  std::uint16_t next_port_ = 1024;
  std::int64_t happenings_ = 0;
  std::uint64_t bytes_ = 0, datagrams_ = 0;
  bool halted_ = false;
  std::int64_t wall_step_ns_ = 0;
  double loss_ = 0;
  Time again_ = 0;
  std::mt19937_64 chance_;
};

}  // namespace rushhill::emulator
