// The file system calls that the program makes, behind an interface, so that a test double can produce each
// documented failure. Each function makes its system call once: callers handle EINTR and short writes.
#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace rushhill::storage {

// The operation that failed. `start` is the creation of the thread that runs a background task.
enum class Operation {
  start,
  open,
  read,
  write,
  sync,
  close,
  rename,
  open_directory,
  sync_directory,
  close_directory
};
inline constexpr std::array all_operations{
    Operation::start,          Operation::open,           Operation::read,   Operation::write,
    Operation::sync,           Operation::close,          Operation::rename, Operation::open_directory,
    Operation::sync_directory, Operation::close_directory};
const char* name_of(Operation operation);

struct StorageError {
  Operation operation = Operation::open;
  int error_number = 0;  // an errno value
  bool operator==(const StorageError&) const = default;
};
// Returns a text for people, such as "write: No space left on device".
std::string describe(const StorageError& error);

// The error of an operation, or nullopt if it succeeded.
using Failure = std::optional<StorageError>;

// In the results of calls, `error_number` is an errno value, or 0 if the call succeeded.
struct OpenResult {
  int descriptor = -1;
  int error_number = 0;
};
struct TransferResult {
  std::size_t bytes = 0;  // a read of 0 bytes is the end of the file
  int error_number = 0;
};

enum class OpenMode {
  read,
  replace,  // created, or truncated if it exists
  append,   // created if it does not exist
  directory
};

class FileSystem {
 public:
  FileSystem() = default;
  FileSystem(const FileSystem&) = delete;
  FileSystem& operator=(const FileSystem&) = delete;
  virtual ~FileSystem() = default;

  virtual OpenResult open(const std::string& path, OpenMode mode) = 0;
  virtual TransferResult read(int descriptor, char* buffer, std::size_t max_bytes) = 0;
  virtual TransferResult write(int descriptor, std::string_view bytes) = 0;
  // These return an errno value, or 0 on success. `directory` says whether the descriptor is that of a
  // directory.
  virtual int sync(int descriptor, bool directory) = 0;
  virtual int close(int descriptor, bool directory) = 0;
  virtual int rename(const std::string& from, const std::string& to) = 0;
  virtual int remove(const std::string& path) = 0;
};

// Returns the operating system's file system, which several threads may use at a time.
std::shared_ptr<FileSystem> system_files();

}  // namespace rushhill::storage
