#include "replica/frames.h"

#include <xxhash.h>

#include <algorithm>
#include <optional>

#include "frames.pb.h"
#include "routing/time.h"

namespace rushhill::replica {
namespace {

constexpr std::size_t length_bytes = 4, checksum_bytes = 8, head = length_bytes + checksum_bytes;
constexpr std::uint64_t oldest = 1ULL << 50U;  // tenths of a millisecond; an age beyond it is no age

void put_number(std::string& out, std::uint64_t number, std::size_t bytes) {
  for (std::size_t i = bytes; i-- > 0;) out += static_cast<char>(number >> (8 * i) & 0xffU);
}
std::uint64_t get_number(std::string_view bytes) {
  std::uint64_t number = 0;
  for (const char byte : bytes) number = number << 8U | static_cast<unsigned char>(byte);
  return number;
}

void tell(wire::Stream& out, const StreamId& id) {
  out.set_kind(static_cast<std::uint32_t>(id.kind));
  out.set_router(static_cast<std::uint32_t>(id.writer.router));
  out.set_incarnation(id.writer.incarnation);
}
// Nothing where the kind is one that only newer builds know, or the number none of a router.
std::optional<StreamId> heard(const wire::Stream& in) {
  if (in.kind() >= kinds || in.router() > 1'000'000) return {};
  return StreamId{static_cast<Kind>(in.kind()), {static_cast<int>(in.router()), in.incarnation()}};
}

wire::Frame message(const Hello& hello) {
  wire::Frame frame;
  wire::Hello& out = *frame.mutable_hello();
  out.set_version(hello.version);
  out.set_least_version(hello.least_version);
  out.set_deployment(hello.deployment);
  out.set_name(hello.name);
  out.set_router(static_cast<std::uint32_t>(hello.writer.router));
  out.set_incarnation(hello.writer.incarnation);
  return frame;
}
wire::Frame message(const Points& points) {
  wire::Frame frame;
  frame.mutable_points()->set_all(points.all);
  frame.mutable_points()->set_young(!points.vouches);
  for (const std::uint64_t number : points.contested) frame.mutable_points()->add_contested(number);
  for (const auto& [id, point] : points.summary) {
    wire::Point& out = *frame.mutable_points()->add_point();
    tell(*out.mutable_stream(), id);
    out.set_ended(point.ended);
    out.set_through(point.through);
    out.set_digest(point.digest);
    out.set_part(!point.whole);
  }
  return frame;
}
wire::Frame message(const Batch& batch) {
  wire::Frame frame;
  frame.mutable_pieces();
  for (const Piece& piece : batch) {
    wire::Piece& out = *frame.mutable_pieces()->add_piece();
    tell(*out.mutable_stream(), piece.stream);
    out.set_after(piece.after);
    out.set_ended(piece.ended);
    out.set_through(piece.through);
    out.set_of(piece.of);
    for (const Word& word : piece.words) {
      wire::Word& told = *out.add_word();
      told.set_number(word.number);
      told.set_key(word.key);
      told.set_rank(word.rank);
      told.set_count(word.count);
      told.set_age(static_cast<std::uint64_t>(std::max<Time>(word.age, 0)));
    }
  }
  return frame;
}
wire::Frame message(const Refusal& refusal) {
  wire::Frame frame;
  frame.set_refused(refusal.reason);
  return frame;
}

Points points_of(const wire::Points& in) {
  Points points{.summary = {},
                .all = in.all(),
                .vouches = !in.young(),
                .contested = {in.contested().begin(), in.contested().end()}};
  for (const wire::Point& point : in.point()) {
    const auto id = heard(point.stream());
    if (id && point.ended() <= point.through())
      points.summary[*id] = {point.ended(), point.through(), point.digest(), !point.part()};
  }
  return points;
}
Batch batch_of(const wire::Pieces& in) {
  Batch batch;
  for (const wire::Piece& piece : in.piece()) {
    const auto id = heard(piece.stream());
    if (!id) continue;
    Piece told{*id, piece.after(), piece.ended(), piece.through(), piece.of(), {}};
    for (const wire::Word& word : piece.word()) {
      told.words.push_back({word.number(), word.key(), word.rank(), word.count(),
                            static_cast<Time>(std::min(word.age(), oldest))});
    }
    batch.push_back(std::move(told));
  }
  return batch;
}

}  // namespace

std::string write_frame(const Frame& frame) {
  const std::string body =
      std::visit([](const auto& says) { return message(says).SerializeAsString(); }, frame);
  std::string out;
  put_number(out, body.size(), length_bytes);
  put_number(out, XXH64(body.data(), body.size(), 0), checksum_bytes);
  return out + body;
}

Progress FrameReader::bad(const char* why) {
  reason_ = why;
  held_.clear();
  return Progress::bad;
}

Progress FrameReader::next(Frame& frame) {
  while (reason_.empty()) {
    const std::string_view bytes = held_;
    if (bytes.size() < length_bytes) return Progress::more;
    const std::uint64_t length = get_number(bytes.substr(0, length_bytes));
    if (length > longest_frame) return bad("a frame is longer than any may be");
    if (bytes.size() < head + length) return Progress::more;
    const std::string_view body = bytes.substr(head, length);
    if (get_number(bytes.substr(length_bytes, checksum_bytes)) != XXH64(body.data(), body.size(), 0))
      return bad("a frame's checksum does not fit");
    wire::Frame said;
    if (!said.ParseFromArray(body.data(), static_cast<int>(body.size())))
      return bad("a frame cannot be read");
    held_.erase(0, head + length);
    switch (said.says_case()) {
      case wire::Frame::kHello: {
        const wire::Hello& in = said.hello();
        if (in.deployment().size() > longest_name || in.name().size() > longest_name ||
            in.router() > 1'000'000)
          return bad("a hello names what cannot be");
        frame = Hello{in.version(),
                      in.least_version(),
                      in.deployment(),
                      in.name(),
                      {static_cast<int>(in.router()), in.incarnation()}};
        return Progress::frame;
      }
      case wire::Frame::kPoints:
        frame = points_of(said.points());
        return Progress::frame;
      case wire::Frame::kPieces:
        frame = batch_of(said.pieces());
        return Progress::frame;
      case wire::Frame::kRefused:
        frame = Refusal{said.refused().substr(0, longest_name)};
        return Progress::frame;
      case wire::Frame::SAYS_NOT_SET:
        break;
    }
  }
  return Progress::bad;
}

}  // namespace rushhill::replica
