// The ways in which storage fails, for tests that go through all of them.
#pragma once

#include <gtest/gtest.h>

#include <cerrno>
#include <cstring>
#include <initializer_list>
#include <string>
#include <vector>

#include "storage/file_system.h"

namespace rushhill {

// What the manual pages document for each operation, where a retry may succeed. EINTR is not among them: it
// is no failure.
struct DocumentedFailure {
  storage::Operation operation;
  int error_number;
};
inline std::vector<DocumentedFailure> documented_failures() {
  using enum storage::Operation;
  std::vector<DocumentedFailure> all;
  const auto add = [&all](storage::Operation operation, std::initializer_list<int> errors) {
    for (const int error : errors) all.push_back({operation, error});
  };
  add(open, {ENOSPC, EIO, EDQUOT, EMFILE, ENFILE, ENOMEM, EACCES, EROFS, ENOENT});
  add(write, {ENOSPC, EIO, EDQUOT, EFBIG, EAGAIN});
  add(sync, {ENOSPC, EIO, EDQUOT, EROFS});
  add(close, {ENOSPC, EIO, EDQUOT});
  add(rename, {ENOSPC, EIO, EDQUOT, ENOMEM, EACCES, EROFS, EBUSY});
  add(open_directory, {EIO, EMFILE, ENFILE, ENOMEM, EACCES});
  add(sync_directory, {ENOSPC, EIO, EDQUOT, EROFS});
  add(close_directory, {EIO});
  return all;
}
inline std::string test_name(const testing::TestParamInfo<DocumentedFailure>& info) {
  return std::string(storage::name_of(info.param.operation)) + "_" + strerrorname_np(info.param.error_number);
}

}  // namespace rushhill
