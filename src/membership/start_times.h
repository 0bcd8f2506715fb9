// Translates the start times of servers from the Unix time that service discovery reports to this process's
// monotonic clock.
#pragma once

#include <map>
#include <vector>

#include "core/endpoint_list_source.h"
#include "transport/reactor.h"

namespace rushhill::membership {

// Both clocks at one moment, in tenths of a millisecond. The wall clock may be stepped at any time; the
// monotonic clock never is.
struct ClockReading {
  Time monotonic = 0;
  Time wall = 0;
};
ClockReading read_clocks(const transport::Reactor& reactor);

using EndpointEntries = std::vector<core::EndpointListEntry>;

// Returns the latest start among the entries, as reported, or 0 if no entry has one.
Time latest_start(const EndpointEntries& entries);

// Translates the start times of entries in place, from Unix time to the monotonic clock. A start of 0 means
// long ago and stays 0.
//
// If this process sees a server start (the server was not listed before, or is reported with another start),
// the start is the time at which the report arrived. The wall clock is not read for it, so a step of that
// clock can neither make the server look older nor put its start into the future. The same start, reported
// again, keeps its first translation.
//
// In a list from before this process, only the list itself proves an age: a server is at least as old as the
// time between its start and the latest start in the list. If the wall clock shows a smaller age, that one
// counts, because the clock of the servers was set back between the two starts. A larger age does not count,
// because the wall clock may have been stepped forward after the server started; only the part beyond the
// longest step is proven. A start in the future shows that the wall clock was set back, and its reading is
// ignored. The latest start in a list thus counts as the present, unless it lies further back than the
// longest step, and of servers that started one after another only the latest are treated as new.
class StartTimeTranslator {
 public:
  // Translates a list from before this process: the configured or stored one, or the first that discovery
  // sends. `latest` is the latest start reported in all messages of the list.
  void translate_snapshot(const ClockReading& at, Time latest, EndpointListForm form,
                          EndpointEntries& entries);
  // Translates a watch event, or a newer event from a reloaded configuration.
  void translate_update(Time now, EndpointListForm form, EndpointEntries& entries);

 private:
  struct StartTime {
    Time reported = 0;    // Unix time
    Time translated = 0;  // monotonic
  };
  template <typename FirstTranslation>
  void translate(EndpointListForm form, EndpointEntries& entries, FirstTranslation first_translation);

  std::map<EndpointId, StartTime> start_times_;  // of the listed servers that have one
};

}  // namespace rushhill::membership
