// Whole files read, replaced atomically, and appended to, with typed errors. All of it blocks.
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
// EFBIG where the file is longer than `most` bytes.
ReadResult read_file(FileSystem& files, const std::string& path, std::size_t most);

// Appends in one write where the system takes it whole. After a failure a part may have been appended.
Failure append_to_file(FileSystem& files, const std::string& path, std::string_view content);

// Replaces a file's content so that a reader, and a start after a crash at any instant, finds the old content
// or the new, whole: writes a temporary file beside it, syncs it, renames it, and syncs the directory. Only
// one process at a time may replace a file.
class AtomicFileWriter {
 public:
  AtomicFileWriter(std::shared_ptr<FileSystem> files, std::string path);

  // After a failure the old content stands, or the new where only its durability is unknown (an operation on
  // the directory failed); trying again writes all of it anew, since a failed sync cannot be repeated.
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
