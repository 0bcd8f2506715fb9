// CPU time and memory of this process, as the system and the allocator report them.
#pragma once

namespace rushhill::scale {

// CPU time in user space, in nanoseconds.
double user_ns();
// Bytes that the allocator has handed out and not been given back.
double allocated_bytes();
// Bytes of the resident set, now and at its largest.
double resident_bytes();
double peak_resident_bytes();

}  // namespace rushhill::scale
