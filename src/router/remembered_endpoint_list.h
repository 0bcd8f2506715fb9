// Keeps the endpoint list in a file, so that a router that starts while service discovery is away serves from
// the last one. Written soon after each change, on a thread of its own; a failure is retried with backoff and
// never delays a request.
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
#include "membership/roster_words.h"
#include "storage/background_task.h"
#include "storage/files.h"

namespace rushhill::router {

// How storage is reached; tests put their own here.
struct StorageAccess {
  std::shared_ptr<storage::FileSystem> files = storage::system_files();
  storage::Execute execute = storage::run_on_thread;
};

// The list as it stands, and what makes its times Unix times (`membership::write_word`).
struct EndpointListSnapshot {
  membership::RosterWord list{};
  Time wall_offset = 0;
};

struct EndpointListWrites {
  std::uint64_t attempts = 0;
  std::map<storage::Operation, std::uint64_t> failures{};  // by the operation that failed
  bool failing = false;                                    // the last attempt failed
};
// As metrics in the Prometheus text exposition format, version 0.0.4.
std::string to_prometheus(const EndpointListWrites& writes);

class RememberedEndpointList {
 public:
  using Source = std::function<EndpointListSnapshot()>;

  // Reads nothing and writes nothing before the first change. `source` is asked on the loop, until the end.
  RememberedEndpointList(core::TimerService& clock, core::EventLog& diary, const StorageAccess& access,
                         const std::string& path, std::uint64_t seed, Source source);
  // Makes a last attempt for what is not written, and waits for it for a bounded time.
  ~RememberedEndpointList();
  RememberedEndpointList(const RememberedEndpointList&) = delete;
  RememberedEndpointList& operator=(const RememberedEndpointList&) = delete;

  // The list has changed: it is written at once, or a while after the last time.
  void changed();
  // Writes what is not written now, without waiting for it; for a shutdown that begins.
  void flush();
  const EndpointListWrites& writes() const { return writes_; }

 private:
  void schedule(Time when);
  void begin_write();
  void await_result();
  void finish_write(const storage::Failure& failure);
  void note_failure(const storage::StorageError& error);
  void note_success();
  Time backoff();

  core::TimerService& clock_;
  core::EventLog& diary_;
  storage::Execute execute_;
  std::shared_ptr<storage::AtomicFileWriter> writer_;  // shared with a write that outlives this
  Source source_;
  std::ranlux24_base random_;
  EndpointListWrites writes_;
  std::future<storage::Failure> running_;  // valid: a write is under way
  core::Timer timer_;                      // of the next write, or of the next look at the one under way
  Time not_before_ = 0;
  int consecutive_failures_ = 0;
  bool unsaved_ = false;
};

// The list as a file holds it. An unreadable, cut, empty or foreign file is logged with its reason, left as
// it is, and counts as an empty list; so does a missing one, which is not logged.
membership::RosterWord read_remembered_list(storage::FileSystem& files, const std::string& path,
                                            Time wall_offset, core::EventLog& diary);

}  // namespace rushhill::router
