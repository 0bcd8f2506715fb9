#include "router/saved_endpoint_list.h"

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
constexpr Time min_write_interval = 10'000;  // limits disk wear if the list changes often
constexpr Time min_urgent_write_interval = 1'000;
constexpr Time first_backoff = 2'000;
constexpr Time max_backoff = 300'000;
constexpr int max_doublings = 8;  // of the first backoff; enough to reach the maximum
constexpr Time result_poll_interval = 100;

constexpr std::chrono::seconds max_final_wait{1};        // on destruction, for each of the last two writes
constexpr std::size_t max_file_size = 64 * 1024 * 1024;  // bytes; twice the longest list that is accepted
constexpr std::string_view whitespace = " \t\r\n";

membership::EndpointListMessage parse_list(const std::string& content, Time wall_offset) {
  const std::size_t end = content.find_last_not_of(whitespace);
  if (end == std::string::npos) throw std::invalid_argument("the file is empty");
  const std::string_view text = std::string_view(content).substr(0, end + 1);
  if (text.find('\n') != std::string_view::npos) throw std::invalid_argument("more than one line");
  return membership::read_endpoint_list_message(text, wall_offset);
}

}  // namespace

std::string to_prometheus(const EndpointListWrites& writes) {
  const std::string prefix = "rushhill_remembered_list_";
  const auto metric_header = [&prefix](const std::string& name, const char* type, const char* help) {
    return "# HELP " + prefix + name + " " + help + "\n# TYPE " + prefix + name + " " + type + "\n";
  };
  std::string out =
      metric_header("write_attempts_total", "counter", "Attempts to write the endpoint list's file.");
  out += prefix + "write_attempts_total " + std::to_string(writes.attempts) + "\n";
  out += metric_header("write_failures_total", "counter", "Attempts that failed, by the operation that did.");
  for (const Operation operation : storage::all_operations) {
    if (operation == Operation::read) continue;
    const auto found = writes.failures.find(operation);
    const std::uint64_t count = found == writes.failures.end() ? 0 : found->second;
    out += prefix + "write_failures_total{operation=\"" + storage::name_of(operation) + "\"} " +
           std::to_string(count) + "\n";
  }
  out += metric_header("failing", "gauge", "1 where the last attempt failed and is being retried.");
  out += prefix + "failing " + (writes.failing ? "1" : "0") + "\n";
  return out;
}

SavedEndpointList::SavedEndpointList(core::TimerService& clock, core::EventLog& event_log,
                                     const StorageAccess& access, const std::string& path, std::uint64_t seed,
                                     Source source)
    : clock_(clock), event_log_(event_log), execute_(access.execute),
      writer_(std::make_shared<storage::AtomicFileWriter>(access.files, path)), source_(std::move(source)),
      random_(static_cast<std::uint_fast32_t>(seed % 16'777'216)) {}

SavedEndpointList::~SavedEndpointList() {
  const auto finish_running_write = [this] {
    if (!running_write_.valid()) return true;
    if (running_write_.wait_for(max_final_wait) != std::future_status::ready) return false;
    finish_write(running_write_.get());
    return true;
  };
  bool finished = finish_running_write();
  if (finished && unsaved_) {
    begin_write();
    finished = finish_running_write();
  }
  clock_.cancel(timer_);
  if (!finished || unsaved_)
    event_log_.write(Level::warning, "endpoint list was not saved at shutdown", {{"file", writer_->path()}});
}

void SavedEndpointList::schedule_save(SaveUrgency urgency) {
  unsaved_ = true;
  const bool urgent = urgency == SaveUrgency::server_leaves;
  server_leaves_ |= urgent;
  if (running_write_.valid()) return;
  if (urgent) next_write_at_ = std::min(next_write_at_, last_write_at_ + min_urgent_write_interval);
  if (urgent || timer_ == core::Timer{}) schedule_write(next_write_at_);
}

void SavedEndpointList::flush() {
  if (unsaved_ && !running_write_.valid()) begin_write();
}

void SavedEndpointList::schedule_write(Time when) {
  clock_.cancel(timer_);
  timer_ = clock_.at(std::max(when, clock_.now()), [this] {
    timer_ = {};
    begin_write();
  });
}

void SavedEndpointList::begin_write() {
  clock_.cancel(timer_);
  timer_ = {};
  unsaved_ = false;
  server_leaves_ = false;
  ++writes_.attempts;
  running_write_ = execute_([writer = writer_, snapshot = source_()] {
    return writer->replace(membership::write_endpoint_list_message(snapshot.list, snapshot.wall_offset) +
                           "\n");
  });
  poll_result();
}

void SavedEndpointList::poll_result() {
  if (running_write_.wait_for(std::chrono::seconds{0}) == std::future_status::ready)
    return finish_write(running_write_.get());
  timer_ = clock_.at(clock_.now() + result_poll_interval, [this] {
    timer_ = {};
    poll_result();
  });
}

void SavedEndpointList::finish_write(const storage::Failure& failure) {
  unsaved_ = unsaved_ || failure.has_value();
  if (failure) {
    record_failure(*failure);
  } else {
    record_success();
  }
  last_write_at_ = clock_.now();
  next_write_at_ = last_write_at_ + (failure ? backoff() : min_write_interval);
  if (server_leaves_) next_write_at_ = std::min(next_write_at_, last_write_at_ + min_urgent_write_interval);
  if (unsaved_) schedule_write(next_write_at_);
}

void SavedEndpointList::record_failure(const storage::StorageError& error) {
  ++writes_.failures[error.operation];
  ++consecutive_failures_;
  if (std::exchange(writes_.failing, true)) return;
  event_log_.write(Level::warning, "endpoint list cannot be saved",
                   {{"file", writer_->path()}, {"reason", storage::describe(error)}});
}

void SavedEndpointList::record_success() {
  const int failed = std::exchange(consecutive_failures_, 0);
  if (!std::exchange(writes_.failing, false)) return;
  event_log_.write(Level::info, "endpoint list is saved again",
                   {{"file", writer_->path()}, {"failed_attempts", std::to_string(failed)}});
}

// Returns the exponential backoff with jitter, so that routers on one disk do not retry at the same moment.
Time SavedEndpointList::backoff() {
  const int doublings = std::min(consecutive_failures_ - 1, max_doublings);
  const Time full = std::min(first_backoff << doublings, max_backoff);
  const double fraction = 0.5 + 0.5 * static_cast<double>(random_()) / static_cast<double>(random_.max());
  return static_cast<Time>(static_cast<double>(full) * fraction);
}

membership::EndpointListMessage read_saved_list(storage::FileSystem& files, const std::string& path,
                                                Time wall_offset, core::EventLog& event_log) {
  membership::EndpointListMessage empty{.form = EndpointListForm::cached};
  if (path.empty()) return empty;
  const auto rejected = [&](const std::string& reason) {
    event_log.write(Level::warning, "saved endpoint list cannot be read",
                    {{"file", path}, {"reason", reason}});
    return empty;
  };
  const storage::ReadResult read = storage::read_file(files, path, max_file_size);
  if (read.failure == storage::StorageError{Operation::open, ENOENT}) return empty;
  if (read.failure) return rejected(storage::describe(*read.failure));
  try {
    membership::EndpointListMessage list = parse_list(read.content, wall_offset);
    list.form = EndpointListForm::cached;
    return list;
  } catch (const std::invalid_argument& error) {
    return rejected(error.what());
  }
}

}  // namespace rushhill::router
