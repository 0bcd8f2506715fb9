#include "lab/scale_process.h"

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <exception>
#include <iostream>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace rushhill::lab {
namespace {

using Json = nlohmann::json;

constexpr const char* failure_field = "failed";
constexpr rlim_t most_memory = 4'000'000'000;  // bytes of address space of one process
constexpr std::size_t read_size = 4'096;
#ifdef __SANITIZE_ADDRESS__
constexpr bool limit_memory = false;  // the sanitizer maps more than any limit
#else
constexpr bool limit_memory = true;
#endif

// Counts nothing: where the machine permits no counting, and while user time is measured.
class NullCounter final : public scale::Counter {
 public:
  std::uint64_t read() override { return 0; }
  bool counts() const override { return false; }
};

scale::Figures measure(MeasuredQuantity quantity, const MeasuringProcess::Work& work) {
  const bool counted = quantity == MeasuredQuantity::instructions;
  scale::InstructionCounter instructions;
  NullCounter none;
  scale::Counter& counter = counted ? static_cast<scale::Counter&>(instructions) : none;
  scale::Figures figures = work(counter);
  if (!counter.counts()) {
    std::erase_if(figures, [](const auto& figure) {
      return figure.first.starts_with(scale::figure_name::instructions);
    });
  }
  if (counted) figures.erase(scale::figure_name::user_time);
  return figures;
}

// The whole life of the forked process: measures, writes the result into the pipe, and exits.
[[noreturn]] void run_child(int write_end, MeasuredQuantity quantity, const MeasuringProcess::Work& work) {
  const rlimit limit{most_memory, most_memory};
  if (limit_memory) setrlimit(RLIMIT_AS, &limit);
  Json result;
  try {
    result = measure(quantity, work);
  } catch (const std::exception& error) {
    result = Json{{failure_field, error.what()}};
  }
  const std::string text = result.dump();
  const ssize_t written = write(write_end, text.data(), text.size());
  _exit(written == static_cast<ssize_t>(text.size()) ? 0 : 1);
}

std::string read_all(int descriptor) {
  std::string text;
  std::array<char, read_size> part{};
  for (ssize_t count = 0; (count = read(descriptor, part.data(), part.size())) > 0;)
    text.append(part.data(), static_cast<std::size_t>(count));
  return text;
}

Measurement parse(const std::string& text) {
  const Json result = Json::parse(text, nullptr, false);
  if (!result.is_object()) return {.failure = "the process ended"};
  if (result.contains(failure_field)) return {.failure = result.at(failure_field).get<std::string>()};
  Measurement measurement;
  for (const auto& [name, value] : result.items()) {
    measurement.figures[name] =
        value.is_number() ? value.get<double>() : std::numeric_limits<double>::quiet_NaN();
  }
  return measurement;
}

}  // namespace

MeasuringProcess::MeasuringProcess(MeasuredQuantity quantity, const Work& work) {
  std::array<int, 2> ends{};
  if (pipe(ends.data()) != 0) throw std::runtime_error("no pipe");
  std::cout.flush();
  process_ = fork();
  if (process_ < 0) throw std::runtime_error("no process");
  if (process_ == 0) {
    close(ends[0]);
    run_child(ends[1], quantity, work);
  }
  close(ends[1]);
  read_end_ = ends[0];
}

Measurement MeasuringProcess::result() const {
  const std::string text = read_all(read_end_);
  close(read_end_);
  int status = 0;
  waitpid(process_, &status, 0);
  return parse(text);
}

Measurement measure_in_process(MeasuredQuantity quantity, const MeasuringProcess::Work& work) {
  return MeasuringProcess(quantity, work).result();
}

}  // namespace rushhill::lab
