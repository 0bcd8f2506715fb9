// The ways between routers on which their copies are exchanged: TCP to a few neighbours, and from whoever has
// us for one. A way that is silent, garbled or of another deployment is closed, and the next router on asked
// in its place; it is tried again after a pause.
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

struct Ways {
  std::string listen{};                  // an address with a port
  std::vector<std::string> addresses{};  // by router number; empty: cannot be reached
  replica::Hello hello{};                // who we are
  replica::Pace pace{};
  bool everybody = false;            // asked, not some neighbours only: for few routers
  std::size_t most_links = 256;      // two in three of them for routers that come to us
  std::function<void()> heard = {};  // another has told something; may be empty
};

// As many links as a router has of its own, twice over from those that have it for a neighbour: one that
// comes back may stand beside its earlier self.
std::size_t most_links(int routers, bool everybody);

class ReplicaLinks {
 public:
  // Listens at once; throws where an address cannot be had.
  ReplicaLinks(transport::Reactor& reactor, const Ways& ways, replica::Replica& copy, core::EventLog& diary);
  ~ReplicaLinks();
  ReplicaLinks(const ReplicaLinks&) = delete;
  ReplicaLinks& operator=(const ReplicaLinks&) = delete;

  transport::Address address() const { return listener_.address(); }
  // A word was written here: it is told when the present call has returned, not with the next turn.
  void written();
  // The same at once: the bytes are the system's when this returns, where it takes them.
  void tell_now();
  // Routers with which words are being exchanged.
  std::set<int> met() const;
  // The most words that any of them is known to have and this copy lacks.
  std::uint64_t behind() const;
  // Everybody that is asked has answered, at least one, and this copy lacks nothing that they have.
  bool caught_up() const;
  // Of how many other routers this copy has all that they held when they were first heard: all, and those of
  // them that vouch for it.
  struct Learnt {
    int all = 0, vouching = 0;
  };
  Learnt learnt() const;
  std::size_t links() const { return links_.size(); }

 private:
  class Link;
  struct Far {
    Time pause = 0, again_at = 0;  // while it could not be reached
  };

  void accept(const transport::PendingConnection& arrival);
  bool make_room();
  void turn();
  void look(Time now);
  void end(Link& link, const std::string& why);
  void greeted(Link& link);
  bool linked_to(int router) const;

  transport::Reactor& reactor_;
  Ways ways_;
  replica::Replica& copy_;
  core::EventLog& diary_;
  std::map<Link*, std::shared_ptr<Link>, transport::ByNumber> links_;
  std::map<int, Far> far_;
  core::Timer alarm_;
  Time look_at_ = 0;
  bool telling_soon_ = false;
  std::shared_ptr<int> life_ = std::make_shared<int>(0);
  transport::Listener listener_;
};

}  // namespace rushhill::replicating
