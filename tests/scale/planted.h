// A cost that grows with the square of a size, for the check to catch.
#pragma once

namespace rushhill::scale {

int meetings_of_all(int size, int share);  // every so many-th pair is met

}  // namespace rushhill::scale
