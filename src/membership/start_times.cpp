#include "membership/start_times.h"

#include <algorithm>
#include <utility>

namespace rushhill::membership {
namespace {

constexpr Time tenths_a_second = 10'000;
constexpr std::int64_t nanoseconds_a_tenth = 100'000;
// Beyond this no step of a wall clock makes a server look older than it is: an hour, and seconds.
constexpr Time longest_step = (3'600 + 5) * tenths_a_second;

// The age that is proven of a server in a list from before this process.
Time proven_age(const ClockReading& at, Time latest, Time told) {
  const Time older_than_latest = std::max<Time>(latest - told, 0);
  const Time shown = at.wall - told;
  if (shown < 0) return older_than_latest;
  return std::max(std::min(shown, older_than_latest), shown - longest_step);
}

}  // namespace

ClockReading read_clocks(const transport::Reactor& reactor) {
  return {.monotonic = reactor.now(), .wall = reactor.unix_ns() / nanoseconds_a_tenth};
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
  const bool whole = form != EndpointListForm::delta;
  if (whole) known_.swap(replaced);
  const std::map<EndpointId, StartTime>& earlier = whole ? replaced : known_;
  for (core::EndpointListEntry& entry : entries) {
    const auto known = earlier.find(entry.endpoint.id);
    const StartTime last = known != earlier.end() ? known->second : StartTime{};
    StartTime start{.told = to_ticks(entry.endpoint.started), .translated = last.translated};
    if (start.told == 0) start.translated = 0;
    if (start.told != 0 && start.told != last.told) {
      start.translated = first_translation(start.told);
      // Another start is another incarnation, also where both are heard of at one moment.
      if (start.translated == last.translated) ++start.translated;
    }
    entry.endpoint.started = to_timestamp(start.translated);
    // Most servers started long ago; of these nothing has to be kept.
    const bool kept = start.told != 0 && entry.endpoint.state != EndpointState::removed;
    if (kept) {
      known_[entry.endpoint.id] = start;
    } else if (!known_.empty()) {
      known_.erase(entry.endpoint.id);
    }
  }
}

void StartTimeTranslator::translate_snapshot(const ClockReading& at, Time latest, EndpointListForm form,
                                             EndpointEntries& entries) {
  translate(form, entries, [&](Time told) { return at.monotonic - proven_age(at, latest, told); });
}

void StartTimeTranslator::translate_update(Time now, EndpointListForm form, EndpointEntries& entries) {
  translate(form, entries, [now](Time) { return now; });
}

}  // namespace rushhill::membership
