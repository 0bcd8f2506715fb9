#include "replica/frames.h"

#include <xxhash.h>

#include <algorithm>
#include <optional>

#include "frames.pb.h"
#include "routing/time.h"

namespace rushhill::replica {
namespace {

constexpr std::size_t length_bytes = 4, checksum_bytes = 8, header_bytes = length_bytes + checksum_bytes;
constexpr std::uint64_t max_age = 1ULL << 50U;  // tenths of a millisecond; longer ages are cut to it

void append_integer(std::string& out, std::uint64_t number, std::size_t bytes) {
  for (std::size_t i = bytes; i-- > 0;) out += static_cast<char>(number >> (8 * i) & 0xffU);
}
std::uint64_t read_integer(std::string_view bytes) {
  std::uint64_t number = 0;
  for (const char byte : bytes) number = number << 8U | static_cast<unsigned char>(byte);
  return number;
}

void write_stream(wire::Stream& out, const StreamId& id) {
  out.set_kind(static_cast<std::uint32_t>(id.kind));
  out.set_router(static_cast<std::uint32_t>(id.writer.router));
  out.set_incarnation(id.writer.incarnation);
}
// Returns nothing if only newer builds know the kind, or if the router number is out of range.
std::optional<StreamId> read_stream(const wire::Stream& in) {
  if (in.kind() >= kinds || in.router() > 1'000'000) return {};
  return StreamId{static_cast<Kind>(in.kind()), {static_cast<int>(in.router()), in.incarnation()}};
}

wire::Frame to_wire(const Hello& hello) {
  wire::Frame frame;
  wire::Hello& out = *frame.mutable_hello();
  out.set_version(hello.version);
  out.set_least_version(hello.min_version);
  out.set_deployment(hello.deployment);
  out.set_name(hello.name);
  out.set_router(static_cast<std::uint32_t>(hello.writer.router));
  out.set_incarnation(hello.writer.incarnation);
  return frame;
}
wire::Frame to_wire(const VersionReport& report) {
  wire::Frame frame;
  frame.mutable_points()->set_all(report.all_streams);
  frame.mutable_points()->set_young(!report.recovered);
  for (const std::uint64_t number : report.contested) frame.mutable_points()->add_contested(number);
  for (const auto& [id, version] : report.versions) {
    wire::Point& out = *frame.mutable_points()->add_point();
    write_stream(*out.mutable_stream(), id);
    out.set_ended(version.expired_through);
    out.set_through(version.known_through);
    out.set_digest(version.digest);
    out.set_part(!version.complete);
  }
  return frame;
}
wire::Frame to_wire(const DeltaBatch& batch) {
  wire::Frame frame;
  frame.mutable_pieces();
  for (const Piece& delta : batch) {
    wire::Piece& out = *frame.mutable_pieces()->add_piece();
    write_stream(*out.mutable_stream(), delta.stream);
    out.set_after(delta.after);
    out.set_ended(delta.expired_through);
    out.set_through(delta.through);
    out.set_of(delta.of);
    for (const Word& record : delta.words) {
      wire::Word& encoded = *out.add_word();
      encoded.set_number(record.number);
      encoded.set_key(record.key);
      encoded.set_rank(record.rank);
      encoded.set_count(record.count);
      encoded.set_age(static_cast<std::uint64_t>(std::max<Time>(record.age, 0)));
    }
  }
  return frame;
}
wire::Frame to_wire(const Refusal& refusal) {
  wire::Frame frame;
  frame.set_refused(refusal.reason);
  return frame;
}

VersionReport version_report_of(const wire::Points& in) {
  VersionReport report{.versions = {},
                       .all_streams = in.all(),
                       .recovered = !in.young(),
                       .contested = {in.contested().begin(), in.contested().end()}};
  for (const wire::Point& point : in.point()) {
    const auto id = read_stream(point.stream());
    if (id && point.ended() <= point.through())
      report.versions[*id] = {point.ended(), point.through(), point.digest(), !point.part()};
  }
  return report;
}
DeltaBatch delta_batch_of(const wire::Pieces& in) {
  DeltaBatch batch;
  for (const wire::Piece& piece : in.piece()) {
    const auto id = read_stream(piece.stream());
    if (!id) continue;
    Piece delta{*id, piece.after(), piece.ended(), piece.through(), piece.of(), {}};
    for (const wire::Word& word : piece.word()) {
      delta.words.push_back({word.number(), word.key(), word.rank(), word.count(),
                             static_cast<Time>(std::min(word.age(), max_age))});
    }
    batch.push_back(std::move(delta));
  }
  return batch;
}

}  // namespace

std::string write_frame(const Frame& frame) {
  const std::string body =
      std::visit([](const auto& content) { return to_wire(content).SerializeAsString(); }, frame);
  std::string out;
  append_integer(out, body.size(), length_bytes);
  append_integer(out, XXH64(body.data(), body.size(), 0), checksum_bytes);
  return out + body;
}

ReadResult FrameReader::fail(const char* reason) {
  error_ = reason;
  buffer_.clear();
  return ReadResult::invalid;
}

ReadResult FrameReader::read_next(Frame& frame) {
  while (error_.empty()) {
    const std::string_view bytes = buffer_;
    if (bytes.size() < length_bytes) return ReadResult::need_more;
    const std::uint64_t length = read_integer(bytes.substr(0, length_bytes));
    if (length > max_message_bytes) return fail("a frame is longer than any may be");
    if (bytes.size() < header_bytes + length) return ReadResult::need_more;
    const std::string_view body = bytes.substr(header_bytes, length);
    if (read_integer(bytes.substr(length_bytes, checksum_bytes)) != XXH64(body.data(), body.size(), 0))
      return fail("a frame's checksum does not fit");
    wire::Frame message;
    if (!message.ParseFromArray(body.data(), static_cast<int>(body.size())))
      return fail("a frame cannot be read");
    buffer_.erase(0, header_bytes + length);
    switch (message.says_case()) {
      case wire::Frame::kHello: {
        const wire::Hello& in = message.hello();
        if (in.deployment().size() > max_name_bytes || in.name().size() > max_name_bytes ||
            in.router() > 1'000'000)
          return fail("a hello names what cannot be");
        frame = Hello{in.version(),
                      in.least_version(),
                      in.deployment(),
                      in.name(),
                      {static_cast<int>(in.router()), in.incarnation()}};
        return ReadResult::frame;
      }
      case wire::Frame::kPoints:
        frame = version_report_of(message.points());
        return ReadResult::frame;
      case wire::Frame::kPieces:
        frame = delta_batch_of(message.pieces());
        return ReadResult::frame;
      case wire::Frame::kRefused:
        frame = Refusal{message.refused().substr(0, max_name_bytes)};
        return ReadResult::frame;
      case wire::Frame::SAYS_NOT_SET:
        break;
    }
  }
  return ReadResult::invalid;
}

}  // namespace rushhill::replica
