#include "node/configuration_reloader.h"

#include <exception>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <system_error>
#include <utility>
#include <vector>

namespace rushhill::node {
namespace {

constexpr Time retry_interval =
    500;  // tenths of a millisecond; enough time to write a file of some megabytes
constexpr std::size_t chunk_bytes = std::size_t{64} * 1024;
constexpr int max_attempts = 20;  // over one second; a file that still fails is invalid, not half written

// Reads in chunks, since character by character takes long for some megabytes.
std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in.is_open()) throw std::invalid_argument(path + ": cannot be read");
  std::string text;
  std::error_code size_unknown;  // as of a pipe
  const std::uintmax_t size = std::filesystem::file_size(path, size_unknown);
  if (!size_unknown) text.reserve(size);
  std::vector<char> chunk(chunk_bytes);
  do {
    in.read(chunk.data(), chunk_bytes);
    text.append(chunk.data(), static_cast<std::size_t>(in.gcount()));
  } while (in);
  return text;
}

}  // namespace

Configuration read_configuration_file(const std::string& path) {
  try {
    return read_configuration(read_file(path));
  } catch (const settings::BadField& error) {
    throw std::invalid_argument(path + ": " + error.what());
  }
}

ConfigurationReloader::ConfigurationReloader(core::TimerService& clock, std::string path,
                                             core::EventLog& event_log, Apply apply)
    : clock_(clock), path_(std::move(path)), event_log_(event_log), apply_(std::move(apply)) {}

ConfigurationReloader::~ConfigurationReloader() { clock_.cancel(retry_); }

void ConfigurationReloader::reload() {
  clock_.cancel(retry_);
  attempts_ = 0;
  try_reload();
}

void ConfigurationReloader::try_reload() {
  ++attempts_;
  try {
    apply_(read_configuration_file(path_));
  } catch (const std::exception& error) {
    if (attempts_ < max_attempts) {
      retry_ = clock_.at(clock_.now() + retry_interval, [this] { try_reload(); });
      return;
    }
    event_log_.write(core::Level::error, "configuration not read: the old one stays",
                     {{"reason", error.what()}});
  }
}

}  // namespace rushhill::node
