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

constexpr int lines_a_second = 20;  // of one kind; enough to see a fault, too few to flood a disk

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

// A log that nobody reads must not stall the loop.
bool would_wait() {
  pollfd out{.fd = STDERR_FILENO, .events = POLLOUT, .revents = 0};
  return poll(&out, 1, 0) == 0;
}

}  // namespace

EventLog::EventLog(Form form, core::Level least, std::string who)
    : form_(form), least_(least), who_(std::move(who)),
      logger_(
          std::make_shared<spdlog::logger>("rushhill", std::make_shared<spdlog::sinks::stderr_sink_mt>())) {
  logger_->set_level(level_of(least));
  // In UTC with milliseconds; the JSON form's message is the rest of the object.
  logger_->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      form == Form::json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})"
                         : "%Y-%m-%d %H:%M:%S.%e %L %v",
      spdlog::pattern_time_type::utc));
}
EventLog::~EventLog() = default;

void EventLog::write(core::Level level, const char* what, Fields fields) {
  if (!wants(level)) return;
  int left_out = 0;
  if (level != core::Level::debug) {
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    Kind& kind = kinds_[what];
    if (std::exchange(kind.second, second) != second) {
      left_out = std::exchange(kind.left_out, 0);
      kind.lines = 0;
    }
    if (++kind.lines > lines_a_second || would_wait()) {
      ++kind.left_out;
      return;
    }
  } else if (would_wait()) {
    return;
  }
  std::string text;
  if (form_ == Form::json) {
    text = "\"who\":" + json_text(who_) + ",\"what\":" + json_text(what);
    for (const auto& [name, value] : fields) text += "," + json_text(name) + ":" + json_text(value);
    if (left_out > 0) text += ",\"left_out\":" + std::to_string(left_out);
  } else {
    text = who_ + ": " + what;
    for (const auto& [name, value] : fields) text += std::string("  ") + name + "=" + value;
    if (left_out > 0) text += "  (" + std::to_string(left_out) + " more of these left out)";
    for (char& c : text) {
      if (static_cast<unsigned char>(c) < 0x20) c = '?';
    }
  }
  logger_->log(level_of(level), text);
}

}  // namespace rushhill::log
