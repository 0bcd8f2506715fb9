// Every documented failure of a storage operation, for parameterized tests.
#pragma once

#include <gtest/gtest.h>

#include <cerrno>
#include <cstring>
#include <initializer_list>
#include <string>
#include <vector>

#include "storage/file_system.h"

namespace rushhill {

// An error that the manual pages document for the operation and after which a retry may succeed. EINTR is not
// included, because interrupted calls are repeated.
struct DocumentedFailure {
  storage::Operation operation;
  int error_number;
};
inline std::vector<DocumentedFailure> documented_failures() {
  using enum storage::Operation;
  std::vector<DocumentedFailure> all;
  const auto add_failures = [&all](storage::Operation operation, std::initializer_list<int> errors) {
    for (const int error : errors) all.push_back({operation, error});
  };
  add_failures(open, {ENOSPC, EIO, EDQUOT, EMFILE, ENFILE, ENOMEM, EACCES, EROFS, ENOENT});
  add_failures(write, {ENOSPC, EIO, EDQUOT, EFBIG, EAGAIN});
  add_failures(sync, {ENOSPC, EIO, EDQUOT, EROFS});
  add_failures(close, {ENOSPC, EIO, EDQUOT});
  add_failures(rename, {ENOSPC, EIO, EDQUOT, ENOMEM, EACCES, EROFS, EBUSY});
  add_failures(open_directory, {EIO, EMFILE, ENFILE, ENOMEM, EACCES});
  add_failures(sync_directory, {ENOSPC, EIO, EDQUOT, EROFS});
  add_failures(close_directory, {EIO});
  return all;
}
inline std::string test_name(const testing::TestParamInfo<DocumentedFailure>& info) {
  return std::string(storage::name_of(info.param.operation)) + "_" + strerrorname_np(info.param.error_number);
}

}  // namespace rushhill
