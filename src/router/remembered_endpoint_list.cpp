#include "router/remembered_endpoint_list.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <stdexcept>
#include <utility>

#include "routing/types.h"

namespace rushhill::router {
namespace {

using core::Level;
using storage::Operation;

// Tenths of a millisecond.
constexpr Time least_between_writes = 10'000;  // so that a list that changes often does not wear out a disk
constexpr Time first_backoff = 2'000;
constexpr Time longest_backoff = 300'000;
constexpr int most_doublings = 8;  // of the first backoff; enough for the longest
constexpr Time look_every = 100;   // at a write under way

constexpr std::chrono::seconds longest_last_wait{1};    // at the end, for each of the last two writes
constexpr std::size_t longest_file = 64 * 1024 * 1024;  // bytes; twice the longest list that is taken
constexpr std::string_view blanks = " \t\r\n";

membership::RosterWord parse_list(const std::string& content, Time wall_offset) {
  const std::size_t end = content.find_last_not_of(blanks);
  if (end == std::string::npos) throw std::invalid_argument("the file is empty");
  const std::string_view text = std::string_view(content).substr(0, end + 1);
  if (text.find('\n') != std::string_view::npos) throw std::invalid_argument("more than one line");
  return membership::read_word(text, wall_offset);
}

}  // namespace

std::string to_prometheus(const EndpointListWrites& writes) {
  const std::string prefix = "rushhill_remembered_list_";
  const auto head = [&prefix](const std::string& name, const char* type, const char* help) {
    return "# HELP " + prefix + name + " " + help + "\n# TYPE " + prefix + name + " " + type + "\n";
  };
  std::string out = head("write_attempts_total", "counter", "Attempts to write the endpoint list's file.");
  out += prefix + "write_attempts_total " + std::to_string(writes.attempts) + "\n";
  out += head("write_failures_total", "counter", "Attempts that failed, by the operation that did.");
  for (const Operation operation : storage::all_operations) {
    if (operation == Operation::read) continue;
    const auto found = writes.failures.find(operation);
    const std::uint64_t count = found == writes.failures.end() ? 0 : found->second;
    out += prefix + "write_failures_total{operation=\"" + storage::name_of(operation) + "\"} " +
           std::to_string(count) + "\n";
  }
  out += head("failing", "gauge", "1 where the last attempt failed and is being retried.");
  out += prefix + "failing " + (writes.failing ? "1" : "0") + "\n";
  return out;
}

RememberedEndpointList::RememberedEndpointList(core::TimerService& clock, core::EventLog& diary,
                                               const StorageAccess& access, const std::string& path,
                                               std::uint64_t seed, Source source)
    : clock_(clock), diary_(diary), execute_(access.execute),
      writer_(std::make_shared<storage::AtomicFileWriter>(access.files, path)), source_(std::move(source)),
      random_(static_cast<std::uint_fast32_t>(seed % 16'777'216)) {}

RememberedEndpointList::~RememberedEndpointList() {
  const auto settle = [this] {
    if (!running_.valid()) return true;
    if (running_.wait_for(longest_last_wait) != std::future_status::ready) return false;
    finish_write(running_.get());
    return true;
  };
  bool ended = settle();
  if (ended && unsaved_) {
    begin_write();
    ended = settle();
  }
  clock_.cancel(timer_);
  if (!ended || unsaved_)
    diary_.write(Level::warning, "endpoint list is not saved at the end", {{"file", writer_->path()}});
}

void RememberedEndpointList::changed() {
  unsaved_ = true;
  if (!running_.valid() && timer_ == core::Timer{}) schedule(not_before_);
}

void RememberedEndpointList::flush() {
  if (unsaved_ && !running_.valid()) begin_write();
}

void RememberedEndpointList::schedule(Time when) {
  clock_.cancel(timer_);
  timer_ = clock_.at(std::max(when, clock_.now()), [this] {
    timer_ = {};
    begin_write();
  });
}

void RememberedEndpointList::begin_write() {
  clock_.cancel(timer_);
  timer_ = {};
  unsaved_ = false;
  ++writes_.attempts;
  running_ = execute_([writer = writer_, snapshot = source_()] {
    return writer->replace(membership::write_word(snapshot.list, snapshot.wall_offset) + "\n");
  });
  await_result();
}

void RememberedEndpointList::await_result() {
  if (running_.wait_for(std::chrono::seconds{0}) == std::future_status::ready)
    return finish_write(running_.get());
  timer_ = clock_.at(clock_.now() + look_every, [this] {
    timer_ = {};
    await_result();
  });
}

void RememberedEndpointList::finish_write(const storage::Failure& failure) {
  unsaved_ = unsaved_ || failure.has_value();
  if (failure) {
    note_failure(*failure);
  } else {
    note_success();
  }
  not_before_ = clock_.now() + (failure ? backoff() : least_between_writes);
  if (unsaved_) schedule(not_before_);
}

void RememberedEndpointList::note_failure(const storage::StorageError& error) {
  ++writes_.failures[error.operation];
  ++consecutive_failures_;
  if (std::exchange(writes_.failing, true)) return;
  diary_.write(Level::warning, "endpoint list cannot be saved",
               {{"file", writer_->path()}, {"reason", storage::describe(error)}});
}

void RememberedEndpointList::note_success() {
  const int failed = std::exchange(consecutive_failures_, 0);
  if (!std::exchange(writes_.failing, false)) return;
  diary_.write(Level::info, "endpoint list is saved again",
               {{"file", writer_->path()}, {"failed_attempts", std::to_string(failed)}});
}

// Doubling up to a bound, each with a random part, so that routers on one disk do not retry at one moment.
Time RememberedEndpointList::backoff() {
  const int doublings = std::min(consecutive_failures_ - 1, most_doublings);
  const Time whole = std::min(first_backoff << doublings, longest_backoff);
  const double part = 0.5 + 0.5 * static_cast<double>(random_()) / static_cast<double>(random_.max());
  return static_cast<Time>(static_cast<double>(whole) * part);
}

membership::RosterWord read_remembered_list(storage::FileSystem& files, const std::string& path,
                                            Time wall_offset, core::EventLog& diary) {
  membership::RosterWord none{.form = EndpointListForm::cached};
  if (path.empty()) return none;
  const auto refused = [&](const std::string& reason) {
    diary.write(Level::warning, "remembered endpoint list cannot be read",
                {{"file", path}, {"reason", reason}});
    return none;
  };
  const storage::ReadResult read = storage::read_file(files, path, longest_file);
  if (read.failure == storage::StorageError{Operation::open, ENOENT}) return none;
  if (read.failure) return refused(storage::describe(*read.failure));
  try {
    membership::RosterWord list = parse_list(read.content, wall_offset);
    list.form = EndpointListForm::cached;
    return list;
  } catch (const std::invalid_argument& error) {
    return refused(error.what());
  }
}

}  // namespace rushhill::router
