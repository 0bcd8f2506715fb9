#include "membership/start_times.h"

#include <algorithm>
#include <utility>

namespace rushhill::membership {
namespace {

constexpr Time tenths_per_second = 10'000;
constexpr std::int64_t nanoseconds_per_tenth = 100'000;
// A wall clock is stepped by at most this much: an hour, and a margin of 5 s.
constexpr Time max_clock_step = (3'600 + 5) * tenths_per_second;

// Returns the age that is proven for a server in a list from before this process.
Time proven_age(const ClockReading& at, Time latest, Time reported) {
  const Time age_before_latest = std::max<Time>(latest - reported, 0);
  const Time age_by_wall_clock = at.wall - reported;
  if (age_by_wall_clock < 0) return age_before_latest;
  return std::max(std::min(age_by_wall_clock, age_before_latest), age_by_wall_clock - max_clock_step);
}

}  // namespace

ClockReading read_clocks(const transport::Reactor& reactor) {
  return {.monotonic = reactor.now(), .wall = reactor.unix_ns() / nanoseconds_per_tenth};
}

Time latest_start(const EndpointEntries& entries) {
  Time latest = 0;
  for (const core::EndpointListEntry& entry : entries)
    latest = std::max(latest, to_ticks(entry.endpoint.started));
  return latest;
}

template <typename FirstTranslation>
void StartTimeTranslator::translate(EndpointListForm form, EndpointEntries& entries,
                                    FirstTranslation first_translation) {
  std::map<EndpointId, StartTime> replaced;
  const bool complete = form != EndpointListForm::delta;
  if (complete) start_times_.swap(replaced);
  const std::map<EndpointId, StartTime>& previous = complete ? replaced : start_times_;
  for (core::EndpointListEntry& entry : entries) {
    const auto found = previous.find(entry.endpoint.id);
    const StartTime old_start = found != previous.end() ? found->second : StartTime{};
    StartTime new_start{.reported = to_ticks(entry.endpoint.started), .translated = old_start.translated};
    if (new_start.reported == 0) new_start.translated = 0;
    if (new_start.reported != 0 && new_start.reported != old_start.reported) {
      new_start.translated = first_translation(new_start.reported);
      // A different start is a different incarnation, even if both are reported at the same time.
      if (new_start.translated == old_start.translated) ++new_start.translated;
    }
    entry.endpoint.started = to_timestamp(new_start.translated);
    // Only listed servers with a start time are kept. Most servers started long ago and have none.
    const bool keep = new_start.reported != 0 && entry.endpoint.state != EndpointState::removed;
    if (keep) {
      start_times_[entry.endpoint.id] = new_start;
    } else if (!start_times_.empty()) {
      start_times_.erase(entry.endpoint.id);
    }
  }
}

void StartTimeTranslator::translate_snapshot(const ClockReading& at, Time latest, EndpointListForm form,
                                             EndpointEntries& entries) {
  translate(form, entries, [&](Time reported) { return at.monotonic - proven_age(at, latest, reported); });
}

void StartTimeTranslator::translate_update(Time now, EndpointListForm form, EndpointEntries& entries) {
  translate(form, entries, [now](Time) { return now; });
}

}  // namespace rushhill::membership
