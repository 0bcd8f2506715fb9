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

#include "decide.h"
#include "settings/fields.h"

namespace rushhill::benchlink {

// A line that is not as the wire's description says: ends the program with a plain message.
using BadLine = settings::BadField;

class Link {
 public:
  Link(std::istream& in, std::ostream& out);
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
  void guarded(std::int64_t number, const std::function<void(Instance&, Time)>& call);
  void flush();

  std::istream& in_;
  std::ostream& out_;
  std::size_t line_number_ = 0;
  bool in_batch_ = false;
  std::int64_t clock_ns_ = 0;
  std::string reply_;
  std::map<std::int64_t, std::vector<ModelServer>> rosters_;
  std::map<std::int64_t, std::unique_ptr<Instance>> instances_;
};

}  // namespace rushhill::benchlink
