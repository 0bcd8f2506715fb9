// The structured log of what a router does.
#pragma once

#include <initializer_list>
#include <string>
#include <utility>

namespace rushhill::core {

// How important a line is, in ascending order.
enum class Level { debug, info, warning, error };

// Takes lines of named fields. Writing never fails for the caller.
class EventLog {
 public:
  using Fields = std::initializer_list<std::pair<const char*, std::string>>;

  EventLog() = default;
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;
  EventLog(EventLog&&) = delete;
  EventLog& operator=(EventLog&&) = delete;
  virtual ~EventLog() = default;

  // Whether lines of the level are written: asked before an expensive line is composed.
  virtual bool wants(Level level) const = 0;
  virtual void write(Level level, const char* what, Fields fields) = 0;
};

}  // namespace rushhill::core
