#include "replica/conversation.h"

#include <algorithm>

namespace rushhill::replica {
namespace {

// Older versions of the protocol don't say whether the sender has recovered its records.
constexpr std::uint32_t first_version_with_recovery = 2;

}  // namespace

void Conversation::opened() { connection_.send(write_frame(own_hello_)); }

bool Conversation::close_with(const std::string& reason, bool notify_peer) {
  reason_ = reason;
  if (notify_peer) connection_.send(write_frame(Refusal{reason}));
  return false;
}

bool Conversation::arrived(Time now, std::string_view bytes) {
  if (!reason_.empty()) return false;
  reader_.append(bytes);
  Frame frame;
  for (;;) {
    switch (reader_.read_next(frame)) {
      case ReadResult::need_more:
        return true;
      case ReadResult::invalid:
        return close_with(reader_.error(), true);
      case ReadResult::frame:
        break;
    }
    if (const auto* refusal = std::get_if<Refusal>(&frame))
      return close_with("refused: " + refusal->reason, false);
    if (const auto* hello = std::get_if<Hello>(&frame)) {
      if (!on_hello(*hello)) return false;
      turn(now);
      continue;
    }
    if (!handshake_done_) return close_with("no hello came first", true);
    if (const auto* report = std::get_if<VersionReport>(&frame)) on_version_report(now, *report);
    if (const auto* batch = std::get_if<DeltaBatch>(&frame)) on_deltas(now, *batch);
  }
}

bool Conversation::on_hello(const Hello& peer_hello) {
  if (handshake_done_) return close_with("a second hello", true);
  if (peer_hello.deployment != own_hello_.deployment)
    return close_with("of deployment '" + peer_hello.deployment + "', not '" + own_hello_.deployment + "'",
                      true);
  if (peer_hello.version < own_hello_.min_version || own_hello_.version < peer_hello.min_version)
    return close_with("version " + std::to_string(peer_hello.version) + " and " +
                          std::to_string(own_hello_.version) + " do not understand each other",
                      true);
  if (peer_hello.writer == own_hello_.writer ||
      (peer_hello.name == own_hello_.name && peer_hello.writer.router != own_hello_.writer.router))
    return close_with("a second router '" + peer_hello.name + "'", true);
  handshake_done_ = true;
  peer_hello_ = peer_hello;
  // An earlier incarnation of the peer may have held records that this one does not.
  replica_.forget_peer(peer_hello.writer.router);
  return true;
}

void Conversation::on_version_report(Time now, const VersionReport& report) {
  const bool recovered = report.recovered && peer_hello_.version >= first_version_with_recovery;
  if (report.all_streams) {
    if (!peer_recovered_) initial_peer_versions_ = report.versions;
    peer_recovered_ = peer_recovered_ || recovered;
    peer_versions_ = projected_versions_ = report.versions;
    received_full_report_ = true;
  } else {
    // An acknowledgement. Streams that were never sent to the peer are ignored, so that a peer cannot make
    // these tables grow.
    for (const auto& [id, version] : report.versions) {
      const auto it = projected_versions_.find(id);
      if (it == projected_versions_.end()) continue;
      peer_versions_[id] = version;
      if (it->second.known_through <= version.known_through) it->second = version;
    }
  }
  replica_.set_peer_versions(peer_hello_.writer.router, peer_versions_, recovered, report.contested);
  turn(now);
}

void Conversation::on_deltas(Time now, const DeltaBatch& batch) {
  replica_.apply(now, batch);
  // The acknowledgement: this replica's versions of the streams in the batch.
  VersionVector acknowledged;
  const VersionVector all = replica_.versions();
  for (const Piece& delta : batch) {
    if (const auto it = all.find(delta.stream); it != all.end()) acknowledged.insert(*it);
  }
  connection_.send(write_frame(make_report(acknowledged, false)));
}

// A contested record of the peer is reported no later than the version that acknowledges it. Before this
// replica has recovered, none is reported; the first report afterwards names the contested ones of all that
// were acknowledged before.
VersionReport Conversation::make_report(const VersionVector& versions, bool all_streams) {
  VersionReport report{
      .versions = versions, .all_streams = all_streams, .recovered = replica_.recovered(), .contested = {}};
  if (!report.recovered) return report;
  const StreamId peer_records{Kind::deduplication, peer_hello_.writer};
  report.contested = replica_.contested_records(peer_hello_.writer, contested_reported_through_);
  contested_reported_through_ = replica_.known_through(peer_records);
  return report;
}

void Conversation::turn(Time now) {
  if (!handshake_done_ || !reason_.empty() || connection_.unsent() > limits_.max_unsent_bytes) return;
  if (now >= full_report_due_) {
    full_report_due_ = now + limits_.full_report_interval;
    connection_.send(write_frame(make_report(replica_.versions(), true)));
  }
  if (!received_full_report_) return;
  const DeltaBatch batch = replica_.deltas_for(now, projected_versions_, limits_.records_per_iteration);
  if (batch.empty()) return;
  const VersionVector own_versions = replica_.versions();
  for (const Piece& delta : batch) {
    StreamVersion& projected = projected_versions_[delta.stream];
    // With the last part of a stream the peer has this replica's version. Before that its version is
    // incomplete, and the digest is not compared.
    const StreamVersion& own = own_versions.at(delta.stream);
    projected = delta.through == own.known_through
                    ? own
                    : StreamVersion{delta.expired_through, delta.through, 0, false};
  }
  connection_.send(write_frame(batch));
}

}  // namespace rushhill::replica
