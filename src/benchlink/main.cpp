// The adapter for the simulator's wire, on standard input and output.
#include <unistd.h>

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <string>

#include "wire.h"

namespace {

// Where this variable names a folder, the input lines are recorded there, one file per process. Such a
// recording, fed to another build, shows whether both decide alike (tools/same-decisions).
constexpr const char* recording_variable = "RUSHHILL_RECORD_WIRE";

std::ofstream open_recording(const std::filesystem::path& folder) {
  const std::filesystem::path file = folder / ("wire-" + std::to_string(getpid()) + ".jsonl");
  std::ofstream recording(file);
  if (!recording) throw std::runtime_error("cannot write " + file.string());
  return recording;
}

void run() {
  const char* folder = std::getenv(recording_variable);
  if (folder == nullptr) {
    rushhill::benchlink::Link(std::cin, std::cout).run();
    return;
  }
  std::ofstream recording = open_recording(folder);
  rushhill::benchlink::Link(std::cin, std::cout, &recording).run();
}

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  try {
    run();
  } catch (const std::exception& error) {
    std::cerr << "rushhill_benchlink: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
