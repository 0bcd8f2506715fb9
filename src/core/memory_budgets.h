// How a router divides its memory limit among the buffers that its peers can fill.
#pragma once

#include <cstddef>

#include "core/memory_budget.h"

namespace rushhill::core {

// One budget for each kind of buffer. The other half of the limit is for the tables, for what the allocator
// holds back and for copies within one call.
struct MemoryBudgets {
  // `limit_bytes`: of the process; 0 if it has no limit.
  explicit MemoryBudgets(std::size_t limit_bytes)
      : requests(part_of(limit_bytes, 4)), upstream(part_of(limit_bytes, 8)),
        answers(part_of(limit_bytes, 8)) {}

  MemoryBudget requests;  // of clients: incomplete ones, and open ones until their last attempt has ended
  MemoryBudget upstream;  // attempts that have not been sent, and incomplete answers of endpoints
  MemoryBudget answers;   // that the clients have not read

 private:
  static std::size_t part_of(std::size_t limit_bytes, std::size_t divisor) {
    return limit_bytes == 0 ? MemoryBudget::unlimited : limit_bytes / divisor;
  }
};

}  // namespace rushhill::core
