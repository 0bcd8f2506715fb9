// Start times of servers: from the Unix time that discovery tells to this process's monotonic clock.
#pragma once

#include <map>
#include <vector>

#include "core/endpoint_list_source.h"
#include "transport/reactor.h"

namespace rushhill::membership {

// Both clocks at one moment, in tenths of a millisecond. The wall clock may have been stepped, or be stepped
// later; the monotonic one runs on.
struct ClockReading {
  Time monotonic = 0;
  Time wall = 0;
};
ClockReading read_clocks(const transport::Reactor& reactor);

using EndpointEntries = std::vector<core::EndpointListEntry>;

// The latest start among the entries, as told; 0 where none is told.
Time latest_start(const EndpointEntries& entries);

// Translates the start times of entries in place, from Unix time to the monotonic clock; 0 stays 0, long ago.
//
// A start that this process saw, a server that was not listed before or that is told with another start, is
// the moment at which it was heard of. No wall clock is asked for it, so that none can make it older or put
// it into the future. Told again, the same start keeps its first translation, whatever the clocks show then.
//
// In a list from before this process nothing proves an age but the list itself: a server is at least as old
// as its start lies before the latest one that is told. What the wall clock shows may be less, and then
// counts: the clock of the servers was set back between the two. It may show more, and does not count then,
// since it may have been stepped forward after the server started; only what lies beyond the longest step is
// proven. Where it shows a start in the future it has been set back, and says nothing. The latest start of a
// list thus counts as the present, and a fleet that starts one by one is not held back on as a whole.
class StartTimeTranslator {
 public:
  // A list of which this process has not seen how it came about: of its start, remembered, or the first one
  // that discovery tells. `latest`: the latest start told in all of its messages.
  void translate_snapshot(const ClockReading& at, Time latest, EndpointListForm form,
                          EndpointEntries& entries);
  // A watch event, or what a reload brings beyond these.
  void translate_update(Time now, EndpointListForm form, EndpointEntries& entries);

 private:
  struct StartTime {
    Time told = 0;        // Unix time
    Time translated = 0;  // monotonic
  };
  template <typename FirstTranslation>
  void translate(EndpointListForm form, EndpointEntries& entries, FirstTranslation first_translation);

  std::map<EndpointId, StartTime> known_;  // of the listed servers that are told with a start
};

}  // namespace rushhill::membership
