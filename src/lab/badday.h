// `rushhill badday`: roster, servers, routers and clients as processes of their own, a scripted day, and its
// judgement from what was seen on the sockets.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "simulation/day.h"

namespace rushhill::lab {

struct BadDay {
  std::int64_t events = 10'000;
  double rate = 300;
  std::uint64_t seed = 1;
  std::string day_file{}, folder{};
  std::string front = "http";  // mqtt, both
  bool json = false, loads_by_themselves = false, calm = false, together = false;
  int routers = 0;       // 0: as the day says
  std::string marks{};   // none, told, held; empty: as the day says
  bool repeats = false;  // clients send again, to another router, what must not run twice
  bool quiet = false;    // none of the scripted troubles
  // Among routers: links, stalls, crashes, restarts; within them: storage, syscalls, wallclock.
  std::vector<std::string> faults{};
};

// The day with what is told of its routers.
void make_among_routers(simulation::Day& day, const BadDay& of);

// 0: every event ended once and in time and no rule was broken; 1: not; throws where a process fails.
int play(const BadDay& day);
int judge(const BadDay& day);

}  // namespace rushhill::lab
