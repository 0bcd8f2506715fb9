// The client of the platform's service discovery. Watches the endpoint list from the last event that was
// received completely, and starts a new watch after a broken connection, a missed event or a period of
// silence.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "core/endpoint_list_source.h"
#include "core/event_log.h"
#include "membership/platform_discovery_messages.h"
#include "membership/start_times.h"
#include "transport/reactor.h"

namespace rushhill::membership {

class PlatformDiscoveryClient final : public core::EndpointListSource {
 public:
  using ListCallback = std::function<void(EndpointListForm, const std::vector<core::EndpointListEntry>&)>;

  PlatformDiscoveryClient(transport::Reactor& reactor, const transport::Address& address,
                          std::int64_t last_revision, std::uint64_t seed, core::EventLog& event_log,
                          ListCallback on_list);
  ~PlatformDiscoveryClient() override;

  void watch(bool on) override;
  void resync() override;
  // Continues the watch at another address, after the last event received here.
  void move_to(const transport::Address& address);
  // Returns the initial endpoint list with its start times on this process's monotonic clock. Called before
  // any event is received.
  Known translated(Known initial);
  // Applies the events of a reloaded configuration that are newer than the last one received, up to the first
  // gap in their revisions.
  void apply_newer_events(const Known& list);
  std::int64_t last_revision() const { return last_revision_; }

 private:
  class Watch;
  void connect();
  void on_line(Watch& watch, std::string_view text);
  void on_progress(Watch& watch);
  void on_failure(Watch& watch, const char* reason);
  void on_timeout();
  void close_watch(std::shared_ptr<Watch>& watch);
  void process_line(std::string_view text);
  bool is_next(const WatchEvent& event) const { return event.whole || event.revision == last_revision_ + 1; }
  void apply_event(WatchEvent event);
  void restart_watch(const char* reason);
  void start_timeout(Time span);

  transport::Reactor& reactor_;
  transport::Address address_;
  std::int64_t last_revision_;
  std::ranlux24_base random_;
  core::EventLog& event_log_;
  ListCallback on_list_;
  StartTimeTranslator start_times_;
  std::shared_ptr<Watch> current_watch_;
  // An older watch that timed out but may still answer. Kept only until either watch receives data.
  std::shared_ptr<Watch> silent_watch_;
  core::Timer timer_;
  int failures_ = 0;
  bool watching_ = false;
};

}  // namespace rushhill::membership
