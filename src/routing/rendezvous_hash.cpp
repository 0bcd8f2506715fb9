#include "routing/rendezvous_hash.h"

#include <cstdint>

namespace rushhill::routing {
namespace {

// 64-bit FNV-1a with part of the MurmurHash3 finalizer, because FNV alone gives short strings similar high
// bits.
constexpr std::uint64_t fnv_offset_basis = 14695981039346656037ULL;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;
constexpr std::uint64_t murmur_multiplier = 0xff51afd7ed558ccdULL;
constexpr unsigned murmur_shift = 33;
constexpr unsigned unused_bits = 11;  // of 64 bits, a double holds 53 exactly
constexpr double two_to_minus_53 = 0x1p-53;

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
  return (static_cast<double>(hash >> unused_bits) + 1) * two_to_minus_53;
}

}  // namespace rushhill::routing
