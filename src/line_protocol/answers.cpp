#include "line_protocol/answers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace rushhill::line_protocol {
namespace {

constexpr std::size_t longest_id = 64;  // bytes; ours have 16
constexpr int most_crowd = 30;          // events; what the module is told at most
constexpr int most_copies = 1000;       // copies; above what a server could hold

constexpr std::array words{"HIT", "NONE", "SHED", "FAULT", "LATE", "PONG", "SICK"};

std::string_view take_word(std::string_view& line, char between) {
  const std::size_t end = std::min(line.find(between), line.size());
  const std::string_view word = line.substr(0, end);
  line.remove_prefix(std::min(end + 1, line.size()));
  return word;
}

template <typename Number>
std::optional<Number> number(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<CopyState> warmth_of(std::string_view remark) {
  if (remark == "reused") return CopyState::loaded;
  if (remark == "init") return CopyState::load_started;
  if (remark == "shared_init") return CopyState::load_awaited;
  if (remark == "init_error") return CopyState::load_failed;
  return std::nullopt;
}

bool read_report(std::string_view text, LoadReport& report) {
  while (!text.empty()) {
    std::string_view pair = take_word(text, ';');
    const std::string_view name = take_word(pair, ':');
    const auto value = number<double>(pair);
    if (name.empty() || !value || !std::isfinite(*value)) return false;
    report[std::string(name)] = *value;
  }
  return true;
}

// False: a field that we know holds what it cannot hold. Further ones are passed over.
bool read_fields(std::string_view fields, Answer& answer) {
  if (fields == "-") return true;
  if (fields.empty()) return false;
  while (!fields.empty()) {
    std::string_view pair = take_word(fields, ',');
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos || equals == 0) return false;
    const std::string_view name = pair.substr(0, equals), value = pair.substr(equals + 1);
    if (name == "remark") {
      answer.warmth = warmth_of(value).value_or(CopyState::unknown);
    } else if (name == "ahead" || name == "units") {
      const auto count = number<long>(value);
      if (!count || *count < 0) return false;
      (name == "ahead" ? answer.crowd : answer.copies) =
          static_cast<int>(std::min<long>(*count, name == "ahead" ? most_crowd : most_copies));
    } else if (name == "report" && !read_report(value, answer.report)) {
      return false;
    }
  }
  return true;
}

std::string line_of(std::string_view verb, std::string_view rest) {
  return std::string(verb).append(" ").append(rest).append("\r\n");
}

}  // namespace

void Reader::put(std::string_view bytes) {
  if (bad_) return;
  in_.erase(0, std::exchange(at_, 0));
  in_ += bytes;
}

Progress Reader::next(Answer& answer) {
  if (bad_) return Progress::bad;
  if (!head_) {
    const std::string_view rest = std::string_view(in_).substr(at_);
    const std::size_t end = rest.find("\r\n");
    if (end == std::string_view::npos && rest.size() <= bounds_.line) return Progress::more;
    if (end == std::string_view::npos || end > bounds_.line || !read_line(rest.substr(0, end))) {
      bad_ = true;
      in_ = {};
      return Progress::bad;
    }
    at_ += end + 2;
  }
  const std::string_view rest = std::string_view(in_).substr(at_);
  if (rest.size() < length_ + 2) return Progress::more;
  if (rest.substr(length_, 2) != "\r\n") {
    bad_ = true;
    suspect_ = head_->id;
    in_ = {};
    return Progress::bad;
  }
  head_->body = rest.substr(0, length_);
  at_ += length_ + 2;
  answer = std::move(*head_);
  head_.reset();
  if (at_ >= in_.size()) in_ = {}, at_ = 0;  // an idle connection holds no memory for what it has read
  return Progress::answer;
}

// ID WORD FIELDS LENGTH.
bool Reader::read_line(std::string_view line) {
  const bool clean = std::ranges::none_of(line, [](char c) { return c < 0x20 || c > 0x7E; });
  if (!clean) return false;
  const std::string_view id = take_word(line, ' ');
  if (id.empty() || id.size() > longest_id) return false;
  suspect_ = id;
  const std::string_view word = take_word(line, ' ');
  const auto known = std::ranges::find(words, word);
  if (known == words.end()) return false;
  Answer answer{.id = std::string(id), .word = static_cast<Word>(known - words.begin())};
  const std::string_view fields = take_word(line, ' ');
  if (!read_fields(fields, answer)) return false;
  // Every answer names its length, 0 where no body comes: one without it has been cut.
  const auto length = number<std::size_t>(line);
  if (!length || *length > bounds_.body) return false;
  length_ = *length;
  head_ = std::move(answer);
  suspect_.clear();
  return true;
}

std::string Invocation::text(Time left) const {
  return before_deadline + std::to_string(std::max<Time>(left / 10, 1)) + after_deadline;
}

Invocation invocation(std::string_view id, std::string_view type, std::string_view function,
                      std::string_view number, std::string_view body) {
  Invocation command{.before_deadline = "invoke "};
  command.before_deadline.append(id).append(" profile=").append(type);
  command.before_deadline.append(",thing=").append(function).append(",max=");
  if (!number.empty()) command.after_deadline.append(",replay=").append(number);
  command.after_deadline.append(" ").append(std::to_string(body.size()));
  command.after_deadline.append("\r\n").append(body).append("\r\n");
  return command;
}
std::string abort(std::string_view id) { return line_of("abort", id); }
std::string gauges(std::string_view tag) { return line_of("gauges", tag); }
std::string alive(std::string_view tag) { return line_of("alive", tag); }
std::string prewarm(std::string_view tag, std::string_view function, int copies) {
  std::string rest(tag);
  rest.append(" thing=").append(function).append(",units=").append(std::to_string(copies));
  return line_of("prewarm", rest);
}
std::string evict(std::string_view function) { return line_of("evict", function); }

std::optional<core::AttemptResult> attempt_result(Answer answer) {
  core::AttemptResult result{
      .copy_state = answer.warmth, .in_flight = answer.crowd, .report = std::move(answer.report)};
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
      result.outcome = AttemptOutcome::not_sent;  // its time was over when it came: it never ran
      return result;
    case Word::pong:
    case Word::sick:
      break;
  }
  return std::nullopt;
}

}  // namespace rushhill::line_protocol
