#include "storage/files.h"

#include <algorithm>
#include <cerrno>
#include <filesystem>

namespace rushhill::storage {
namespace {

constexpr int most_interruptions = 100;  // EINTR in a row, before it counts as a failure
constexpr std::size_t read_at_once = 64 * 1024;
constexpr const char* temporary_suffix = ".part";

// Makes a call again where a signal interrupted it.
template <class Call>
auto uninterrupted(Call call) {
  auto result = call();
  for (int i = 0; i < most_interruptions && result.error_number == EINTR; ++i) result = call();
  return result;
}

struct Done {
  int error_number = 0;
};

Failure failure_of(Operation operation, int error_number) {
  if (error_number == 0) return {};
  return StorageError{operation, error_number};
}

// After an interrupted close the descriptor is closed all the same (Linux), and must not be closed again.
Failure close_descriptor(FileSystem& files, int descriptor, bool directory) {
  const int error_number = files.close(descriptor, directory);
  return failure_of(directory ? Operation::close_directory : Operation::close,
                    error_number == EINTR ? 0 : error_number);
}

Failure write_all(FileSystem& files, int descriptor, std::string_view content) {
  while (!content.empty()) {
    const TransferResult written = uninterrupted([&] { return files.write(descriptor, content); });
    if (written.error_number != 0) return failure_of(Operation::write, written.error_number);
    if (written.bytes == 0) return failure_of(Operation::write, EIO);
    content.remove_prefix(std::min(written.bytes, content.size()));
  }
  return {};
}

Failure read_all(FileSystem& files, int descriptor, std::size_t most, std::string& content) {
  std::string buffer(read_at_once, '\0');
  for (;;) {
    const TransferResult got =
        uninterrupted([&] { return files.read(descriptor, buffer.data(), buffer.size()); });
    if (got.error_number != 0) return failure_of(Operation::read, got.error_number);
    if (got.bytes == 0) return {};
    if (content.size() + got.bytes > most) return failure_of(Operation::read, EFBIG);
    content.append(buffer, 0, got.bytes);
  }
}

OpenResult open_file(FileSystem& files, const std::string& path, OpenMode mode) {
  return uninterrupted([&] { return files.open(path, mode); });
}

}  // namespace

ReadResult read_file(FileSystem& files, const std::string& path, std::size_t most) {
  const OpenResult opened = open_file(files, path, OpenMode::read);
  if (opened.error_number != 0) return {.failure = failure_of(Operation::open, opened.error_number)};
  ReadResult result;
  result.failure = read_all(files, opened.descriptor, most, result.content);
  files.close(opened.descriptor, false);  // nothing was written that could be lost
  return result;
}

Failure append_to_file(FileSystem& files, const std::string& path, std::string_view content) {
  const OpenResult opened = open_file(files, path, OpenMode::append);
  if (opened.error_number != 0) return failure_of(Operation::open, opened.error_number);
  const Failure of_write = write_all(files, opened.descriptor, content);
  const Failure of_close = close_descriptor(files, opened.descriptor, false);
  return of_write ? of_write : of_close;
}

AtomicFileWriter::AtomicFileWriter(std::shared_ptr<FileSystem> files, std::string path)
    : files_(std::move(files)), path_(std::move(path)), temporary_path_(path_ + temporary_suffix),
      directory_(std::filesystem::path(path_).parent_path().string()) {
  if (directory_.empty()) directory_ = ".";
}

Failure AtomicFileWriter::replace(std::string_view content) {
  Failure failure = write_temporary(content);
  if (!failure) {
    const Done renamed = uninterrupted([&] { return Done{files_->rename(temporary_path_, path_)}; });
    failure = failure_of(Operation::rename, renamed.error_number);
  }
  if (failure) {
    files_->remove(temporary_path_);  // frees its space; what is left of it harms nobody
    return failure;
  }
  return sync_directory();
}

Failure AtomicFileWriter::write_temporary(std::string_view content) {
  files_->remove(temporary_path_);  // a file whose sync failed is not synced by syncing it again
  const OpenResult opened = open_file(*files_, temporary_path_, OpenMode::replace);
  if (opened.error_number != 0) return failure_of(Operation::open, opened.error_number);
  Failure failure = write_all(*files_, opened.descriptor, content);
  if (!failure) {
    const Done synced = uninterrupted([&] { return Done{files_->sync(opened.descriptor, false)}; });
    failure = failure_of(Operation::sync, synced.error_number);
  }
  const Failure of_close = close_descriptor(*files_, opened.descriptor, false);
  return failure ? failure : of_close;
}

Failure AtomicFileWriter::sync_directory() {
  const OpenResult opened = open_file(*files_, directory_, OpenMode::directory);
  if (opened.error_number != 0) return failure_of(Operation::open_directory, opened.error_number);
  const Done synced = uninterrupted([&] { return Done{files_->sync(opened.descriptor, true)}; });
  const Failure of_close = close_descriptor(*files_, opened.descriptor, true);
  // EINVAL: this file system does not sync directories; there is nothing better to do.
  if (synced.error_number != 0 && synced.error_number != EINVAL)
    return failure_of(Operation::sync_directory, synced.error_number);
  return of_close;
}

}  // namespace rushhill::storage
