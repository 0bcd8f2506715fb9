// The simulator's wire: lines of JSON in, lines of JSON out. Translates, decides nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "routing/types.h"
#include "settings/fields.h"

namespace rushhill::benchlink {

// A line that is not as the wire's description says: ends the program with a plain message.
using BadLine = settings::BadField;

class Link {
 public:
  // Where `recording` is given, each batch of input lines is written there as soon as it is complete.
  Link(std::istream& in, std::ostream& out, std::ostream* recording = nullptr);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;
  // Until the end of input; throws BadLine for what is malformed.
  void run();

 private:
  class Instance;
  using Json = nlohmann::json;

  void handle(const Json& line);
  void handle_instance(const std::string& op, const Json& line);
  void guarded(std::int64_t number, const std::function<void(Instance&, Timestamp)>& call);
  void flush();
  void record_batch();

  std::istream& in_;
  std::ostream& out_;
  std::ostream* recording_;
  std::string batch_text_;  // lines of the present batch; kept only while recording
  std::size_t line_number_ = 0;
  bool in_batch_ = false;
  std::int64_t clock_ns_ = 0;
  std::string reply_;
  std::map<std::int64_t, std::vector<Endpoint>> rosters_;
  std::map<std::int64_t, std::unique_ptr<Instance>> instances_;
};

}  // namespace rushhill::benchlink
