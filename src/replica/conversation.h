// Replicates the state between two routers over one connection that delivers bytes in order or not at all.
//
// After a hello, each side sends the versions of all its streams. Each side then sends the records that the
// other one lacks, a bounded number in each iteration of the loop, and takes what it has sent as received;
// the other side acknowledges it with the versions of those streams. At intervals the versions of all streams
// are sent again, so that records that were never sent and replicas that diverge are found. Does no I/O; the
// time is passed in.
#pragma once

#include <string>
#include <string_view>

#include "replica/frames.h"
#include "replica/replica.h"
#include "routing/time.h"

namespace rushhill::replica {

// The sending side of the connection to the peer.
class Line {
 public:
  Line() = default;
  Line(const Line&) = delete;
  Line& operator=(const Line&) = delete;
  virtual ~Line() = default;

  virtual void send(const std::string& bytes) = 0;
  virtual std::size_t unsent() const = 0;  // bytes
};

struct SyncLimits {
  std::size_t records_per_iteration = 500;    // limits the time that client requests wait for an iteration
  std::size_t max_unsent_bytes = 256 * 1024;  // on the connection; with more, an iteration sends nothing
  // Tenths of a millisecond between reports of all versions; a divergence is found within that time.
  Time full_report_interval = 10'000;
};

class Conversation {
 public:
  Conversation(const Hello& own_hello, Replica& replica, Line& connection, const SyncLimits& limits)
      : own_hello_(own_hello), replica_(replica), connection_(connection), limits_(limits) {}

  // Sends the hello once the connection is established.
  void opened();
  // Processes bytes received from the peer. Returns false if the connection has to be closed; `close_reason`
  // then says why, and the peer has been sent the reason unless it closed the conversation itself.
  bool arrived(Time now, std::string_view bytes);
  // Sends the records that the peer lacks and, when it is due, a report of all versions. Called in each
  // iteration of the loop, or every few.
  void turn(Time now);

  bool handshake_done() const { return handshake_done_; }
  std::size_t peer_stream_count() const { return peer_versions_.size(); }
  // Whether the peer has reported its versions and this replica lacks no record of them.
  bool caught_up() const { return received_full_report_ && missing_records() == 0; }
  // Whether this replica has all records that the peer had when it first reported to have recovered or, as
  // long as the peer has not recovered, when it last reported all its versions.
  bool has_initial_records() const {
    return received_full_report_ && replica_.missing_records(initial_peer_versions_) == 0;
  }
  bool peer_recovered() const { return peer_recovered_; }
  const Hello& peer_hello() const { return peer_hello_; }
  const std::string& reason() const { return reason_; }
  // Returns how many record numbers the peer has reported and this replica lacks; 0 before the first report.
  std::uint64_t missing_records() const { return replica_.missing_records(peer_versions_); }

 private:
  bool on_hello(const Hello& peer_hello);
  void on_version_report(Time now, const VersionReport& report);
  void on_deltas(Time now, const DeltaBatch& batch);
  VersionReport make_report(const VersionVector& versions, bool all_streams);
  bool close_with(const std::string& reason, bool notify_peer);

  Hello own_hello_, peer_hello_{};
  Replica& replica_;
  Line& connection_;
  SyncLimits limits_;
  FrameReader reader_;
  VersionVector peer_versions_;       // as the peer reported them
  VersionVector projected_versions_;  // the same, with the records sent since taken as received
  VersionVector initial_peer_versions_;
  // The peer has been told which of its deduplication records up to this number are contested.
  std::uint64_t contested_reported_through_ = 0;
  bool peer_recovered_ = false;
  bool handshake_done_ = false, received_full_report_ = false;
  Time full_report_due_ = 0;
  std::string reason_;
};

}  // namespace rushhill::replica
