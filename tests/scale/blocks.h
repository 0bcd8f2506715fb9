// Work counted without any help of the machine: basic blocks of the program entered. The same on every run
// and machine for one compiler, which an instruction counter that may be missing or shared is not.
#pragma once

#include "scale/counter.h"

namespace rushhill::scale {

class Blocks final : public Counter {
 public:
  std::uint64_t read() override;
  bool counts() const override { return true; }
};

}  // namespace rushhill::scale
