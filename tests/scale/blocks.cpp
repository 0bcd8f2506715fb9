#include "scale/blocks.h"

namespace {
std::uint64_t entered = 0;  // one thread
}

// Called by what is compiled with -fsanitize-coverage=trace-pc at every basic block that it enters.
extern "C" void __sanitizer_cov_trace_pc();
extern "C" void __sanitizer_cov_trace_pc() { ++entered; }

namespace rushhill::scale {

std::uint64_t Blocks::read() { return entered; }

}  // namespace rushhill::scale
