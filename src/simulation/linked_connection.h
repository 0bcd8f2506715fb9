// One connection through a simulated link: from the router that connected to the one that was meant, and
// back.
#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include "core/timer_service.h"
#include "simulation/link_faults.h"
#include "transport/numbered.h"
#include "transport/reactor.h"

namespace rushhill::simulation {

class LinkedConnection;

// Called by a connection.
class LinkedConnectionOwner {
 public:
  LinkedConnectionOwner() = default;
  LinkedConnectionOwner(const LinkedConnectionOwner&) = delete;
  LinkedConnectionOwner& operator=(const LinkedConnectionOwner&) = delete;
  LinkedConnectionOwner(LinkedConnectionOwner&&) = delete;
  LinkedConnectionOwner& operator=(LinkedConnectionOwner&&) = delete;
  virtual ~LinkedConnectionOwner() = default;

  // The connection has ended. It has to live until what runs now has returned.
  virtual void connection_ended(LinkedConnection& connection) = 0;
};

// Lives until one end closes or a fault cuts it.
class LinkedConnection final : public transport::Numbered {
 public:
  // `there`: the replica of the router at the other end.
  LinkedConnection(transport::Reactor& reactor, LinkedConnectionOwner& owner, LinkFaults& faults,
                   Direction direction, const transport::PendingConnection& pending,
                   const transport::Address& there);
  LinkedConnection(const LinkedConnection&) = delete;
  LinkedConnection& operator=(const LinkedConnection&) = delete;
  LinkedConnection(LinkedConnection&&) = delete;
  LinkedConnection& operator=(LinkedConnection&&) = delete;
  ~LinkedConnection();

  // Forwards what the faults let pass now.
  void forward_held();

 private:
  // Bytes that may not be forwarded before a moment.
  struct HeldBytes {
    Time due = 0;
    std::string bytes{};
  };
  // What one router sends, on its way to the other.
  struct End final : transport::StreamHandler {
    End(LinkedConnection& connection, Direction sent) : owner(connection), direction(sent) {}
    void on_data(std::string_view bytes) override { owner.received(*this, bytes); }
    void on_closed(transport::CloseReason reason) override { owner.closed(*this, reason); }

    LinkedConnection& owner;
    Direction direction;
    std::shared_ptr<transport::Stream> stream{};  // from that router
    std::deque<HeldBytes> held{};
    std::size_t held_size = 0;
    core::Timer timer{};
    bool over = false;  // that router sends no more
  };
  // The second of two connections that carry the same; what comes back on it is ignored.
  struct Duplicate final : transport::StreamHandler {
    void on_data(std::string_view) override {}
    void on_closed(transport::CloseReason) override { over = true; }

    std::shared_ptr<transport::Stream> stream{};
    bool over = false;
  };

  End& other_end(const End& end) { return &end == &ends_[0] ? ends_[1] : ends_[0]; }
  void received(End& end, std::string_view bytes);
  void closed(End& end, transport::CloseReason reason);
  void forward(End& end);
  void forward_due(End& end, Time now);
  void write(const End& end, const std::string& bytes);
  std::size_t allowance(const End& end) const;
  void close(bool resets);

  transport::Reactor& reactor_;
  LinkedConnectionOwner& owner_;
  LinkFaults& faults_;
  std::array<End, 2> ends_;
  std::unique_ptr<Duplicate> duplicate_;
  bool closed_ = false;
};

}  // namespace rushhill::simulation
