// The model servers' line protocol, without sockets: encodes commands and parses answers. `docs/platform.md`
// specifies it.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/upstream_transport.h"

namespace rushhill::line_protocol {

// The status word of an answer.
enum class Word { hit, none, shed, fault, late, pong, sick };

struct Answer {
  std::string id{};
  Word word = Word::hit;
  CopyState copy_state = CopyState::unknown;  // A NONE or FAULT answer can also report load_failed.
  int crowd = 0;                              // requests of the same function at the endpoint
  int copies = 0;                             // copies of the function at the endpoint
  LoadReport report{};
  std::string body{};
};

struct Bounds {
  std::size_t line = 4 * 1024;     // bytes of an answer's line; far more than all its fields need
  std::size_t body = 1024 * 1024;  // bytes of an answer's body
};

enum class Progress { more, answer, bad };

// Extracts answers from a stream of bytes. After malformed input it reads nothing more.
class Reader {
 public:
  explicit Reader(const Bounds& bounds) : bounds_(bounds) {}
  void put(std::string_view bytes);
  Progress next(Answer& answer);
  // Bytes that are held for answers that are incomplete or not extracted.
  std::size_t held_bytes() const { return input_.capacity(); }
  // Returns whether no part of a further answer has been received.
  bool is_between_answers() const { return offset_ >= input_.size() && !answer_; }
  // Returns the id of the malformed answer, or an empty string if its id could not be read.
  const std::string& malformed_answer_id() const { return malformed_id_; }

 private:
  bool read_line(std::string_view line);

  Bounds bounds_;
  std::string input_;
  std::size_t offset_ = 0;        // bytes of `input_` that have been parsed
  std::optional<Answer> answer_;  // an answer whose body is incomplete
  std::size_t body_length_ = 0;
  std::string malformed_id_;
  bool malformed_ = false;
};

// A command to run a request. The time left until the deadline is inserted when the command is sent.
struct Invocation {
  std::string before_deadline{};
  std::string after_deadline{};
  std::string text(Time left) const;  // `left` in tenths of a millisecond
  std::size_t size() const { return before_deadline.size() + after_deadline.size(); }
  void swap(Invocation& other) noexcept {
    before_deadline.swap(other.before_deadline);
    after_deadline.swap(other.after_deadline);
  }
};

// `idempotency_key` lets a server run the request only once; it is empty if the request has none.
Invocation invocation(std::string_view id, std::string_view type, std::string_view function,
                      std::string_view idempotency_key, std::string_view body);
std::string abort(std::string_view id);
std::string gauges(std::string_view tag);
std::string alive(std::string_view tag);
std::string prewarm(std::string_view tag, std::string_view function, int copies);
std::string evict(std::string_view function);

// Converts an answer to the result of an attempt. Returns nullopt for PONG and SICK, which answer no attempt.
std::optional<core::AttemptResult> attempt_result(Answer answer);

}  // namespace rushhill::line_protocol
