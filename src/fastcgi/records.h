// FastCGI 1.0 on bytes alone, in the application's role: records read into whole requests, answers written
// as records. Free of sockets and of any clock but the one handed in.
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

using Number = std::uint16_t;  // of a request on its connection

struct Bounds {
  std::size_t params = 16 * 1024;   // bytes of one request's parameters
  std::size_t body = 16 * 1024;     // bytes
  std::size_t open = 32;            // requests at once on a connection
  std::size_t making = 128 * 1024;  // bytes of all that have begun and are not whole, on a connection
  std::size_t stray = 128 * 1024;   // bytes sent for requests that are over, while nothing else is sent
};

struct Request {
  std::vector<std::pair<std::string, std::string>> params{};
  std::string body{};
  bool keep = false;  // the connection is wanted after the answer
  // Nothing: not there, or there more than once.
  const std::string* param(std::string_view name) const;
  bool repeats(std::string_view name) const;
};

enum class Refusal { unknown_role, too_many, params_too_large, params_unreadable, body_too_large };

// Who is told what has been read; calls come from within Reader::put.
class Taker {
 public:
  Taker() = default;
  Taker(const Taker&) = delete;
  Taker& operator=(const Taker&) = delete;
  virtual ~Taker() = default;
  virtual void request(Number number, Request request) = 0;         // whole; open until Reader::ended
  virtual void refused(Number number, Refusal why, bool keep) = 0;  // and no longer open
  virtual void aborted(Number number, bool whole) = 0;              // taken back; still open if it was whole
  virtual void values_asked(const std::vector<std::string>& names) = 0;
  virtual void type_unknown(std::uint8_t type) = 0;
  virtual void broken(const char* why) = 0;  // nothing more is read from here on
};

class Reader {
 public:
  Reader(Taker& taker, const Bounds& bounds) : taker_(taker), bounds_(bounds) {}

  void put(std::string_view bytes, Time now);
  void ended(Number number) { whole_.erase(number); }  // a whole request has been answered
  bool over() const { return over_; }
  // Since when something stands that has begun and is not whole.
  std::optional<Time> unfinished_since() const;

 private:
  struct Making {
    Time since = 0;
    bool keep = false, params_over = false;
    std::string params{}, body{};
  };
  void record_begins(Time now);
  void content(std::string_view part);
  void record_ends(Time now);
  void begin(Time now);
  void params(std::string_view part);
  void input(std::string_view part);
  void stray(std::size_t bytes);
  bool room_for(std::size_t bytes) const;
  void refuse(Number number, Refusal why);
  void break_off(const char* why);

  Taker& taker_;
  Bounds bounds_;
  std::string header_, control_;
  std::uint8_t type_ = 0;
  Number number_ = 0;
  std::size_t content_left_ = 0, padding_left_ = 0, content_size_ = 0, stray_ = 0;
  bool in_record_ = false, over_ = false;
  Time record_since_ = 0;
  std::map<Number, Making> making_;
  std::set<Number> whole_;
};

enum class Ended : std::uint8_t { complete = 0, cannot_multiplex = 1, overloaded = 2, unknown_role = 3 };

// An answer: the output's bytes, its end, and the request's.
std::string answer(Number number, std::string_view output);
std::string end_request(Number number, Ended how, std::uint32_t application_status);
std::string values_result(const std::vector<std::pair<std::string, std::string>>& values);
std::string unknown_type(std::uint8_t type);

// Name-value pairs in either form of length; nothing: they cannot be read.
std::optional<std::vector<std::pair<std::string, std::string>>> read_pairs(std::string_view bytes);
std::string write_pairs(const std::vector<std::pair<std::string, std::string>>& pairs);
// The front's side of one request, for stand-ins and tests.
std::string write_request(Number number, const Request& request);

}  // namespace rushhill::fastcgi
