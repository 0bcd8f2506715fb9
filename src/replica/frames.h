// Encodes and decodes the frames of the replication protocol: 4 bytes of length, 8 bytes of checksum (XXH64),
// both big-endian, then a message of frames.proto. Works on bytes and does no I/O.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "replica/state.h"

namespace rushhill::replica {

constexpr std::size_t max_message_bytes = 512 * 1024;  // well above the records that one iteration sends
constexpr std::size_t max_name_bytes = 128;            // of a router's or a deployment's name

struct Hello {
  std::uint32_t version = 2, min_version = 1;
  std::string deployment{}, name{};
  Writer writer{};
};

// The sender's versions, either of all streams or of those that it acknowledges.
struct VersionReport {
  VersionVector versions{};
  bool all_streams = false;
  // Whether the sender has all records again that it had before its restart, and so counts as a holder.
  bool recovered = true;
  // Numbers of the receiver's deduplication records that reached the sender after another router's record of
  // the same request, or in an unknown order.
  std::vector<std::uint64_t> contested{};
};

// Tells the receiver why the sender closes the connection.
struct Refusal {
  std::string reason{};
};

using Frame = std::variant<Hello, VersionReport, DeltaBatch, Refusal>;

std::string write_frame(const Frame& frame);

enum class ReadResult { need_more, frame, invalid };

// Splits the bytes received on a connection into frames.
class FrameReader {
 public:
  void append(std::string_view bytes) { buffer_.append(bytes); }
  // Reads the next frame. Once a frame is invalid, `error` gives the reason and nothing more can be read.
  // Skips frames of kinds that this build does not know.
  ReadResult read_next(Frame& frame);
  const std::string& error() const { return error_; }
  std::size_t buffered_bytes() const { return buffer_.size(); }

 private:
  ReadResult fail(const char* reason);
  std::string buffer_;
  std::string error_;
};

}  // namespace rushhill::replica
