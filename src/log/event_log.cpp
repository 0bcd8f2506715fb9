#include "log/event_log.h"

#include <poll.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace rushhill::log {
namespace {

// Limit for each event text: enough lines to notice a fault, too few to fill a disk.
constexpr int max_lines_per_second = 20;

spdlog::level::level_enum level_of(core::Level level) {
  switch (level) {
    case core::Level::debug:
      return spdlog::level::debug;
    case core::Level::info:
      return spdlog::level::info;
    case core::Level::warning:
      return spdlog::level::warn;
    case core::Level::error:
      break;
  }
  return spdlog::level::err;
}

std::string json_text(const std::string& text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Returns whether a write to standard error would block; a full pipe must not stall the event loop.
bool write_would_block() {
  pollfd out{.fd = STDERR_FILENO, .events = POLLOUT, .revents = 0};
  return poll(&out, 1, 0) == 0;
}

}  // namespace

EventLog::EventLog(Form form, core::Level min_level, std::string source)
    : form_(form), min_level_(min_level), source_(std::move(source)),
      logger_(
          std::make_shared<spdlog::logger>("rushhill", std::make_shared<spdlog::sinks::stderr_sink_mt>())) {
  logger_->set_level(level_of(min_level));
  // Times are in UTC with milliseconds. In JSON, the message is the remainder of the object.
  logger_->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      form == Form::json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})"
                         : "%Y-%m-%d %H:%M:%S.%e %L %v",
      spdlog::pattern_time_type::utc));
}
EventLog::~EventLog() = default;

void EventLog::write(core::Level level, const char* what, Fields fields) {
  if (!should_log(level)) return;
  int suppressed = 0;
  if (level != core::Level::debug) {
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    EventCount& count = event_counts_[what];
    if (std::exchange(count.second, second) != second) {
      suppressed = std::exchange(count.suppressed, 0);
      count.lines = 0;
    }
    if (++count.lines > max_lines_per_second || write_would_block()) {
      ++count.suppressed;
      return;
    }
  } else if (write_would_block()) {
    return;
  }
  std::string text;
  if (form_ == Form::json) {
    text = "\"who\":" + json_text(source_) + ",\"what\":" + json_text(what);
    for (const auto& [name, value] : fields) text += "," + json_text(name) + ":" + json_text(value);
    if (suppressed > 0) text += ",\"left_out\":" + std::to_string(suppressed);
  } else {
    text = source_ + ": " + what;
    for (const auto& [name, value] : fields) text += std::string("  ") + name + "=" + value;
    if (suppressed > 0) text += "  (" + std::to_string(suppressed) + " similar lines suppressed)";
    for (char& c : text) {
      if (static_cast<unsigned char>(c) < 0x20) c = '?';
    }
  }
  logger_->log(level_of(level), text);
}

}  // namespace rushhill::log
