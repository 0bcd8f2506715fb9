// The system calls on files that the program makes, behind an interface, so that each documented failure can
// be produced by a test double. Every call is made once: callers handle EINTR and short writes.
#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace rushhill::storage {

// What was attempted when storage failed. `start`: the thread that was to write could not be created.
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
  int error_number = 0;  // as errno
  bool operator==(const StorageError&) const = default;
};
// For people, as "write: No space left on device".
std::string describe(const StorageError& error);

// The error of something that may fail; none: it was done.
using Failure = std::optional<StorageError>;

// `error_number` 0: done.
struct OpenResult {
  int descriptor = -1;
  int error_number = 0;
};
struct TransferResult {
  std::size_t bytes = 0;  // read: 0 is the end of the file
  int error_number = 0;
};

enum class OpenMode {
  read,
  replace,  // created or emptied
  append,   // created where missing
  directory
};

class FileSystem {
 public:
  FileSystem() = default;
  FileSystem(const FileSystem&) = delete;
  FileSystem& operator=(const FileSystem&) = delete;
  virtual ~FileSystem() = default;

  virtual OpenResult open(const std::string& path, OpenMode mode) = 0;
  virtual TransferResult read(int descriptor, char* into, std::size_t most) = 0;
  virtual TransferResult write(int descriptor, std::string_view bytes) = 0;
  // These return an error number; 0: done. `directory` names what the descriptor stands for.
  virtual int sync(int descriptor, bool directory) = 0;
  virtual int close(int descriptor, bool directory) = 0;
  virtual int rename(const std::string& from, const std::string& to) = 0;
  virtual int remove(const std::string& path) = 0;
};

// The system's own files; may be used by several threads.
std::shared_ptr<FileSystem> system_files();

}  // namespace rushhill::storage
