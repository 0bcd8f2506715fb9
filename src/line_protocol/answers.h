// The model servers' line protocol on bytes alone: commands written, answers read. `docs/platform.md` is what
// is spoken. Free of sockets.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/upstream_transport.h"

namespace rushhill::line_protocol {

enum class Word { hit, none, shed, fault, late, pong, sick };

struct Answer {
  std::string id{};
  Word word = Word::hit;
  CopyState warmth = CopyState::unknown;  // load_failed also with none and fault
  int crowd = 0;
  int copies = 0;
  LoadReport report{};
  std::string body{};
};

struct Bounds {
  std::size_t line = 4 * 1024;     // bytes of an answer's line; far above all its fields
  std::size_t body = 1024 * 1024;  // bytes
};

enum class Progress { more, answer, bad };

// Takes bytes as they come and gives whole answers. Once bad, it stays so.
class Reader {
 public:
  explicit Reader(const Bounds& bounds) : bounds_(bounds) {}
  void put(std::string_view bytes);
  Progress next(Answer& answer);
  bool clean() const { return at_ >= in_.size() && !head_; }  // nothing has begun
  // Of what was bad: the id that its line began with, where it could be read.
  const std::string& suspect() const { return suspect_; }

 private:
  bool read_line(std::string_view line);

  Bounds bounds_;
  std::string in_;
  std::size_t at_ = 0;          // bytes of `in_` that are used up
  std::optional<Answer> head_;  // its line has been read, its body has not come whole
  std::size_t length_ = 0;
  std::string suspect_;
  bool bad_ = false;
};

// A command to run a request, whole but for the deadline, which is told when it leaves.
struct Invocation {
  std::string before_deadline{};
  std::string after_deadline{};
  std::string text(Time left) const;
};

// `number`: an event's own, by which a server runs it once; empty where it has none.
Invocation invocation(std::string_view id, std::string_view type, std::string_view function,
                      std::string_view number, std::string_view body);
std::string abort(std::string_view id);
std::string gauges(std::string_view tag);
std::string alive(std::string_view tag);
std::string prewarm(std::string_view tag, std::string_view function, int copies);
std::string evict(std::string_view function);

// What an answer to a shot says; nothing: it is no answer to a shot.
std::optional<core::AttemptResult> attempt_result(Answer answer);

}  // namespace rushhill::line_protocol
