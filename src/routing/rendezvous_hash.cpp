#include "routing/rendezvous_hash.h"

#include <cstdint>

namespace rushhill::routing {
namespace {

// FNV-1a, 64 bits, with the finalizer of MurmurHash3: FNV alone leaves the high bits of short texts alike.
constexpr std::uint64_t fnv_offset_basis = 14695981039346656037ULL;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;
constexpr std::uint64_t murmur_multiplier = 0xff51afd7ed558ccdULL;
constexpr unsigned murmur_shift = 33;
constexpr unsigned unused_bits = 11;  // of 64; a double holds 53 exactly
constexpr double one_of_2_to_53 = 0x1p-53;

std::uint64_t append(std::uint64_t hash, std::string_view text) {
  for (const char byte : text) {
    hash ^= static_cast<unsigned char>(byte);
    hash *= fnv_prime;
  }
  return hash;
}

}  // namespace

double rendezvous_hash(const RendezvousPair& pair) {
  std::uint64_t hash = append(append(fnv_offset_basis, pair.key), pair.endpoint);
  hash ^= hash >> murmur_shift;
  hash *= murmur_multiplier;
  hash ^= hash >> murmur_shift;
  return (static_cast<double>(hash >> unused_bits) + 1) * one_of_2_to_53;
}

}  // namespace rushhill::routing
