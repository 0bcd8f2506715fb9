// Whole files under every documented failure of every operation, once and for good, at every call, and under
// SIGKILL between any two system calls, with writes of one byte each: a reader finds the old content or the
// new.
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
constexpr int attempts_while_failing = 3;

std::size_t open_descriptors() {
  std::size_t count = 0;
  DIR* all = opendir("/proc/self/fd");
  while (readdir(all) != nullptr) ++count;
  closedir(all);
  return count;
}

bool of_directory(Operation operation) { return operation >= Operation::open_directory; }

// A file with old content, whose reader looks before each call of the writer.
class ReplacedFile {
 public:
  ReplacedFile() { std::ofstream(path) << old_content; }

  std::shared_ptr<FileSystem> files(simulation::StorageFaultPlan plan) {
    return std::make_shared<FaultyFileSystem>(system_files(),
                                              [this, plan = std::move(plan)](Operation operation) {
                                                calls.push_back(operation);
                                                expect_whole();
                                                return plan(operation);
                                              });
  }
  void expect_whole() const {
    const std::string seen = content_of(path);
    EXPECT_TRUE(seen == old_content || seen == new_content) << seen;
  }
  bool temporary_is_left() const { return std::filesystem::exists(path + ".part"); }

  TemporaryDirectory directory;
  const std::string path = directory / "file";
  std::vector<Operation> calls;
};

class ReplaceFails : public testing::TestWithParam<DocumentedFailure> {};

TEST_P(ReplaceFails, OnceAndTheNextAttemptSucceeds) {
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
  EXPECT_EQ(content_of(file.path), of_directory(error.operation) ? new_content : old_content);
  EXPECT_FALSE(file.temporary_is_left());
  EXPECT_EQ(writer.replace(new_content), Failure{});
  EXPECT_EQ(content_of(file.path), new_content);
  EXPECT_EQ(open_descriptors(), descriptors);
}

TEST_P(ReplaceFails, ForGoodAndTheContentStaysReadable) {
  const StorageError error{GetParam().operation, GetParam().error_number};
  ReplacedFile file;
  AtomicFileWriter writer(file.files([&](Operation operation) {
    return operation == error.operation ? StorageFault{.error_number = error.error_number} : StorageFault{};
  }),
                          file.path);
  const std::size_t descriptors = open_descriptors();
  for (int i = 0; i < attempts_while_failing; ++i) {
    EXPECT_EQ(writer.replace(new_content), error);
    EXPECT_EQ(content_of(file.path), of_directory(error.operation) ? new_content : old_content);
    EXPECT_FALSE(file.temporary_is_left());
  }
  EXPECT_EQ(open_descriptors(), descriptors);
}

INSTANTIATE_TEST_SUITE_P(Documented, ReplaceFails, testing::ValuesIn(documented_failures()), test_name);

TEST(AtomicFileWriter, SyncsTheFileBeforeTheRenameAndTheDirectoryBehindIt) {
  ReplacedFile file;
  AtomicFileWriter writer(file.files([](Operation) { return StorageFault{}; }), file.path);
  EXPECT_EQ(writer.replace(new_content), Failure{});
  using enum Operation;
  EXPECT_EQ(file.calls, (std::vector<Operation>{open, write, sync, close, rename, open_directory,
                                                sync_directory, close_directory}));
}

TEST(AtomicFileWriter, WhenTheDiskIsFullAfterAnyByteTheOldContentStands) {
  for (const int error_number : {ENOSPC, EIO, EDQUOT}) {
    for (std::size_t room = 0; room < new_content.size(); ++room) {
      ReplacedFile file;
      std::size_t written = 0;
      AtomicFileWriter writer(file.files([&](Operation operation) {
        if (operation != Operation::write) return StorageFault{};
        if (written == room) return StorageFault{.error_number = error_number};
        ++written;
        return StorageFault{.most_bytes = 1};
      }),
                              file.path);
      EXPECT_EQ(writer.replace(new_content), (StorageError{Operation::write, error_number})) << room;
      EXPECT_EQ(content_of(file.path), old_content) << room;
      EXPECT_FALSE(file.temporary_is_left()) << room;
    }
  }
}

TEST(AtomicFileWriter, WritesOfOneByteAndInterruptionsOfEveryCallAreNoFailures) {
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

TEST(AtomicFileWriter, ACallThatIsInterruptedWithoutEndFails) {
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

TEST(AtomicFileWriter, AWriteThatTakesNothingFailsInsteadOfSpinning) {
  ReplacedFile file;
  AtomicFileWriter writer(file.files([](Operation) { return StorageFault{.most_bytes = 0}; }), file.path);
  EXPECT_EQ(writer.replace(new_content), (StorageError{Operation::write, EIO}));
}

TEST(AtomicFileWriter, ADirectoryThatCannotBeSyncedAtAllIsNoFailure) {
  ReplacedFile file;
  AtomicFileWriter writer(file.files([](Operation operation) {
    return operation == Operation::sync_directory ? StorageFault{.error_number = EINVAL} : StorageFault{};
  }),
                          file.path);
  EXPECT_EQ(writer.replace(new_content), Failure{});
}

TEST(AtomicFileWriter, ADirectoryThatIsGoneIsAFailureAndSoIsOneInThePlaceOfTheFile) {
  TemporaryDirectory directory;
  EXPECT_EQ(AtomicFileWriter(system_files(), directory / "missing/file").replace(new_content),
            (StorageError{Operation::open, ENOENT}));
  std::filesystem::create_directory(directory / "taken");
  EXPECT_EQ(AtomicFileWriter(system_files(), directory / "taken").replace(new_content),
            (StorageError{Operation::rename, EISDIR}));
}

TEST(AtomicFileWriter, ThatIsKilledBeforeAnyCallLeavesTheOldContentOrTheNewAndTheNextWriterSucceeds) {
  const std::size_t calls =
      new_content.size() + 8;  // writes of one byte; open, sync, ... close of the directory
  bool renamed = false;
  for (std::size_t survived = 0; survived < calls; ++survived) {
    ReplacedFile file;
    const pid_t child = fork();
    ASSERT_GE(child, 0);
    if (child == 0) {
      std::size_t made = 0;
      const auto files = std::make_shared<FaultyFileSystem>(system_files(), [&](Operation) {
        if (made++ == survived) ::raise(SIGKILL);
        return StorageFault{.most_bytes = 1};
      });
      AtomicFileWriter(files, file.path).replace(new_content);
      _exit(0);
    }
    int status = 0;
    ASSERT_EQ(waitpid(child, &status, 0), child);
    const bool killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
    EXPECT_EQ(killed, survived + 1 < calls) << survived;
    const std::string seen = content_of(file.path);
    const bool is_new = seen == new_content;
    EXPECT_TRUE(is_new || seen == old_content) << survived << ": " << seen;
    EXPECT_TRUE(is_new || !renamed) << "the new content is never undone";
    renamed = renamed || is_new;
    EXPECT_EQ(AtomicFileWriter(system_files(), file.path).replace(new_content), Failure{});
    EXPECT_EQ(content_of(file.path), new_content);
    EXPECT_FALSE(file.temporary_is_left());
  }
  EXPECT_TRUE(renamed);
}

TEST(AppendToFile, TakesShortWritesAndInterruptionsAndTellsEachFailure) {
  TemporaryDirectory directory;
  const std::string path = directory / "counts";
  bool interrupted = false;
  FaultyFileSystem troubled(system_files(), [&](Operation) {
    interrupted = !interrupted;
    return interrupted ? StorageFault{.error_number = EINTR} : StorageFault{.most_bytes = 1};
  });
  EXPECT_EQ(append_to_file(troubled, path, "one\n"), Failure{});
  EXPECT_EQ(append_to_file(troubled, path, "two\n"), Failure{});
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

TEST(ReadFile, TakesShortReadsAndInterruptionsAndTellsEachFailure) {
  TemporaryDirectory directory;
  const std::string path = directory / "file";
  std::ofstream(path) << old_content;
  bool interrupted = false;
  FaultyFileSystem troubled(system_files(), [&](Operation) {
    interrupted = !interrupted;
    return interrupted ? StorageFault{.error_number = EINTR} : StorageFault{.most_bytes = 1};
  });
  EXPECT_EQ(read_file(troubled, path, old_content.size()).content, old_content);
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

TEST(RunOnThread, DoesNotBlockTheCallerAndTakesNoSignals) {
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
  EXPECT_EQ(sigismember(&own, SIGTERM), 0) << "the caller's mask stands as it was";
}

TEST(SeededStorageFaults, AreTheSameForASeedAndEndWithinSeconds) {
  const auto drawn = [](std::uint64_t seed) {
    std::int64_t now = 1;
    simulation::StorageFaultPlan plan = simulation::seeded_storage_faults(seed, [&now] { return now; });
    std::vector<int> errors;
    for (; now < 3'000'000; now += 100) errors.push_back(plan(Operation::write).error_number);
    return errors;
  };
  const std::vector<int> errors = drawn(1);
  EXPECT_EQ(errors, drawn(1));
  EXPECT_NE(errors, drawn(2));
  constexpr int longest_row = 310;  // calls in a span of 3 s, and a few that were only interrupted
  int row = 0;
  int failed = 0;
  for (const int error : errors) {
    const bool fails = error != 0 && error != EINTR;
    failed += fails ? 1 : 0;
    row = fails ? row + 1 : 0;
    EXPECT_LT(row, longest_row);
  }
  EXPECT_GT(failed, 100) << "of 30,000 calls in 5 minutes";
}

}  // namespace
}  // namespace rushhill::storage
