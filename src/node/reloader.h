// Reads the configuration file again when asked (SIGHUP), and once more a little later where it cannot be
// read: whoever writes it may be at work still. Nothing of a file that cannot be read whole takes effect.
#pragma once

#include <functional>
#include <string>

#include "core/event_log.h"
#include "core/timer_service.h"
#include "node/configuration.h"

namespace rushhill::node {

// The configuration in a file; throws std::invalid_argument naming the file and what is wrong in it.
Configuration read_configuration_file(const std::string& path);

class Reloader {
 public:
  using Apply = std::function<void(const Configuration&)>;

  Reloader(core::TimerService& clock, std::string path, core::EventLog& diary, Apply apply);
  ~Reloader();
  Reloader(const Reloader&) = delete;
  Reloader& operator=(const Reloader&) = delete;

  void reload();  // what was still being tried is over

 private:
  void attempt();

  core::TimerService& clock_;
  std::string path_;
  core::EventLog& diary_;
  Apply apply_;
  core::Timer retry_;
  int attempts_ = 0;
};

}  // namespace rushhill::node
