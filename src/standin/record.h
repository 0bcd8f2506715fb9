// What was seen on the sockets, a JSON object a line, by the machine's one monotonic clock.
#pragma once

#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace rushhill::standin {

class Record {
 public:
  explicit Record(const std::string& path) {
    if (path.empty()) return;
    out_.open(path, std::ios::binary | std::ios::app);
    if (!out_.is_open()) throw std::runtime_error(path + ": cannot be written");
  }
  void line(const nlohmann::json& seen) {
    if (out_.is_open()) out_ << seen.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
  }
  void flush() { out_.flush(); }

 private:
  std::ofstream out_;
};

}  // namespace rushhill::standin
