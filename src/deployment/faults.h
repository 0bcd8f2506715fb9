// What is wrong in a deployment file.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

namespace rushhill::deployment {

// Thrown by a value parser; the text is the reason alone.
class InvalidValue : public std::invalid_argument {
 public:
  using std::invalid_argument::invalid_argument;
};

// Where a fault stands within its file.
struct FaultPlace {
  int line = 0;  // from 1; 0: no line in particular
  std::string key{};
};

// One thing that is wrong.
struct Fault {
  std::string file{};
  FaultPlace place{};
  std::string reason{};
};

// FILE:LINE: KEY: reason
std::string to_text(const Fault& fault);

// All that was found wrong in one file; what() has a line for each fault.
class BadFile : public std::runtime_error {
 public:
  explicit BadFile(std::vector<Fault> faults);
  const std::vector<Fault>& faults() const { return faults_; }

 private:
  std::vector<Fault> faults_;
};

// Collects the faults of one file in the order in which they are found; those beyond the first 50 are
// dropped.
class FaultCollector {
 public:
  explicit FaultCollector(std::string file) : file_(std::move(file)) {}

  void add(FaultPlace place, std::string reason);
  const std::vector<Fault>& faults() const { return faults_; }

 private:
  std::string file_;
  std::vector<Fault> faults_;
};

}  // namespace rushhill::deployment
