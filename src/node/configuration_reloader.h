// Reloads the configuration file on request (SIGHUP) and retries for a second if it cannot be read, since it
// may still be being written. An invalid file has no effect at all.
#pragma once

#include <functional>
#include <string>

#include "core/event_log.h"
#include "core/timer_service.h"
#include "node/configuration.h"

namespace rushhill::node {

// Reads a configuration file. Throws std::invalid_argument that names the file and the fault.
Configuration read_configuration_file(const std::string& path);

class ConfigurationReloader {
 public:
  using Apply = std::function<void(const Configuration&)>;

  ConfigurationReloader(core::TimerService& clock, std::string path, core::EventLog& event_log, Apply apply);
  ~ConfigurationReloader();
  ConfigurationReloader(const ConfigurationReloader&) = delete;
  ConfigurationReloader& operator=(const ConfigurationReloader&) = delete;

  void reload();  // cancels the retries of an earlier reload

 private:
  void try_reload();

  core::TimerService& clock_;
  std::string path_;
  core::EventLog& event_log_;
  Apply apply_;
  core::Timer retry_;
  int attempts_ = 0;
};

}  // namespace rushhill::node
