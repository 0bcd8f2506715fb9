// Reads whole files, replaces them atomically and appends to them, with typed errors. All functions block.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "storage/file_system.h"

namespace rushhill::storage {

struct ReadResult {
  std::string content{};
  Failure failure{};
};
// Fails with EFBIG if the file is longer than `max_size` bytes.
ReadResult read_file(FileSystem& files, const std::string& path, std::size_t max_size);

// Appends in one write call unless the system writes only a part of it. After a failure a part of the content
// may have been appended.
Failure append_to_file(FileSystem& files, const std::string& path, std::string_view content);

// Replaces a file's content atomically: readers, also after a crash at any point, find either the complete
// old or the complete new content. Writes a temporary file in the same directory, syncs it, renames it and
// syncs the directory. Only one process at a time may replace a file.
class AtomicFileWriter {
 public:
  AtomicFileWriter(std::shared_ptr<FileSystem> files, std::string path);

  // After a failure the file has its old content, or the new one if only an operation on the directory
  // failed; the new content may then be lost in a crash. A retry writes everything again, since a failed sync
  // cannot be repeated.
  Failure replace(std::string_view content);
  const std::string& path() const { return path_; }
  const std::string& temporary_path() const { return temporary_path_; }

 private:
  Failure write_temporary(std::string_view content);
  Failure sync_directory();

  std::shared_ptr<FileSystem> files_;
  std::string path_, temporary_path_, directory_;
};

}  // namespace rushhill::storage
