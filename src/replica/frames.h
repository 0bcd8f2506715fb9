// The frames that routers exchange of their copies: four bytes of length, eight of checksum (XXH64, both with
// the highest byte first), then a message of frames.proto. Bytes in, frames out; no sockets.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "replica/state.h"

namespace rushhill::replica {

constexpr std::size_t longest_frame = 512 * 1024;  // bytes of a message; far above a turn's words
constexpr std::size_t longest_name = 128;          // bytes of a router's or a deployment's name

struct Hello {
  std::uint32_t version = 2, least_version = 1;
  std::string deployment{}, name{};
  Writer writer{};
};

struct Points {
  Summary summary{};
  bool all = false;
  bool vouches = true;                     // the teller's copy may be counted as holding
  std::vector<std::uint64_t> contested{};  // of the hearer's marks: numbers that met another's taking
};

struct Refusal {
  std::string reason{};
};

using Frame = std::variant<Hello, Points, Batch, Refusal>;

std::string write_frame(const Frame& frame);

enum class Progress { more, frame, bad };

class FrameReader {
 public:
  void put(std::string_view bytes) { held_.append(bytes); }
  // Where it is bad, `reason` says why, and nothing more can be read. Frames of kinds that this build does
  // not know are passed over.
  Progress next(Frame& frame);
  const std::string& reason() const { return reason_; }
  std::size_t held() const { return held_.size(); }

 private:
  Progress bad(const char* why);
  std::string held_;
  std::string reason_;
};

}  // namespace rushhill::replica
