#include "line_protocol/answers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

#include "core/idle_buffer.h"

namespace rushhill::line_protocol {
namespace {

constexpr std::size_t max_id_size = 64;  // bytes; the ids of requests have 16
constexpr int max_in_flight = 30;        // requests; a larger reported count is reduced to this
constexpr int max_copies = 1000;         // copies; more than an endpoint can hold

constexpr std::array status_words{"HIT", "NONE", "SHED", "FAULT", "LATE", "PONG", "SICK"};

std::string_view split_word(std::string_view& line, char separator) {
  const std::size_t end = std::min(line.find(separator), line.size());
  const std::string_view word = line.substr(0, end);
  line.remove_prefix(std::min(end + 1, line.size()));
  return word;
}

template <typename Number>
std::optional<Number> parse_number(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<CopyState> copy_state_of(std::string_view remark) {
  if (remark == "reused") return CopyState::loaded;
  if (remark == "init") return CopyState::load_started;
  if (remark == "shared_init") return CopyState::load_awaited;
  if (remark == "init_error") return CopyState::load_failed;
  return std::nullopt;
}

bool read_report(std::string_view text, LoadReport& report) {
  while (!text.empty()) {
    std::string_view pair = split_word(text, ';');
    const std::string_view name = split_word(pair, ':');
    const auto value = parse_number<double>(pair);
    if (name.empty() || !value || !std::isfinite(*value)) return false;
    report[std::string(name)] = *value;
  }
  return true;
}

// Reads the comma-separated fields of an answer. Returns false if one is malformed or a known field has an
// invalid value; fields of other names are ignored.
bool read_fields(std::string_view fields, Answer& answer) {
  if (fields == "-") return true;
  if (fields.empty()) return false;
  while (!fields.empty()) {
    std::string_view pair = split_word(fields, ',');
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos || equals == 0) return false;
    const std::string_view name = pair.substr(0, equals), value = pair.substr(equals + 1);
    if (name == "remark") {
      answer.copy_state = copy_state_of(value).value_or(CopyState::unknown);
    } else if (name == "ahead" || name == "units") {
      const auto count = parse_number<long>(value);
      if (!count || *count < 0) return false;
      (name == "ahead" ? answer.crowd : answer.copies) =
          static_cast<int>(std::min<long>(*count, name == "ahead" ? max_in_flight : max_copies));
    } else if (name == "report" && !read_report(value, answer.report)) {
      return false;
    }
  }
  return true;
}

std::string command_line(std::string_view verb, std::string_view arguments) {
  return std::string(verb).append(" ").append(arguments).append("\r\n");
}

}  // namespace

void Reader::put(std::string_view bytes) {
  if (malformed_) return;
  input_.erase(0, std::exchange(offset_, 0));
  input_ += bytes;
}

Progress Reader::next(Answer& answer) {
  if (malformed_) return Progress::bad;
  if (!answer_) {
    const std::string_view unread = std::string_view(input_).substr(offset_);
    const std::size_t end = unread.find("\r\n");
    if (end == std::string_view::npos && unread.size() <= bounds_.line) return Progress::more;
    if (end == std::string_view::npos || end > bounds_.line || !read_line(unread.substr(0, end))) {
      malformed_ = true;
      core::clear_buffer(input_);
      return Progress::bad;
    }
    offset_ += end + 2;
  }
  const std::string_view unread = std::string_view(input_).substr(offset_);
  if (unread.size() < body_length_ + 2) return Progress::more;
  if (unread.substr(body_length_, 2) != "\r\n") {
    malformed_ = true;
    malformed_id_ = answer_->id;
    core::clear_buffer(input_);
    return Progress::bad;
  }
  answer_->body = unread.substr(0, body_length_);
  offset_ += body_length_ + 2;
  answer = std::move(*answer_);
  answer_.reset();
  // Frees the buffer, so that an idle connection holds little memory.
  if (offset_ >= input_.size()) {
    core::clear_buffer(input_);
    offset_ = 0;
  }
  return Progress::answer;
}

// Parses an answer's line: ID STATUS FIELDS LENGTH.
bool Reader::read_line(std::string_view line) {
  const bool is_printable = std::ranges::none_of(line, [](char c) { return c < 0x20 || c > 0x7E; });
  if (!is_printable) return false;
  const std::string_view id = split_word(line, ' ');
  if (id.empty() || id.size() > max_id_size) return false;
  malformed_id_ = id;
  const std::string_view word = split_word(line, ' ');
  const auto found = std::ranges::find(status_words, word);
  if (found == status_words.end()) return false;
  Answer answer{.id = std::string(id), .word = static_cast<Word>(found - status_words.begin())};
  const std::string_view fields = split_word(line, ' ');
  if (!read_fields(fields, answer)) return false;
  // Every answer states the length of its body, 0 if it has none. A line without a length was truncated.
  const auto length = parse_number<std::size_t>(line);
  if (!length || *length > bounds_.body) return false;
  body_length_ = *length;
  answer_ = std::move(answer);
  malformed_id_.clear();
  return true;
}

std::string Invocation::text(Time left) const {
  return before_deadline + std::to_string(std::max<Time>(left / 10, 1)) + after_deadline;
}

Invocation invocation(std::string_view id, std::string_view type, std::string_view function,
                      std::string_view idempotency_key, std::string_view body) {
  Invocation command{.before_deadline = "invoke "};
  command.before_deadline.append(id).append(" profile=").append(type);
  command.before_deadline.append(",thing=").append(function).append(",max=");
  if (!idempotency_key.empty()) command.after_deadline.append(",replay=").append(idempotency_key);
  command.after_deadline.append(" ").append(std::to_string(body.size()));
  command.after_deadline.append("\r\n").append(body).append("\r\n");
  return command;
}
std::string abort(std::string_view id) { return command_line("abort", id); }
std::string gauges(std::string_view tag) { return command_line("gauges", tag); }
std::string alive(std::string_view tag) { return command_line("alive", tag); }
std::string prewarm(std::string_view tag, std::string_view function, int copies) {
  std::string arguments(tag);
  arguments.append(" thing=").append(function).append(",units=").append(std::to_string(copies));
  return command_line("prewarm", arguments);
}
std::string evict(std::string_view function) { return command_line("evict", function); }

std::optional<core::AttemptResult> attempt_result(Answer answer) {
  core::AttemptResult result{
      .copy_state = answer.copy_state, .in_flight = answer.crowd, .report = std::move(answer.report)};
  switch (answer.word) {
    case Word::hit:
      result.outcome = AttemptOutcome::succeeded;
      result.reply.data = std::move(answer.body);
      return result;
    case Word::none:
      result.outcome = AttemptOutcome::function_missing;
      return result;
    case Word::shed:
      result.outcome = AttemptOutcome::overloaded;
      return result;
    case Word::fault:
      result.outcome = AttemptOutcome::error;
      return result;
    case Word::late:
      // The deadline had passed when the request arrived, so it did not run.
      result.outcome = AttemptOutcome::not_sent;
      return result;
    case Word::pong:
    case Word::sick:
      break;
  }
  return std::nullopt;
}

}  // namespace rushhill::line_protocol
