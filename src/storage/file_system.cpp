#include "storage/file_system.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <system_error>

namespace rushhill::storage {
namespace {

constexpr mode_t new_file_mode = 0666;  // before the process's umask is applied

int error_of(int return_value) { return return_value == 0 ? 0 : errno; }

int flags_of(OpenMode mode) {
  switch (mode) {
    case OpenMode::read:
      return O_RDONLY | O_CLOEXEC | O_NONBLOCK;  // opening a FIFO must not block
    case OpenMode::replace:
      return O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC;
    case OpenMode::append:
      return O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC;
    case OpenMode::directory:
      break;
  }
  return O_RDONLY | O_DIRECTORY | O_CLOEXEC;
}

class SystemFileSystem final : public FileSystem {
 public:
  OpenResult open(const std::string& path, OpenMode mode) override {
    const int descriptor = ::open(path.c_str(), flags_of(mode), new_file_mode);
    return {.descriptor = descriptor, .error_number = descriptor >= 0 ? 0 : errno};
  }
  TransferResult read(int descriptor, char* buffer, std::size_t max_bytes) override {
    return to_transfer_result(::read(descriptor, buffer, max_bytes));
  }
  TransferResult write(int descriptor, std::string_view bytes) override {
    return to_transfer_result(::write(descriptor, bytes.data(), bytes.size()));
  }
  int sync(int descriptor, bool) override { return error_of(::fsync(descriptor)); }
  int close(int descriptor, bool) override { return error_of(::close(descriptor)); }
  int rename(const std::string& from, const std::string& to) override {
    return error_of(std::rename(from.c_str(), to.c_str()));
  }
  int remove(const std::string& path) override { return error_of(::unlink(path.c_str())); }

 private:
  static TransferResult to_transfer_result(ssize_t return_value) {
    if (return_value < 0) return {.error_number = errno};
    return {.bytes = static_cast<std::size_t>(return_value)};
  }
};

}  // namespace

const char* name_of(Operation operation) {
  switch (operation) {
    case Operation::start:
      return "start";
    case Operation::open:
      return "open";
    case Operation::read:
      return "read";
    case Operation::write:
      return "write";
    case Operation::sync:
      return "sync";
    case Operation::close:
      return "close";
    case Operation::rename:
      return "rename";
    case Operation::open_directory:
      return "open_directory";
    case Operation::sync_directory:
      return "sync_directory";
    case Operation::close_directory:
      break;
  }
  return "close_directory";
}

std::string describe(const StorageError& error) {
  return std::string(name_of(error.operation)) + ": " + std::generic_category().message(error.error_number);
}

std::shared_ptr<FileSystem> system_files() { return std::make_shared<SystemFileSystem>(); }

}  // namespace rushhill::storage
