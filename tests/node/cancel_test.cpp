// A router process that stands still, and has a burst of work before it as it goes on: nothing is begun for a
// client that closed or cancelled longer than 0.1 s ago. The verdict is what the servers see.
#include <set>

#include "node_process.h"
#include "platform_story.h"

namespace rushhill::node {
namespace {

constexpr int leaving_clients = 8;
constexpr int burst_connections = 4, burst_each = 25;
constexpr int stopped_ms = 250;     // longer than the 0.1 s in which an attempt may still begin
constexpr Time well_after = 3'000;  // tenths of a millisecond; for what should not happen
constexpr Time deadline = 30'000;   // of the burst's requests, and a final answer's half second
constexpr const char* end_of_request = "\1\3";
constexpr int first_waiting = 100;   // ids of requests that are out as the process stops
constexpr int first_unread = 200;    // of requests that come while it stands still
constexpr int first_of_burst = 300;  // of the burst
constexpr int staying = 99;          // of the client that stays

enum class Leaving { cancels, closes, half_closes, resets };

std::ostream& operator<<(std::ostream& out, Leaving how) {
  constexpr const char* names[] = {"Cancels", "Closes", "HalfCloses", "Resets"};
  return out << names[static_cast<int>(how)];
}

class CancelStory : public PlatformStory, public testing::WithParamInterface<Leaving> {
 protected:
  CancelStory()
      : process(configuration(settings(), discovery.address(),
                              host("s1", one.address(), "active", 0, "64") + "," +
                                  host("s2", other.address(), "active", 0, "64"))),
        address(process.address()) {
    for (RawServer* server : {&one, &other}) server->on_bytes = [this](RawPeer& peer) { answer_burst(peer); };
  }
  static Settings settings() {
    Settings told;
    told.multiplex = "1";
    return told;
  }
  static void leave(Visitor& visitor) {
    switch (GetParam()) {
      case Leaving::cancels:
        return visitor.send(abort_request(1));
      case Leaving::closes:
        return visitor.leave();
      case Leaving::half_closes:
        return visitor.half_close();
      case Leaving::resets:
        return visitor.reset();
    }
  }
  // Nothing that its clients have not read turns their close into a reset.
  std::vector<std::unique_ptr<Visitor>> visitors(int first) {
    std::vector<std::unique_ptr<Visitor>> all;
    for (int i = 0; i < leaving_clients; ++i) {
      all.push_back(std::make_unique<Visitor>(address));
      all.back()->send(ask(1, id_of(first + i)));
    }
    return all;
  }
  std::vector<std::unique_ptr<Visitor>> burst() {
    std::vector<std::unique_ptr<Visitor>> all;
    for (int i = 0; i < burst_connections; ++i) {
      all.push_back(std::make_unique<Visitor>(address));
      for (int j = 0; j < burst_each; ++j)
        all.back()->send(
            ask(static_cast<fastcgi::Number>(1 + j), id_of(first_of_burst + i * burst_each + j)));
    }
    return all;
  }
  // Servers answer what is of the burst.
  void answer_burst(RawPeer& peer) {
    for (std::size_t at = 0; (at = peer.seen.find("invoke ", at)) != std::string::npos; at += 7) {
      const std::string id = peer.seen.substr(at + 7, 16);
      if (id.size() == 16 && std::stoi(id) >= first_of_burst && burst_answered.insert(id).second)
        peer.stream->write(id + succeeded);
    }
  }

  std::set<std::string> burst_answered;
  NodeProcess process;
  transport::Address address;
};
INSTANTIATE_TEST_SUITE_P(Ways, CancelStory,
                         testing::Values(Leaving::cancels, Leaving::closes, Leaving::half_closes,
                                         Leaving::resets));

TEST_P(CancelStory, NothingIsBegunForClientsThatLeftWhileTheProcessStoodStill) {
  const auto waiting = visitors(first_waiting);
  Visitor stays(address);
  stays.send(ask(1, id_of(staying)));
  for (int i = 0; i < leaving_clients; ++i) ASSERT_TRUE(at_servers(id_of(first_waiting + i)));
  ASSERT_TRUE(at_servers(id_of(staying)));

  process.signal(SIGSTOP);
  for (int i = 0; i < leaving_clients; ++i) servers_say(id_of(first_waiting + i), overloaded);
  servers_say(id_of(staying), overloaded);
  const auto unread = visitors(first_unread);
  for (const auto& visitor : waiting) leave(*visitor);
  for (const auto& visitor : unread) leave(*visitor);
  const auto busy = burst();
  stand_still(stopped_ms);
  process.signal(SIGCONT);

  for (const auto& visitor : busy)
    EXPECT_TRUE(
        pump.until([&] { return times_in(visitor->seen(), end_of_request) == burst_each; }, deadline));
  EXPECT_GT(burst_answered.size(), 0U) << "the loop had work";
  pump.pass(well_after);
  for (int i = 0; i < leaving_clients; ++i) {
    EXPECT_EQ(times_at_servers("invoke " + id_of(first_waiting + i)), 1) << "no second attempt";
    EXPECT_EQ(times_at_servers("invoke " + id_of(first_unread + i)), 0) << "no attempt at all";
  }
  EXPECT_EQ(times_at_servers("invoke " + id_of(staying)), 2) << "its client stays";
}

}  // namespace
}  // namespace rushhill::node
