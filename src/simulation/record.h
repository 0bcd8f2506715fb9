// What was seen on the sockets, a JSON object a line, by the machine's one monotonic clock; or in memory and
// by virtual time, for an emulated day.
#pragma once

#include <Poco/SHA1Engine.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace rushhill::simulation {

// Writes to a file, keeps in memory, or does neither.
class Record {
 public:
  explicit Record(const std::string& path) {
    if (path.empty()) return;
    out_.open(path, std::ios::binary | std::ios::app);
    if (!out_.is_open()) throw std::runtime_error(path + ": cannot be written");
  }
  // Also keeps every line there and a digest of all of them.
  void keep(std::vector<nlohmann::json>* kept) {
    kept_ = kept;
    digesting_ = true;
  }
  void line(const nlohmann::json& seen) {
    if (!out_.is_open() && !digesting_) return;
    const std::string text = seen.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    if (out_.is_open()) out_ << text;
    if (digesting_) engine_.update(text);
    if (kept_ != nullptr) kept_->push_back(seen);
  }
  void flush() { out_.flush(); }
  std::string digest() { return Poco::DigestEngine::digestToHex(engine_.digest()); }

 private:
  std::ofstream out_;
  std::vector<nlohmann::json>* kept_ = nullptr;
  bool digesting_ = false;
  Poco::SHA1Engine engine_;
};

}  // namespace rushhill::simulation
