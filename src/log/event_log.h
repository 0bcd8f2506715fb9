// Structured logging on spdlog: one line a happening, as JSON or for people, on standard error.
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
  EventLog(Form form, core::Level least, std::string who);
  ~EventLog() override;
  bool wants(core::Level level) const override { return level >= least_; }
  void write(core::Level level, const char* what, Fields fields) override;

 private:
  // Lines of one kind are few a second above debug; the rest is counted and told with the next.
  struct Kind {
    std::int64_t second = 0;
    int lines = 0, left_out = 0;
  };
  Form form_;
  core::Level least_;
  std::string who_;
  std::shared_ptr<spdlog::logger> logger_;
  std::map<std::string, Kind> kinds_;
};

}  // namespace rushhill::log
