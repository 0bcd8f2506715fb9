// A file system that fails as the manual pages document: by a plan that a test writes, or one drawn from a
// seed.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <mutex>

#include "storage/file_system.h"

namespace rushhill::simulation {

// What happens to one call; the default: nothing.
struct StorageFault {
  int error_number = 0;  // the call is not made and fails with this; for a close: it is made, and fails
  std::size_t most_bytes = std::numeric_limits<std::size_t>::max();  // a read or write is cut to this
};
// Asked before each call.
using StorageFaultPlan = std::function<StorageFault(storage::Operation)>;

// Forwards calls to another file system, but for those that fail by the plan.
class FaultyFileSystem final : public storage::FileSystem {
 public:
  FaultyFileSystem(std::shared_ptr<storage::FileSystem> files, StorageFaultPlan plan);

  storage::OpenResult open(const std::string& path, storage::OpenMode mode) override;
  storage::TransferResult read(int descriptor, char* into, std::size_t most) override;
  storage::TransferResult write(int descriptor, std::string_view bytes) override;
  int sync(int descriptor, bool directory) override;
  int close(int descriptor, bool directory) override;
  int rename(const std::string& from, const std::string& to) override;
  int remove(const std::string& path) override { return files_->remove(path); }

 private:
  StorageFault fault_of(storage::Operation operation);

  std::shared_ptr<storage::FileSystem> files_;
  std::mutex mutex_;  // guards the plan
  StorageFaultPlan plan_;
};

// Spans without and with faults in turn, of at most some seconds each; in a span with faults one or two of
// the operations fail with one error, always or now and then. Throughout, calls are interrupted and writes
// are short at times. `now`: monotonic, in tenths of a millisecond.
StorageFaultPlan seeded_storage_faults(std::uint64_t seed, std::function<std::int64_t()> now);

}  // namespace rushhill::simulation
