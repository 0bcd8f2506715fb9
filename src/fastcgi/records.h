// FastCGI 1.0 for an application server: reads requests from records and encodes answers as records. Uses no
// sockets and no clock; the caller passes the time.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "routing/time.h"

namespace rushhill::fastcgi {

using Number = std::uint16_t;  // FastCGI request id, unique among the open requests of a connection

// Limits of a reader. What a connection's incomplete requests may hold together is for the Taker to decide.
struct Bounds {
  std::size_t params = 16 * 1024;  // bytes of a request's parameters
  std::size_t body = 16 * 1024;    // bytes of a request's body
  std::size_t pairs = 256;         // parameters of a request
  std::size_t open = 32;           // open requests of a connection
};

struct Request {
  std::vector<std::pair<std::string, std::string>> params{};
  std::string body{};
  bool keep = false;  // whether the connection stays open after the answer (FCGI_KEEP_CONN)
  // Returns the first parameter of that name, or nullptr if there is none.
  const std::string* param(std::string_view name) const;
  // Returns whether several parameters have that name.
  bool repeats(std::string_view name) const;
};

enum class Refusal { unknown_role, too_many, no_memory, params_too_large, params_unreadable, body_too_large };

// Receives what a reader has read. All calls are made from within the call that passes bytes to the reader.
class Taker {
 public:
  Taker() = default;
  Taker(const Taker&) = delete;
  Taker& operator=(const Taker&) = delete;
  virtual ~Taker() = default;
  // Returns whether so many more bytes may be held for incomplete requests; a request that needs more is
  // refused.
  virtual bool may_hold(std::size_t /*bytes*/) { return true; }
  // Called with a complete request, which stays open until the reader releases its number.
  virtual void request(Number number, Request request) = 0;
  // Called when a request has been refused; it is not open.
  virtual void refused(Number number, Refusal reason, bool keep) = 0;
  // Called when the client aborts a request. A complete one is still open; an incomplete one has been
  // discarded.
  virtual void aborted(Number number, bool complete) = 0;
  // Called when the client asks for the values of these variables (FCGI_GET_VALUES).
  virtual void values_requested(const std::vector<std::string>& names) = 0;
  // Called for a record of a type that the reader does not handle.
  virtual void type_unknown(std::uint8_t type) = 0;
  // Called once, when the client violates the protocol. The reader ignores all further bytes.
  virtual void broken(const char* reason) = 0;
};

// Reads the records of one connection.
class Reader {
 public:
  Reader(Taker& observer, const Bounds& bounds) : observer_(observer), bounds_(bounds) {}

  void put(std::string_view bytes, Time now);
  // Releases the number of a complete request, which has been answered or cancelled.
  void ended(Number number) { complete_.erase(number); }
  bool is_stopped() const { return stopped_; }
  // Bytes that are held for incomplete requests.
  std::size_t held_bytes() const;
  // Returns when the oldest incomplete record or request began, or nullopt if there is none.
  std::optional<Time> unfinished_since() const;
  // Returns for how long ignored records, such as the rest of a refused request, have gone on since the
  // latest request began, in tenths of a millisecond. Their bytes have no limit, since complete requests may
  // follow; the caller ends a connection on which they go on for too long.
  Time ignoring_span() const { return ignored_since_ ? ignored_until_ - *ignored_since_ : 0; }

 private:
  struct IncompleteRequest {
    Time since = 0;
    bool keep = false, params_ended = false;
    std::string params{}, body{};
  };
  void start_record(Time now);
  void read_content(std::string_view part);
  void finish_record(Time now);
  void begin_request(Time now);
  bool may_grow(std::string& text, std::size_t bytes, std::size_t bound);
  void append_params(std::string_view part);
  void append_body(std::string_view part);
  // Whether the record that has begun is handled; others are ignored.
  bool is_record_expected() const;
  void note_ignored_record(Time now);
  void refuse_request(Number number, Refusal reason);
  void stop_reading(const char* reason);

  Taker& observer_;
  Bounds bounds_;
  std::string header_, control_content_;
  std::uint8_t type_ = 0;
  Number number_ = 0;
  std::size_t content_left_ = 0, padding_left_ = 0, content_size_ = 0;
  bool in_record_ = false, stopped_ = false;
  Time record_started_ = 0;
  std::optional<Time> ignored_since_;  // the first ignored record since the latest request began
  Time ignored_until_ = 0;             // the latest one
  std::map<Number, IncompleteRequest> incomplete_;
  std::set<Number> complete_;
};

// The protocol status in FCGI_END_REQUEST.
enum class Ended : std::uint8_t { complete = 0, cannot_multiplex = 1, overloaded = 2, unknown_role = 3 };

// Encodes an answer: the output, the end of the output stream and the end of the request.
std::string answer(Number number, std::string_view output);
// Encodes FCGI_END_REQUEST, FCGI_GET_VALUES_RESULT and FCGI_UNKNOWN_TYPE.
std::string end_request(Number number, Ended status, std::uint32_t application_status);
std::string values_result(const std::vector<std::pair<std::string, std::string>>& values);
std::string unknown_type(std::uint8_t type);

// Reads name-value pairs with lengths of one or four bytes. Returns nullopt if they are malformed or too
// many.
std::optional<std::vector<std::pair<std::string, std::string>>> read_pairs(std::string_view bytes,
                                                                           std::size_t max_pairs = SIZE_MAX);
std::string write_pairs(const std::vector<std::pair<std::string, std::string>>& pairs);
// Encodes a request as a web server sends it; used by the simulation and by tests.
std::string write_request(Number number, const Request& request);

}  // namespace rushhill::fastcgi
