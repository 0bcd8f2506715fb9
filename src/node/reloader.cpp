#include "node/reloader.h"

#include <exception>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace rushhill::node {
namespace {

constexpr Time retry_after = 500;  // tenths of a millisecond; a file of some megabytes is written by then
constexpr int most_attempts = 20;  // a second all in all: what cannot be read then is wrong, not unfinished

}  // namespace

Configuration read_configuration_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in.is_open()) throw std::invalid_argument(path + ": cannot be read");
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  try {
    return read_configuration(text);
  } catch (const settings::BadField& wrong) {
    throw std::invalid_argument(path + ": " + wrong.what());
  }
}

Reloader::Reloader(core::TimerService& clock, std::string path, core::EventLog& diary, Apply apply)
    : clock_(clock), path_(std::move(path)), diary_(diary), apply_(std::move(apply)) {}

Reloader::~Reloader() { clock_.cancel(retry_); }

void Reloader::reload() {
  clock_.cancel(retry_);
  attempts_ = 0;
  attempt();
}

void Reloader::attempt() {
  ++attempts_;
  try {
    apply_(read_configuration_file(path_));
  } catch (const std::exception& wrong) {
    if (attempts_ < most_attempts) {
      retry_ = clock_.at(clock_.now() + retry_after, [this] { attempt(); });
      return;
    }
    diary_.write(core::Level::error, "configuration not read: the old one stays", {{"reason", wrong.what()}});
  }
}

}  // namespace rushhill::node
