#include "storage/files.h"

#include <algorithm>
#include <cerrno>
#include <filesystem>

namespace rushhill::storage {
namespace {

constexpr int max_interruptions = 100;               // retries of one call after EINTR
constexpr std::size_t read_buffer_size = 64 * 1024;  // bytes
constexpr const char* temporary_suffix = ".part";

// Repeats a call that a signal interrupted.
template <class Call>
auto retry_interrupted(Call call) {
  auto result = call();
  for (int i = 0; i < max_interruptions && result.error_number == EINTR; ++i) result = call();
  return result;
}

struct CallResult {
  int error_number = 0;
};

Failure failure_of(Operation operation, int error_number) {
  if (error_number == 0) return {};
  return StorageError{operation, error_number};
}

// On Linux, an interrupted close closes the descriptor all the same, so it must not be repeated.
Failure close_descriptor(FileSystem& files, int descriptor, bool directory) {
  const int error_number = files.close(descriptor, directory);
  return failure_of(directory ? Operation::close_directory : Operation::close,
                    error_number == EINTR ? 0 : error_number);
}

Failure write_all(FileSystem& files, int descriptor, std::string_view content) {
  while (!content.empty()) {
    const TransferResult written = retry_interrupted([&] { return files.write(descriptor, content); });
    if (written.error_number != 0) return failure_of(Operation::write, written.error_number);
    if (written.bytes == 0) return failure_of(Operation::write, EIO);
    content.remove_prefix(std::min(written.bytes, content.size()));
  }
  return {};
}

Failure read_all(FileSystem& files, int descriptor, std::size_t max_size, std::string& content) {
  std::string buffer(read_buffer_size, '\0');
  for (;;) {
    const TransferResult chunk =
        retry_interrupted([&] { return files.read(descriptor, buffer.data(), buffer.size()); });
    if (chunk.error_number != 0) return failure_of(Operation::read, chunk.error_number);
    if (chunk.bytes == 0) return {};
    if (content.size() + chunk.bytes > max_size) return failure_of(Operation::read, EFBIG);
    content.append(buffer, 0, chunk.bytes);
  }
}

OpenResult open_file(FileSystem& files, const std::string& path, OpenMode mode) {
  return retry_interrupted([&] { return files.open(path, mode); });
}

}  // namespace

ReadResult read_file(FileSystem& files, const std::string& path, std::size_t max_size) {
  const OpenResult opened = open_file(files, path, OpenMode::read);
  if (opened.error_number != 0) return {.failure = failure_of(Operation::open, opened.error_number)};
  ReadResult result;
  result.failure = read_all(files, opened.descriptor, max_size, result.content);
  files.close(opened.descriptor, false);  // a failure is ignored, since closing after a read loses no data
  return result;
}

Failure append_to_file(FileSystem& files, const std::string& path, std::string_view content) {
  const OpenResult opened = open_file(files, path, OpenMode::append);
  if (opened.error_number != 0) return failure_of(Operation::open, opened.error_number);
  const Failure write_failure = write_all(files, opened.descriptor, content);
  const Failure close_failure = close_descriptor(files, opened.descriptor, false);
  return write_failure ? write_failure : close_failure;
}

AtomicFileWriter::AtomicFileWriter(std::shared_ptr<FileSystem> files, std::string path)
    : files_(std::move(files)), path_(std::move(path)), temporary_path_(path_ + temporary_suffix),
      directory_(std::filesystem::path(path_).parent_path().string()) {
  if (directory_.empty()) directory_ = ".";
}

Failure AtomicFileWriter::replace(std::string_view content) {
  Failure failure = write_temporary(content);
  if (!failure) {
    const CallResult renamed =
        retry_interrupted([&] { return CallResult{files_->rename(temporary_path_, path_)}; });
    failure = failure_of(Operation::rename, renamed.error_number);
  }
  if (failure) {
    // Frees the space of the temporary file. If this fails, the next write replaces the file.
    files_->remove(temporary_path_);
    return failure;
  }
  return sync_directory();
}

Failure AtomicFileWriter::write_temporary(std::string_view content) {
  // After a failed sync, a file must be written anew: a second sync of the same file does not save the data.
  files_->remove(temporary_path_);
  const OpenResult opened = open_file(*files_, temporary_path_, OpenMode::replace);
  if (opened.error_number != 0) return failure_of(Operation::open, opened.error_number);
  Failure failure = write_all(*files_, opened.descriptor, content);
  if (!failure) {
    const CallResult synced =
        retry_interrupted([&] { return CallResult{files_->sync(opened.descriptor, false)}; });
    failure = failure_of(Operation::sync, synced.error_number);
  }
  const Failure close_failure = close_descriptor(*files_, opened.descriptor, false);
  return failure ? failure : close_failure;
}

Failure AtomicFileWriter::sync_directory() {
  const OpenResult opened = open_file(*files_, directory_, OpenMode::directory);
  if (opened.error_number != 0) return failure_of(Operation::open_directory, opened.error_number);
  const CallResult synced =
      retry_interrupted([&] { return CallResult{files_->sync(opened.descriptor, true)}; });
  const Failure close_failure = close_descriptor(*files_, opened.descriptor, true);
  // EINVAL means that this file system cannot sync directories, which is no reason to fail.
  if (synced.error_number != 0 && synced.error_number != EINVAL)
    return failure_of(Operation::sync_directory, synced.error_number);
  return close_failure;
}

}  // namespace rushhill::storage
