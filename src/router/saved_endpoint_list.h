// Saves the endpoint list in a file, so that a router that starts while service discovery is unavailable can
// use the last list. The file is written soon after each change, on a separate thread; a failed write is
// retried with backoff and never delays a request.
#pragma once

#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "core/event_log.h"
#include "core/timer_service.h"
#include "membership/endpoint_list_messages.h"
#include "storage/background_task.h"
#include "storage/files.h"

namespace rushhill::router {

// The file system and the executor of its blocking calls; tests replace them.
struct StorageAccess {
  std::shared_ptr<storage::FileSystem> files = storage::system_files();
  storage::Execute execute = storage::run_on_thread;
};

// The current list, and the offset that turns its start times into Unix times (see `membership::write_word`).
struct EndpointListSnapshot {
  membership::EndpointListMessage list{};
  Time wall_offset = 0;
};

struct EndpointListWrites {
  std::uint64_t attempts = 0;
  std::map<storage::Operation, std::uint64_t> failures{};  // by the operation that failed
  bool failing = false;                                    // whether the last attempt failed
};
// Returns the metrics in the Prometheus text exposition format, version 0.0.4.
std::string to_prometheus(const EndpointListWrites& writes);

// How soon a changed list has to be saved. If a router is killed, it goes on by the saved list: without a
// server that has joined it only lacks capacity, but a server that leaves must not be used again.
enum class SaveUrgency : std::uint8_t { normal, server_leaves };

class SavedEndpointList {
 public:
  using Source = std::function<EndpointListSnapshot()>;

  // Does not access the file before the first change. `source` returns the list to save; it is called on the
  // event loop's thread, by the destructor too.
  SavedEndpointList(core::TimerService& clock, core::EventLog& event_log, const StorageAccess& access,
                    const std::string& path, std::uint64_t seed, Source source);
  // Tries once more to save an unsaved change, and waits a bounded time for the result.
  ~SavedEndpointList();
  SavedEndpointList(const SavedEndpointList&) = delete;
  SavedEndpointList& operator=(const SavedEndpointList&) = delete;

  // Saves the changed list: now, or as soon as the write interval or the backoff permits. If a server leaves,
  // the interval is shorter and the backoff starts anew.
  void schedule_save(SaveUrgency urgency = SaveUrgency::normal);
  // Starts to save an unsaved change without waiting for the result, for the start of a shutdown.
  void flush();
  const EndpointListWrites& writes() const { return writes_; }

 private:
  void schedule_write(Time when);
  void begin_write();
  void poll_result();
  void finish_write(const storage::Failure& failure);
  void record_failure(const storage::StorageError& error);
  void record_success();
  Time backoff();

  core::TimerService& clock_;
  core::EventLog& event_log_;
  storage::Execute execute_;
  std::shared_ptr<storage::AtomicFileWriter> writer_;  // shared with a write that outlives this object
  Source source_;
  std::ranlux24_base random_;
  EndpointListWrites writes_;
  std::future<storage::Failure> running_write_;  // valid while a write is running
  core::Timer timer_;  // for the next write, or for the next check of the running one
  Time next_write_at_ = 0;
  Time last_write_at_ = 0;
  int consecutive_failures_ = 0;
  bool unsaved_ = false;
  bool server_leaves_ = false;  // in a change that is not saved yet
};

// Returns the list saved in a file, or an empty one if the file is missing or invalid. An unreadable,
// truncated, empty or foreign file is logged with the reason and left unchanged; a missing one is not logged.
membership::EndpointListMessage read_saved_list(storage::FileSystem& files, const std::string& path,
                                                Time wall_offset, core::EventLog& event_log);

}  // namespace rushhill::router
