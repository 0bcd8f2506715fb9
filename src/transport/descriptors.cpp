#include "transport/descriptors.h"

#include <fcntl.h>
#include <sys/resource.h>

#include <algorithm>
#include <limits>
#include <stdexcept>
#include <string>

namespace rushhill::transport {
namespace {

constexpr std::size_t max_examined = 65'536;  // descriptors; takes a few milliseconds, only at startup

}  // namespace

std::size_t descriptors_left(std::size_t configured) {
  rlimit system{};
  std::size_t limit = configured > 0 ? configured : std::numeric_limits<std::size_t>::max();
  if (getrlimit(RLIMIT_NOFILE, &system) == 0) limit = std::min<std::size_t>(limit, system.rlim_cur);
  std::size_t open = 0;
  const auto last = static_cast<int>(std::min<std::size_t>(system.rlim_cur, max_examined));
  for (int descriptor = 0; descriptor < last; ++descriptor) {
    if (::fcntl(descriptor, F_GETFD) >= 0) ++open;
  }
  return limit - std::min(open, limit);
}

DescriptorShares share_descriptors(std::size_t left, std::size_t reserve) {
  if (left < reserve + 2)
    throw std::invalid_argument("too few file descriptors: " + std::to_string(left) +
                                " are available, but at least " + std::to_string(reserve + 2) +
                                " are required; raise the limit on open files");
  const std::size_t shared = left - reserve;
  return {.clients = shared - shared / 2, .servers = shared / 2};
}

}  // namespace rushhill::transport
