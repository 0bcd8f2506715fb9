// Loaded before a program (LD_PRELOAD): its wall clock is stepped, and its waits are ended by EINTR halfway,
// as Linux documents both. The monotonic clock stays as it is. The system is called directly, since this also
// runs before the program's libraries are ready. The environment says what happens; without it nothing does:
//
// RUSHHILL_WALL_OFFSET_MS   what the wall clock is off by from the start on
// RUSHHILL_WALL_STEP_MS     mean time between steps, each by +-3,600 or +-5 s
// RUSHHILL_WALL_SEED        of the moments and sizes of the steps
// RUSHHILL_WAIT_EINTR       1: every second wait ends by EINTR after half of its time
#include <sys/epoll.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <cstdlib>

namespace {

constexpr std::int64_t nanoseconds_a_second = 1'000'000'000;
constexpr std::int64_t nanoseconds_a_millisecond = 1'000'000;
constexpr std::int64_t sizes[] = {3'600 * nanoseconds_a_second, -3'600 * nanoseconds_a_second,
                                  5 * nanoseconds_a_second, -5 * nanoseconds_a_second};

std::int64_t system_clock_ns(clockid_t clock) {
  timespec read{};
  syscall(SYS_clock_gettime, clock, &read);
  return read.tv_sec * nanoseconds_a_second + read.tv_nsec;
}

std::int64_t told(const char* name) {
  const char* text = std::getenv(name);
  return text == nullptr ? 0 : std::strtoll(text, nullptr, 10);
}

std::uint64_t mixed(std::uint64_t number) {
  number = (number ^ (number >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  number = (number ^ (number >> 27U)) * 0x94d049bb133111ebULL;
  return number ^ (number >> 31U);
}

struct Plan {
  std::int64_t begun = system_clock_ns(CLOCK_MONOTONIC);
  std::int64_t offset = told("RUSHHILL_WALL_OFFSET_MS") * nanoseconds_a_millisecond;
  std::int64_t mean = told("RUSHHILL_WALL_STEP_MS") * nanoseconds_a_millisecond;
  std::uint64_t seed = static_cast<std::uint64_t>(told("RUSHHILL_WALL_SEED"));
  bool interrupts = told("RUSHHILL_WAIT_EINTR") != 0;

  std::uint64_t draw(std::int64_t step) const {
    return mixed(seed * 0x9e3779b97f4a7c15ULL + static_cast<std::uint64_t>(step) + 1);
  }
  // In each span of the mean's length one step, at any moment of it; it holds until the next one.
  std::int64_t off_by() const {
    if (mean <= 0) return offset;
    const std::int64_t since = system_clock_ns(CLOCK_MONOTONIC) - begun;
    std::int64_t step = since / mean;
    const auto moment = static_cast<std::int64_t>(draw(step) % static_cast<std::uint64_t>(mean));
    if (since % mean < moment) --step;
    return step < 0 ? offset : offset + sizes[(draw(step) >> 40U) % 4];
  }
};

const Plan& plan() {
  static const Plan only;
  return only;
}

std::int64_t wall_ns() { return system_clock_ns(CLOCK_REALTIME) + plan().off_by(); }

// Whether this wait is one that ends by EINTR.
bool interrupted() {
  static std::atomic<unsigned> waits{0};
  return plan().interrupts && waits++ % 2 == 1;
}

int wait(int poller, epoll_event* events, int most, int milliseconds, const sigset_t* signals) {
  const auto for_so_long = [&](int span) {
    return static_cast<int>(syscall(SYS_epoll_pwait, poller, events, most, span, signals, _NSIG / 8));
  };
  if (milliseconds <= 0 || !interrupted()) return for_so_long(milliseconds);
  const int ready = for_so_long(milliseconds / 2);
  if (ready != 0) return ready;
  errno = EINTR;
  return -1;
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* read) noexcept {
  if (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE)
    return static_cast<int>(syscall(SYS_clock_gettime, clock, read));
  const std::int64_t now = wall_ns();
  *read = {.tv_sec = now / nanoseconds_a_second, .tv_nsec = now % nanoseconds_a_second};
  return 0;
}

int gettimeofday(timeval* read, void*) noexcept {
  const std::int64_t now = wall_ns();
  *read = {.tv_sec = now / nanoseconds_a_second, .tv_usec = now % nanoseconds_a_second / 1'000};
  return 0;
}

time_t time(time_t* read) noexcept {
  const time_t now = wall_ns() / nanoseconds_a_second;
  if (read != nullptr) *read = now;
  return now;
}

int epoll_wait(int poller, epoll_event* events, int most, int milliseconds) {
  return wait(poller, events, most, milliseconds, nullptr);
}

int epoll_pwait(int poller, epoll_event* events, int most, int milliseconds, const sigset_t* signals) {
  return wait(poller, events, most, milliseconds, signals);
}

int epoll_pwait2(int poller, epoll_event* events, int most, const timespec* span, const sigset_t* signals) {
  if (span == nullptr) return wait(poller, events, most, -1, signals);
  const std::int64_t whole = span->tv_sec * nanoseconds_a_second + span->tv_nsec;
  const bool ends_early = whole > 0 && interrupted();
  const std::int64_t waited = ends_early ? whole / 2 : whole;
  const timespec for_so_long{.tv_sec = waited / nanoseconds_a_second,
                             .tv_nsec = waited % nanoseconds_a_second};
  const auto ready =
      static_cast<int>(syscall(SYS_epoll_pwait2, poller, events, most, &for_so_long, signals, _NSIG / 8));
  if (!ends_early || ready != 0) return ready;
  errno = EINTR;
  return -1;
}
}
