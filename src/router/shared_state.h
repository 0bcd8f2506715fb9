// What this router holds together with the others, on its way to them: the orders it gives are told before
// they leave, and after a start it hears what its earlier lives ordered before it orders anything.
#pragma once

#include <functional>
#include <memory>

#include "core/ports.h"
#include "deployment/deployment_file.h"
#include "replicating/replica_links.h"

namespace rushhill::router {

class SharedState final : public core::Ledger, replica::Findings {
 public:
  using RationKnown = std::function<void(double orders)>;
  // Listens at once; throws where the address cannot be had. `known` is called once, where orders are
  // rationed.
  SharedState(transport::Reactor& reactor, const deployment::Program& program, std::uint64_t seed,
              core::Diary& diary, RationKnown known);
  ~SharedState() override;

  bool ordering() override;

 private:
  void look();
  void full(replica::Kind kind) override;
  void copies_differed(const replica::StreamId& stream, const replica::Word& stands,
                       const replica::Word& gone) override;
  void second_of_us(const replica::Writer& writer) override;

  transport::Reactor& reactor_;
  core::Diary& diary_;
  const Time window_, born_;
  RationKnown known_;
  replica::Replica copy_;
  replicating::ReplicaLinks links_;
  core::Alarm alarm_;
  std::uint64_t bucket_orders_ = 0;
  Time bucket_ = 0;
};

}  // namespace rushhill::router
