// The TCP links on which routers exchange their replicated state. A router connects to a few neighbours, or
// to all routers if there are few, and accepts the links of those that connect to it. A link to a router that
// is silent, sends invalid data or belongs to another deployment is closed and retried after a backoff;
// meanwhile the next router takes its place.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/event_log.h"
#include "replica/conversation.h"
#include "transport/listener.h"
#include "transport/numbered.h"

namespace rushhill::replicating {

struct ReplicaLinksConfig {
  std::string listen{};                  // an address with a port
  std::vector<std::string> addresses{};  // by router number; an empty one is never connected to
  replica::Hello hello{};                // identifies this router
  replica::SyncLimits limits{};
  bool full_mesh = false;            // connects to all routers instead of a few neighbours
  std::size_t most_links = 256;      // at most two thirds of them accepted
  std::function<void()> heard = {};  // called after data from a peer; may be empty
};

// Returns the limit of links for a router: those that it opens itself, and twice as many accepted ones, since
// a restarted router may connect while the link of its earlier incarnation is still open.
std::size_t most_links(int routers, bool full_mesh);

class ReplicaLinks {
 public:
  // Listens at once; throws if an address is invalid or cannot be listened on.
  ReplicaLinks(transport::Reactor& reactor, const ReplicaLinksConfig& config, replica::Replica& replica,
               core::EventLog& event_log);
  ~ReplicaLinks();
  ReplicaLinks(const ReplicaLinks&) = delete;
  ReplicaLinks& operator=(const ReplicaLinks&) = delete;

  transport::Address address() const { return listener_.address(); }
  // Sends a record that was written here as soon as the present call has returned, not with the next
  // iteration.
  void written();
  // Sends the records that peers lack at once. When this returns, the bytes have been handed to the system as
  // far as it takes them.
  void tell_now();
  // Returns the routers with which records are being exchanged.
  std::set<int> met() const;
  // Returns the largest number of records that one of them has reported and this replica lacks.
  std::uint64_t behind() const;
  // Whether there is a link, and each link's peer has reported its versions and has no record that this
  // replica lacks.
  bool caught_up() const;
  // The number of other routers whose initial records this replica has, and how many of those have recovered.
  // See Conversation::has_initial_records.
  struct SynchronizedPeers {
    int all = 0, vouching = 0;
  };
  SynchronizedPeers learnt() const;
  std::size_t links() const { return links_.size(); }

 private:
  class Link;
  struct Backoff {
    Time delay = 0, retry_at = 0;
  };

  void accept(const transport::PendingConnection& arrival);
  bool evict_unidentified_link();
  void run_iteration();
  void check_links(Time now);
  void close_link(Link& link, const std::string& reason);
  void on_handshake(Link& link);
  bool linked_to(int router) const;

  transport::Reactor& reactor_;
  ReplicaLinksConfig config_;
  replica::Replica& replica_;
  core::EventLog& event_log_;
  std::map<Link*, std::shared_ptr<Link>, transport::ByNumber> links_;
  std::map<int, Backoff> backoffs_;  // by router
  core::Timer timer_;
  Time next_check_ = 0;
  bool send_scheduled_ = false;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  transport::Listener listener_;
};

}  // namespace rushhill::replicating
