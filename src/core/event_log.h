// The interface of a router's structured log.
#pragma once

#include <initializer_list>
#include <string>
#include <utility>

namespace rushhill::core {

// The severity of a line, in ascending order.
enum class Level { debug, info, warning, error };

// Writes lines of named fields. Writing never fails from the caller's point of view.
class EventLog {
 public:
  using Fields = std::initializer_list<std::pair<const char*, std::string>>;

  EventLog() = default;
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;
  EventLog(EventLog&&) = delete;
  EventLog& operator=(EventLog&&) = delete;
  virtual ~EventLog() = default;

  // Returns whether lines of the level are written, so that callers can skip composing an expensive line.
  virtual bool should_log(Level level) const = 0;
  virtual void write(Level level, const char* message, Fields fields) = 0;
};

}  // namespace rushhill::core
