#include "simulation/faulty_file_system.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <random>
#include <utility>

namespace rushhill::simulation {
namespace {

using storage::Operation;

// Tenths of a millisecond.
constexpr double shortest_span = 1'000;
constexpr double longest_span = 30'000;
constexpr double interrupted_share = 0.05;  // of calls
constexpr double short_share = 0.3;         // of writes
constexpr double longest_short = 100;       // bytes of a short write
constexpr double always_share = 0.5;        // of spans with faults: those in which every hit operation fails
constexpr double least_share = 0.2;         // of hit operations that fail in the others
constexpr double most_share = 0.8;

constexpr std::array failing_operations{
    Operation::open,   Operation::write,          Operation::sync,           Operation::close,
    Operation::rename, Operation::open_directory, Operation::sync_directory, Operation::close_directory};

bool opens(Operation operation) {
  return operation == Operation::open || operation == Operation::open_directory;
}
bool transfers(Operation operation) { return operation == Operation::read || operation == Operation::write; }

// Draws its faults as time goes on.
class SeededFaults {
 public:
  SeededFaults(std::uint64_t seed, std::function<std::int64_t()> now) : random_(seed), now_(std::move(now)) {}

  StorageFault operator()(Operation operation) {
    const std::int64_t now = now_();
    while (span_ends_ <= now) begin_span(now);
    const bool hit = operation == first_ || operation == second_;
    if (faulty_ && hit && draw(0, 1) < share_) return {.error_number = error_for(operation)};
    if (draw(0, 1) < interrupted_share) return {.error_number = EINTR};
    if (transfers(operation) && draw(0, 1) < short_share)
      return {.most_bytes = static_cast<std::size_t>(draw(1, longest_short))};
    return {};
  }

 private:
  double draw(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }
  template <class Values>
  auto pick(const Values& values) {
    return values[std::min(static_cast<std::size_t>(draw(0, static_cast<double>(values.size()))),
                           values.size() - 1)];
  }
  void begin_span(std::int64_t now) {
    span_ends_ = now + static_cast<std::int64_t>(draw(shortest_span, longest_span));
    faulty_ = !faulty_;
    first_ = pick(failing_operations);
    second_ = pick(failing_operations);
    share_ = draw(0, 1) < always_share ? 1 : draw(least_share, most_share);
    error_ = pick(std::array{ENOSPC, EIO, EDQUOT});
    opening_error_ = pick(std::array{ENOSPC, EIO, EMFILE, ENFILE, EACCES, EROFS});
  }
  int error_for(Operation operation) const { return opens(operation) ? opening_error_ : error_; }

  std::mt19937_64 random_;
  std::function<std::int64_t()> now_;
  std::int64_t span_ends_ = 0;
  bool faulty_ = false;
  Operation first_ = Operation::open;
  Operation second_ = Operation::open;
  double share_ = 1;
  int error_ = EIO;
  int opening_error_ = EIO;
};

}  // namespace

FaultyFileSystem::FaultyFileSystem(std::shared_ptr<storage::FileSystem> files, StorageFaultPlan plan)
    : files_(std::move(files)), plan_(std::move(plan)) {}

StorageFault FaultyFileSystem::fault_of(Operation operation) {
  const std::lock_guard lock(mutex_);
  return plan_(operation);
}

storage::OpenResult FaultyFileSystem::open(const std::string& path, storage::OpenMode mode) {
  const bool directory = mode == storage::OpenMode::directory;
  const StorageFault fault = fault_of(directory ? Operation::open_directory : Operation::open);
  if (fault.error_number != 0) return {.error_number = fault.error_number};
  return files_->open(path, mode);
}

storage::TransferResult FaultyFileSystem::read(int descriptor, char* into, std::size_t most) {
  const StorageFault fault = fault_of(Operation::read);
  if (fault.error_number != 0) return {.error_number = fault.error_number};
  return files_->read(descriptor, into, std::min(most, fault.most_bytes));
}

storage::TransferResult FaultyFileSystem::write(int descriptor, std::string_view bytes) {
  const StorageFault fault = fault_of(Operation::write);
  if (fault.error_number != 0) return {.error_number = fault.error_number};
  return files_->write(descriptor, bytes.substr(0, fault.most_bytes));
}

int FaultyFileSystem::sync(int descriptor, bool directory) {
  const StorageFault fault = fault_of(directory ? Operation::sync_directory : Operation::sync);
  return fault.error_number != 0 ? fault.error_number : files_->sync(descriptor, directory);
}

int FaultyFileSystem::close(int descriptor, bool directory) {
  const StorageFault fault = fault_of(directory ? Operation::close_directory : Operation::close);
  const int closed = files_->close(descriptor, directory);
  return fault.error_number != 0 ? fault.error_number : closed;
}

int FaultyFileSystem::rename(const std::string& from, const std::string& to) {
  const StorageFault fault = fault_of(Operation::rename);
  return fault.error_number != 0 ? fault.error_number : files_->rename(from, to);
}

StorageFaultPlan seeded_storage_faults(std::uint64_t seed, std::function<std::int64_t()> now) {
  return SeededFaults(seed, std::move(now));
}

}  // namespace rushhill::simulation
