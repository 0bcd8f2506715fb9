// The remembered endpoint list in virtual time on files that fail: when it is written and retried, what is
// logged and counted, and what a start reads back.
#include "router/remembered_endpoint_list.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "emulator/network.h"
#include "simulation/faulty_file_system.h"
#include "storage/documented_failures.h"
#include "storage/temporary_directory.h"

namespace rushhill::router {
namespace {

using simulation::StorageFault;
using storage::Operation;

constexpr Time second = 10'000;
constexpr Time longest_backoff = 30 * second;
constexpr Time wall_offset = 123'456'789;

struct LogLine {
  core::Level level;
  std::string what;
  std::map<std::string, std::string> fields;
};
class RecordingLog final : public core::EventLog {
 public:
  bool wants(core::Level) const override { return true; }
  void write(core::Level level, const char* what, Fields fields) override {
    lines.push_back({level, what, {}});
    for (const auto& [name, value] : fields) lines.back().fields[name] = value;
  }
  std::size_t count(const std::string& what) const {
    return static_cast<std::size_t>(std::ranges::count(lines, what, &LogLine::what));
  }
  std::vector<LogLine> lines;
};

membership::RosterWord list_of(std::int64_t revision) {
  core::EndpointListEntry entry{
      .endpoint = {.id = "s" + std::to_string(revision), .started = to_timestamp(77)},
      .address = "127.0.0.1:9"};
  return {.form = EndpointListForm::complete, .revision = revision, .entries = {entry}};
}

class RememberedList : public testing::Test {
 protected:
  StorageAccess access() {
    auto plan = [this](Operation operation) {
      if (operation == Operation::open) written_at.push_back(network.now());
      return fault(operation);
    };
    return {.files = std::make_shared<simulation::FaultyFileSystem>(storage::system_files(), plan),
            .execute = storage::run_inline};
  }
  void start(const StorageAccess& storage_access, std::uint64_t seed = 1) {
    list = std::make_unique<RememberedEndpointList>(network, log, storage_access, path, seed, [this] {
      return EndpointListSnapshot{.list = list_of(revision), .wall_offset = wall_offset};
    });
  }
  void start() { start(access()); }
  void change() {
    ++revision;
    list->changed();
  }
  void pass(Time span) { network.run_until(network.now() + span); }
  std::string expected() const { return membership::write_word(list_of(revision), wall_offset) + "\n"; }
  void fail(Operation operation, int error_number) {
    fault = [=](Operation called) {
      return called == operation ? StorageFault{.error_number = error_number} : StorageFault{};
    };
  }
  void heal() {
    fault = [](Operation) { return StorageFault{}; };
  }

  TemporaryDirectory directory;
  const std::string path = directory / "list";
  emulator::Network network{1};
  RecordingLog log;
  simulation::StorageFaultPlan fault = [](Operation) { return StorageFault{}; };
  std::vector<Time> written_at;
  std::int64_t revision = 0;
  std::unique_ptr<RememberedEndpointList> list;
};

TEST_F(RememberedList, IsWrittenSoonAfterAChangeAndNotOnlyAtTheEnd) {
  start();
  pass(second);
  EXPECT_EQ(list->writes().attempts, 0U) << "nothing is known yet that could replace the last list";
  change();
  pass(1);
  EXPECT_EQ(content_of(path), expected());
  change();
  pass(second + 1);
  EXPECT_EQ(content_of(path), expected());
  EXPECT_TRUE(log.lines.empty());
}

TEST_F(RememberedList, ThatChangesOftenIsWrittenOnceASecondAndThenTheLast) {
  start();
  for (int i = 0; i < 500; ++i) {
    change();
    pass(second / 100);
  }
  EXPECT_LE(list->writes().attempts, 6U);
  EXPECT_GE(list->writes().attempts, 5U);
  pass(second);
  EXPECT_EQ(content_of(path), expected());
  const std::uint64_t attempts = list->writes().attempts;
  pass(60 * second);
  EXPECT_EQ(list->writes().attempts, attempts) << "an unchanged list is not written again";
}

class RememberedListFails : public RememberedList, public testing::WithParamInterface<DocumentedFailure> {};

TEST_P(RememberedListFails, OnceAndIsWrittenAtTheFirstRetry) {
  start();
  fail(GetParam().operation, GetParam().error_number);
  change();
  pass(1);
  EXPECT_TRUE(list->writes().failing);
  heal();
  pass(second / 4);
  EXPECT_EQ(content_of(path), expected());
  EXPECT_FALSE(list->writes().failing);
  EXPECT_EQ(list->writes().attempts, 2U);
}

TEST_P(RememberedListFails, ForLongIsLoggedOnceAStateRetriedWithBoundedBackoffAndCounted) {
  start();
  change();
  pass(second);
  const std::string last_saved = content_of(path);
  const auto [operation, error_number] = GetParam();
  fail(operation, error_number);
  written_at.clear();
  change();
  for (int minute = 0; minute < 4; ++minute) {
    pass(60 * second);
    const std::string seen = content_of(path);
    EXPECT_TRUE(seen == last_saved || seen == expected()) << seen;
  }
  const std::uint64_t failures = list->writes().attempts - 1;
  EXPECT_GT(failures, 240U / 30);
  EXPECT_LT(failures, 240U / 15 + 10);
  EXPECT_EQ(list->writes().failures, (std::map<Operation, std::uint64_t>{{operation, failures}}));
  const std::string metrics = to_prometheus(list->writes());
  EXPECT_NE(metrics.find("rushhill_remembered_list_write_failures_total{operation=\"" +
                         std::string(storage::name_of(operation)) + "\"} " + std::to_string(failures) + "\n"),
            std::string::npos)
      << metrics;
  EXPECT_NE(metrics.find("rushhill_remembered_list_failing 1\n"), std::string::npos) << metrics;
  ASSERT_EQ(log.lines.size(), 1U);
  EXPECT_EQ(log.lines[0].what, "endpoint list cannot be saved");
  EXPECT_EQ(log.lines[0].fields["file"], path);
  EXPECT_EQ(log.lines[0].fields["reason"], storage::describe({operation, error_number}));
  heal();
  pass(longest_backoff);
  EXPECT_EQ(content_of(path), expected());
  ASSERT_EQ(log.lines.size(), 2U);
  EXPECT_EQ(log.lines[1].what, "endpoint list is saved again");
  EXPECT_EQ(log.lines[1].fields["failed_attempts"], std::to_string(failures));
  EXPECT_NE(to_prometheus(list->writes()).find("rushhill_remembered_list_failing 0\n"), std::string::npos);
  fail(operation, error_number);
  change();
  pass(2 * second);
  EXPECT_EQ(log.count("endpoint list cannot be saved"), 2U) << "once for each time it begins";
}

INSTANTIATE_TEST_SUITE_P(Documented, RememberedListFails, testing::ValuesIn(documented_failures()),
                         test_name);

TEST_F(RememberedList, RetriesAtGrowingBoundedIntervalsDrawnFromItsSeed) {
  const auto retries = [this](std::uint64_t seed) {
    start(access(), seed);
    written_at.clear();
    change();
    pass(300 * second);
    std::vector<Time> gaps;
    for (std::size_t i = 1; i < written_at.size(); ++i) gaps.push_back(written_at[i] - written_at[i - 1]);
    return gaps;
  };
  fail(Operation::open, ENOSPC);
  const std::vector<Time> gaps = retries(1);
  ASSERT_GT(gaps.size(), 10U);
  Time whole = second / 5;
  for (const Time gap : gaps) {
    EXPECT_GE(gap, whole / 2);
    EXPECT_LE(gap, whole + 1);
    whole = std::min(2 * whole, longest_backoff);
  }
  EXPECT_EQ(retries(1), gaps);
  EXPECT_NE(retries(2), gaps);
}

TEST_F(RememberedList, ChangesWhileItFailsHastenNoRetry) {
  start();
  fail(Operation::sync, EIO);
  for (int i = 0; i < 6'000; ++i) {
    change();
    pass(second / 100);
  }
  EXPECT_LT(list->writes().attempts, 14U) << "in a minute";
  heal();
  pass(longest_backoff);
  EXPECT_EQ(content_of(path), expected());
}

TEST_F(RememberedList, AWriteThatDoesNotReturnStopsNeitherTheLoopNorTheEnd) {
  std::vector<std::promise<storage::Failure>> begun;
  StorageAccess stuck = access();
  stuck.execute = [&begun](const storage::Task&) { return begun.emplace_back().get_future(); };
  start(stuck);
  for (int i = 0; i < 100; ++i) {
    change();
    pass(second);
  }
  EXPECT_EQ(begun.size(), 1U) << "one at a time";
  begun[0].set_value(storage::StorageError{Operation::sync, EIO});
  pass(second);
  ASSERT_EQ(begun.size(), 2U) << "what changed meanwhile";
  const auto before = std::chrono::steady_clock::now();
  list.reset();
  EXPECT_LT(std::chrono::steady_clock::now() - before, std::chrono::seconds{5});
  EXPECT_EQ(log.count("endpoint list is not saved at the end"), 1U);
  pass(100 * second);
  EXPECT_EQ(begun.size(), 2U) << "no timer is left behind";
}

TEST_F(RememberedList, IsWrittenWhenAShutdownBeginsAndOnceMoreAtTheEnd) {
  start();
  fail(Operation::rename, EIO);
  change();
  pass(20 * second);
  heal();
  list->flush();
  EXPECT_EQ(content_of(path), expected());
  change();
  list.reset();
  EXPECT_EQ(content_of(path), expected());
  EXPECT_EQ(log.count("endpoint list is not saved at the end"), 0U);
}

TEST_F(RememberedList, AnEndThatCannotWriteIsLoggedAndLeavesTheLastList) {
  start();
  change();
  pass(second);
  const std::string last_saved = content_of(path);
  fail(Operation::write, ENOSPC);
  change();
  list.reset();
  EXPECT_EQ(content_of(path), last_saved);
  EXPECT_EQ(log.count("endpoint list is not saved at the end"), 1U);
}

class ReadRememberedList : public RememberedList {
 protected:
  membership::RosterWord read_of(const std::string& content) {
    std::ofstream(path, std::ios::binary) << content;
    return read();
  }
  membership::RosterWord read() {
    log.lines.clear();
    return read_remembered_list(*access().files, path, wall_offset, log);
  }
  // That it started without the list, and said which file and why.
  void expect_refused(const membership::RosterWord& list_read, const std::string& reason) {
    EXPECT_EQ(list_read.form, EndpointListForm::cached);
    EXPECT_TRUE(list_read.entries.empty());
    ASSERT_EQ(log.lines.size(), 1U) << reason;
    EXPECT_EQ(log.lines[0].what, "remembered endpoint list cannot be read");
    EXPECT_EQ(log.lines[0].fields["file"], path);
    EXPECT_EQ(log.lines[0].fields["reason"], reason);
  }
};

TEST_F(ReadRememberedList, ReadsBackWhatWasWrittenWithItsStartTime) {
  start();
  change();
  pass(1);
  const membership::RosterWord list_read = read();
  EXPECT_EQ(list_read.form, EndpointListForm::cached);
  ASSERT_EQ(list_read.entries.size(), 1U);
  EXPECT_EQ(list_read.entries[0].endpoint.id, "s1");
  EXPECT_EQ(list_read.entries[0].endpoint.started, to_timestamp(77));
  EXPECT_TRUE(log.lines.empty());
}

TEST_F(ReadRememberedList, CutAtEachByteIsRefusedWithFileAndReason) {
  const std::string whole = membership::write_word(list_of(1), wall_offset);
  for (std::size_t size = 1; size < whole.size(); ++size)
    expect_refused(read_of(whole.substr(0, size)), "not a JSON object");
  EXPECT_EQ(read_of(whole).entries.size(), 1U) << "only the end of the line is missing";
}

TEST_F(ReadRememberedList, EmptyOrForeignIsRefusedWithFileAndReason) {
  const std::string whole = membership::write_word(list_of(1), wall_offset) + "\n";
  expect_refused(read_of(""), "the file is empty");
  expect_refused(read_of("\n \n"), "the file is empty");
  expect_refused(read_of("[Unit]"), "not a JSON object");
  expect_refused(read_of("[]"), "not a JSON object");
  expect_refused(read_of(std::string(1'000, '\0')), "not a JSON object");
  expect_refused(read_of(whole + whole), "more than one line");
  expect_refused(read_of("{}"), "field 'form' is missing");
  expect_refused(read_of(R"({"form":"complete"})"), "field 'servers' is not a list");
}

TEST_F(ReadRememberedList, ThatCannotBeReadIsRefusedWithFileAndReasonAndAMissingOneIsAFirstStart) {
  read();
  EXPECT_TRUE(log.lines.empty());
  const std::string whole = membership::write_word(list_of(1), wall_offset) + "\n";
  for (const int error_number : {EIO, EACCES, EMFILE, ENFILE, ENOMEM}) {
    for (const Operation operation : {Operation::open, Operation::read}) {
      fail(operation, error_number);
      expect_refused(read_of(whole), storage::describe({operation, error_number}));
    }
  }
  heal();
  EXPECT_EQ(content_of(path), whole) << "it is left as it is";
  std::filesystem::remove(path);
  std::filesystem::create_directory(path);
  read();
  ASSERT_EQ(log.lines.size(), 1U);
  EXPECT_EQ(log.lines[0].fields["reason"], storage::describe({Operation::read, EISDIR}));
}

}  // namespace
}  // namespace rushhill::router
