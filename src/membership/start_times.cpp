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
  for (const core::RosterEntry& entry : entries) latest = std::max(latest, entry.server.started);
  return latest;
}

template <typename FirstTranslation>
void StartTimeTranslator::translate(RosterForm form, EndpointEntries& entries,
                                    FirstTranslation first_translation) {
  std::map<ServerId, StartTime> replaced;
  const bool whole = form != RosterForm::changes;
  if (whole) known_.swap(replaced);
  const std::map<ServerId, StartTime>& earlier = whole ? replaced : known_;
  for (core::RosterEntry& entry : entries) {
    const auto known = earlier.find(entry.server.id);
    const StartTime last = known != earlier.end() ? known->second : StartTime{};
    StartTime start{.told = entry.server.started, .translated = last.translated};
    if (start.told == 0) start.translated = 0;
    if (start.told != 0 && start.told != last.told) {
      start.translated = first_translation(start.told);
      // Another start is another incarnation, also where both are heard of at one moment.
      if (start.translated == last.translated) ++start.translated;
    }
    entry.server.started = start.translated;
    // Most servers started long ago; of these nothing has to be kept.
    const bool kept = start.told != 0 && entry.server.condition != Condition::left;
    if (kept) {
      known_[entry.server.id] = start;
    } else if (!known_.empty()) {
      known_.erase(entry.server.id);
    }
  }
}

void StartTimeTranslator::translate_snapshot(const ClockReading& at, Time latest, RosterForm form,
                                             EndpointEntries& entries) {
  translate(form, entries, [&](Time told) { return at.monotonic - proven_age(at, latest, told); });
}

void StartTimeTranslator::translate_update(Time now, RosterForm form, EndpointEntries& entries) {
  translate(form, entries, [now](Time) { return now; });
}

}  // namespace rushhill::membership
