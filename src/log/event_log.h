// Structured event log on standard error, written with spdlog: one line per event, as JSON or as plain text.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "core/event_log.h"

namespace spdlog {
class logger;  // NOLINT(readability-identifier-naming): the library's name
}

namespace rushhill::log {

enum class Form { people, json };

class EventLog final : public core::EventLog {
 public:
  // `source` names the writing process in every line.
  EventLog(Form form, core::Level min_level, std::string source);
  ~EventLog() override;
  bool should_log(core::Level level) const override { return level >= min_level_; }
  void write(core::Level level, const char* what, Fields fields) override;

 private:
  // Rate limit for the lines of one event text; debug lines are not limited. The number of suppressed lines
  // is written with the event's first line in a later second.
  struct EventCount {
    std::int64_t second = 0;
    int lines = 0, suppressed = 0;
  };
  Form form_;
  core::Level min_level_;
  std::string source_;
  std::shared_ptr<spdlog::logger> logger_;
  std::map<std::string, EventCount> event_counts_;  // by event text
};

}  // namespace rushhill::log
