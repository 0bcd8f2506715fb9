#include "replica/conversation.h"

#include <algorithm>

namespace rushhill::replica {
namespace {

constexpr std::uint32_t vouching_version = 2;  // an older one does not say whether it may have forgotten

}  // namespace

void Conversation::opened() { line_.send(write_frame(ours_)); }

bool Conversation::hang_up(const std::string& reason, bool say) {
  reason_ = reason;
  if (say) line_.send(write_frame(Refusal{reason}));
  return false;
}

bool Conversation::arrived(Time now, std::string_view bytes) {
  if (!reason_.empty()) return false;
  reader_.put(bytes);
  Frame frame;
  for (;;) {
    switch (reader_.next(frame)) {
      case Progress::more:
        return true;
      case Progress::bad:
        return hang_up(reader_.reason(), true);
      case Progress::frame:
        break;
    }
    if (const auto* refusal = std::get_if<Refusal>(&frame))
      return hang_up("refused: " + refusal->reason, false);
    if (const auto* hello = std::get_if<Hello>(&frame)) {
      if (!meet(*hello)) return false;
      turn(now);
      continue;
    }
    if (!greeted_) return hang_up("no hello came first", true);
    if (const auto* points = std::get_if<Points>(&frame)) hear(now, *points);
    if (const auto* batch = std::get_if<Batch>(&frame)) take(now, *batch);
  }
}

bool Conversation::meet(const Hello& theirs) {
  if (greeted_) return hang_up("a second hello", true);
  if (theirs.deployment != ours_.deployment)
    return hang_up("of deployment '" + theirs.deployment + "', not '" + ours_.deployment + "'", true);
  if (theirs.version < ours_.least_version || ours_.version < theirs.least_version)
    return hang_up("version " + std::to_string(theirs.version) + " and " + std::to_string(ours_.version) +
                       " do not understand each other",
                   true);
  if (theirs.writer == ours_.writer ||
      (theirs.name == ours_.name && theirs.writer.router != ours_.writer.router))
    return hang_up("a second router '" + theirs.name + "'", true);
  greeted_ = true;
  theirs_ = theirs;
  copy_.forget(theirs.writer.router);  // what an earlier life of it held
  return true;
}

void Conversation::hear(Time now, const Points& points) {
  const bool vouches = points.vouches && theirs_.version >= vouching_version;
  if (points.all) {
    if (!other_vouches_) first_ = points.summary;
    other_vouches_ = other_vouches_ || vouches;
    told_ = counted_ = points.summary;
    heard_points_ = true;
  } else {
    // Acknowledgements: only of what was told to it, so that no word of the other's makes these tables grow.
    for (const auto& [id, point] : points.summary) {
      const auto it = counted_.find(id);
      if (it == counted_.end()) continue;
      told_[id] = point;
      if (it->second.through <= point.through) it->second = point;
    }
  }
  copy_.heard_from(theirs_.writer.router, told_, vouches, points.contested);
  turn(now);
}

void Conversation::take(Time now, const Batch& batch) {
  copy_.apply(now, batch);
  // Acknowledged: where this copy stands in the streams that were told.
  Summary taken;
  const Summary all = copy_.summary();
  for (const Piece& piece : batch) {
    if (const auto it = all.find(piece.stream); it != all.end()) taken.insert(*it);
  }
  line_.send(write_frame(points(taken, false)));
}

// With whatever of the other's marks came after another's, no later than what says that they are here.
// Vouching begins for all that was ever told to be here, so that the first time that this copy vouches tells
// of all.
Points Conversation::points(const Summary& of, bool all) {
  Points told{.summary = of, .all = all, .vouches = copy_.vouches(), .contested = {}};
  if (!told.vouches) return told;
  const StreamId marks{Kind::mark, theirs_.writer};
  told.contested = copy_.contested_of(theirs_.writer, vouched_);
  vouched_ = copy_.known_through(marks);
  return told;
}

void Conversation::turn(Time now) {
  if (!greeted_ || !reason_.empty() || line_.unsent() > pace_.unsent) return;
  if (now >= points_due_) {
    points_due_ = now + pace_.points_every;
    line_.send(write_frame(points(copy_.summary(), true)));
  }
  if (!heard_points_) return;
  const Batch batch = copy_.lacking(now, counted_, pace_.words);
  if (batch.empty()) return;
  const Summary mine = copy_.summary();
  for (const Piece& piece : batch) {
    Point& point = counted_[piece.stream];
    // Where all is told it will stand as this copy does; on the way there its digest is compared with none.
    const Point& here = mine.at(piece.stream);
    point = piece.through == here.through ? here : Point{piece.ended, piece.through, 0, false};
  }
  line_.send(write_frame(batch));
}

}  // namespace rushhill::replica
