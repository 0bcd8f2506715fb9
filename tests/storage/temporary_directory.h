// A directory for one test, which is removed at its end.
#pragma once

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

namespace rushhill {

class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    std::string pattern = testing::TempDir() + "rushhill-storage-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("cannot create a temporary directory");
    path_ = pattern;
  }
  ~TemporaryDirectory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  std::string operator/(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

inline std::string content_of(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace rushhill
