// Guards against file contents that are lost or mixed when storage fails or the writer is killed. A faulty
// file system fails each operation with each documented error, once or permanently, and SIGKILL ends the
// writer before each of its calls while every write is cut to one byte. Readers must find the complete old or
// new content.
#include "storage/files.h"

#include <dirent.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <thread>

#include "simulation/faulty_file_system.h"
#include "storage/background_task.h"
#include "storage/documented_failures.h"
#include "storage/temporary_directory.h"

namespace rushhill::storage {
namespace {

using simulation::FaultyFileSystem;
using simulation::StorageFault;

const std::string old_content = "the old content, somewhat longer than the new\n";
const std::string new_content = "the new content, in whole\n";
constexpr int failing_attempts = 3;

std::size_t open_descriptors() {
  std::size_t count = 0;
  DIR* all = opendir("/proc/self/fd");
  while (readdir(all) != nullptr) ++count;
  closedir(all);
  return count;
}

bool is_directory_operation(Operation operation) { return operation >= Operation::open_directory; }

// A file with the old content, which is read and checked before each call of the writer.
class ReplacedFile {
 public:
  ReplacedFile() { std::ofstream(path) << old_content; }

  std::shared_ptr<FileSystem> files(simulation::StorageFaultPlan plan) {
    return std::make_shared<FaultyFileSystem>(system_files(),
                                              [this, plan = std::move(plan)](Operation operation) {
                                                calls.push_back(operation);
                                                expect_complete_content();
                                                return plan(operation);
                                              });
  }
  void expect_complete_content() const {
    const std::string content = content_of(path);
    EXPECT_TRUE(content == old_content || content == new_content) << content;
  }
  bool temporary_file_exists() const { return std::filesystem::exists(path + ".part"); }

  TemporaryDirectory directory;
  const std::string path = directory / "file";
  std::vector<Operation> calls;
};

class ReplaceFailureTest : public testing::TestWithParam<DocumentedFailure> {};

TEST_P(ReplaceFailureTest, SucceedsAfterOneFailure) {
  const StorageError error{GetParam().operation, GetParam().error_number};
  ReplacedFile file;
  bool failed = false;
  AtomicFileWriter writer(file.files([&](Operation operation) {
    if (operation != error.operation || std::exchange(failed, true)) return StorageFault{};
    return StorageFault{.error_number = error.error_number};
  }),
                          file.path);
  const std::size_t descriptors = open_descriptors();
  EXPECT_EQ(writer.replace(new_content), error);
  EXPECT_EQ(content_of(file.path), is_directory_operation(error.operation) ? new_content : old_content);
  EXPECT_FALSE(file.temporary_file_exists());
  EXPECT_EQ(writer.replace(new_content), Failure{});
  EXPECT_EQ(content_of(file.path), new_content);
  EXPECT_EQ(open_descriptors(), descriptors);
}

TEST_P(ReplaceFailureTest, KeepsContentReadableDuringPermanentFailure) {
  const StorageError error{GetParam().operation, GetParam().error_number};
  ReplacedFile file;
  AtomicFileWriter writer(file.files([&](Operation operation) {
    return operation == error.operation ? StorageFault{.error_number = error.error_number} : StorageFault{};
  }),
                          file.path);
  const std::size_t descriptors = open_descriptors();
  for (int i = 0; i < failing_attempts; ++i) {
    EXPECT_EQ(writer.replace(new_content), error);
    EXPECT_EQ(content_of(file.path), is_directory_operation(error.operation) ? new_content : old_content);
    EXPECT_FALSE(file.temporary_file_exists());
  }
  EXPECT_EQ(open_descriptors(), descriptors);
}

INSTANTIATE_TEST_SUITE_P(Documented, ReplaceFailureTest, testing::ValuesIn(documented_failures()), test_name);

TEST(AtomicFileWriter, SyncsFileBeforeRenameAndDirectoryAfterIt) {
  ReplacedFile file;
  AtomicFileWriter writer(file.files([](Operation) { return StorageFault{}; }), file.path);
  EXPECT_EQ(writer.replace(new_content), Failure{});
  using enum Operation;
  EXPECT_EQ(file.calls, (std::vector<Operation>{open, write, sync, close, rename, open_directory,
                                                sync_directory, close_directory}));
}

TEST(AtomicFileWriter, KeepsOldContentWhenWriteFailsAfterAnyByte) {
  for (const int error_number : {ENOSPC, EIO, EDQUOT}) {
    for (std::size_t free_bytes = 0; free_bytes < new_content.size(); ++free_bytes) {
      ReplacedFile file;
      std::size_t written = 0;
      AtomicFileWriter writer(file.files([&](Operation operation) {
        if (operation != Operation::write) return StorageFault{};
        if (written == free_bytes) return StorageFault{.error_number = error_number};
        ++written;
        return StorageFault{.most_bytes = 1};
      }),
                              file.path);
      EXPECT_EQ(writer.replace(new_content), (StorageError{Operation::write, error_number})) << free_bytes;
      EXPECT_EQ(content_of(file.path), old_content) << free_bytes;
      EXPECT_FALSE(file.temporary_file_exists()) << free_bytes;
    }
  }
}

TEST(AtomicFileWriter, SucceedsDespiteShortWritesAndInterruptedCalls) {
  ReplacedFile file;
  bool interrupted = false;
  AtomicFileWriter writer(file.files([&](Operation operation) {
    const bool closes = operation == Operation::close || operation == Operation::close_directory;
    interrupted = !interrupted;
    if (interrupted || closes) return StorageFault{.error_number = EINTR};
    return StorageFault{.most_bytes = 1};
  }),
                          file.path);
  const std::size_t descriptors = open_descriptors();
  EXPECT_EQ(writer.replace(new_content), Failure{});
  EXPECT_EQ(content_of(file.path), new_content);
  EXPECT_EQ(open_descriptors(), descriptors);
}

TEST(AtomicFileWriter, FailsWhenCallIsAlwaysInterrupted) {
  for (const Operation operation : {Operation::open, Operation::write, Operation::sync, Operation::rename,
                                    Operation::open_directory, Operation::sync_directory}) {
    ReplacedFile file;
    AtomicFileWriter writer(file.files([&](Operation called) {
      return called == operation ? StorageFault{.error_number = EINTR} : StorageFault{};
    }),
                            file.path);
    EXPECT_EQ(writer.replace(new_content), (StorageError{operation, EINTR}));
  }
}

TEST(AtomicFileWriter, FailsWhenWriteWritesNoBytes) {
  ReplacedFile file;
  AtomicFileWriter writer(file.files([](Operation) { return StorageFault{.most_bytes = 0}; }), file.path);
  EXPECT_EQ(writer.replace(new_content), (StorageError{Operation::write, EIO}));
}

TEST(AtomicFileWriter, SucceedsWhenDirectoriesCannotBeSynced) {
  ReplacedFile file;
  AtomicFileWriter writer(file.files([](Operation operation) {
    return operation == Operation::sync_directory ? StorageFault{.error_number = EINVAL} : StorageFault{};
  }),
                          file.path);
  EXPECT_EQ(writer.replace(new_content), Failure{});
}

TEST(AtomicFileWriter, FailsWhenDirectoryIsMissingOrPathIsDirectory) {
  TemporaryDirectory directory;
  EXPECT_EQ(AtomicFileWriter(system_files(), directory / "missing/file").replace(new_content),
            (StorageError{Operation::open, ENOENT}));
  std::filesystem::create_directory(directory / "taken");
  EXPECT_EQ(AtomicFileWriter(system_files(), directory / "taken").replace(new_content),
            (StorageError{Operation::rename, EISDIR}));
}

TEST(AtomicFileWriter, LeavesCompleteContentWhenKilledBeforeAnyCall) {
  const std::size_t calls =
      new_content.size() + 8;  // one write per byte, the 7 other calls of a replacement, and one call beyond
  bool new_content_seen = false;
  for (std::size_t calls_before_kill = 0; calls_before_kill < calls; ++calls_before_kill) {
    ReplacedFile file;
    const pid_t child = fork();
    ASSERT_GE(child, 0);
    if (child == 0) {
      std::size_t calls_made = 0;
      const auto files = std::make_shared<FaultyFileSystem>(system_files(), [&](Operation) {
        if (calls_made++ == calls_before_kill) ::raise(SIGKILL);
        return StorageFault{.most_bytes = 1};
      });
      AtomicFileWriter(files, file.path).replace(new_content);
      _exit(0);
    }
    int status = 0;
    ASSERT_EQ(waitpid(child, &status, 0), child);
    const bool killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
    EXPECT_EQ(killed, calls_before_kill + 1 < calls) << calls_before_kill;
    const std::string content = content_of(file.path);
    const bool is_new = content == new_content;
    EXPECT_TRUE(is_new || content == old_content) << calls_before_kill << ": " << content;
    EXPECT_TRUE(is_new || !new_content_seen) << "a kill at a later call brought the old content back";
    new_content_seen = new_content_seen || is_new;
    EXPECT_EQ(AtomicFileWriter(system_files(), file.path).replace(new_content), Failure{});
    EXPECT_EQ(content_of(file.path), new_content);
    EXPECT_FALSE(file.temporary_file_exists());
  }
  EXPECT_TRUE(new_content_seen);
}

TEST(AppendToFile, HandlesShortWritesAndInterruptionsAndReturnsFailures) {
  TemporaryDirectory directory;
  const std::string path = directory / "counts";
  bool interrupted = false;
  FaultyFileSystem interrupting(system_files(), [&](Operation) {
    interrupted = !interrupted;
    return interrupted ? StorageFault{.error_number = EINTR} : StorageFault{.most_bytes = 1};
  });
  EXPECT_EQ(append_to_file(interrupting, path, "one\n"), Failure{});
  EXPECT_EQ(append_to_file(interrupting, path, "two\n"), Failure{});
  EXPECT_EQ(content_of(path), "one\ntwo\n");
  for (const Operation operation : {Operation::open, Operation::write, Operation::close}) {
    for (const int error_number : {ENOSPC, EIO, EDQUOT}) {
      FaultyFileSystem failing(system_files(), [&](Operation called) {
        return called == operation ? StorageFault{.error_number = error_number} : StorageFault{};
      });
      EXPECT_EQ(append_to_file(failing, path, "three\n"), (StorageError{operation, error_number}));
    }
  }
}

TEST(ReadFile, HandlesShortReadsAndInterruptionsAndReturnsFailures) {
  TemporaryDirectory directory;
  const std::string path = directory / "file";
  std::ofstream(path) << old_content;
  bool interrupted = false;
  FaultyFileSystem interrupting(system_files(), [&](Operation) {
    interrupted = !interrupted;
    return interrupted ? StorageFault{.error_number = EINTR} : StorageFault{.most_bytes = 1};
  });
  EXPECT_EQ(read_file(interrupting, path, old_content.size()).content, old_content);
  for (const Operation operation : {Operation::open, Operation::read}) {
    for (const int error_number : {EIO, EACCES, EMFILE, ENOMEM}) {
      FaultyFileSystem failing(system_files(), [&](Operation called) {
        return called == operation ? StorageFault{.error_number = error_number} : StorageFault{};
      });
      EXPECT_EQ(read_file(failing, path, 1'000).failure, (StorageError{operation, error_number}));
    }
  }
  const auto files = system_files();
  EXPECT_EQ(read_file(*files, path, old_content.size() - 1).failure, (StorageError{Operation::read, EFBIG}));
  EXPECT_EQ(read_file(*files, directory / "none", 1).failure, (StorageError{Operation::open, ENOENT}));
  EXPECT_EQ(read_file(*files, directory / "", 1).failure, (StorageError{Operation::read, EISDIR}));
}

TEST(RunOnThread, DoesNotBlockCallerAndBlocksSignals) {
  std::promise<void> release;
  sigset_t blocked{};
  std::future<Failure> result = run_on_thread([&]() -> Failure {
    pthread_sigmask(SIG_SETMASK, nullptr, &blocked);
    release.get_future().wait();
    return StorageError{Operation::write, ENOSPC};
  });
  EXPECT_EQ(result.wait_for(std::chrono::seconds{0}), std::future_status::timeout);
  release.set_value();
  EXPECT_EQ(result.get(), (StorageError{Operation::write, ENOSPC}));
  EXPECT_EQ(sigismember(&blocked, SIGTERM), 1);
  EXPECT_EQ(sigismember(&blocked, SIGINT), 1);
  sigset_t own{};
  pthread_sigmask(SIG_SETMASK, nullptr, &own);
  EXPECT_EQ(sigismember(&own, SIGTERM), 0) << "the caller's signal mask was not restored";
}

TEST(SeededStorageFaults, AreReproducibleAndEndWithinSeconds) {
  const auto errors_for_seed = [](std::uint64_t seed) {
    std::int64_t now = 1;
    simulation::StorageFaultPlan plan = simulation::seeded_storage_faults(seed, [&now] { return now; });
    std::vector<int> errors;
    for (; now < 3'000'000; now += 100) errors.push_back(plan(Operation::write).error_number);
    return errors;
  };
  const std::vector<int> errors = errors_for_seed(1);
  EXPECT_EQ(errors, errors_for_seed(1));
  EXPECT_NE(errors, errors_for_seed(2));
  // 300 calls are made in a fault span of 3 s; the others are allowed for calls that were only interrupted.
  constexpr int max_consecutive_failures = 310;
  int consecutive_failures = 0;
  int failures = 0;
  for (const int error : errors) {
    const bool fails = error != 0 && error != EINTR;
    failures += fails ? 1 : 0;
    consecutive_failures = fails ? consecutive_failures + 1 : 0;
    EXPECT_LT(consecutive_failures, max_consecutive_failures);
  }
  EXPECT_GT(failures, 100) << "failed calls of 30,000 in 5 minutes";
}

}  // namespace
}  // namespace rushhill::storage
