#include "scale/planted.h"

namespace rushhill::scale {

int meetings_of_all(int size, int share) {
  volatile int met = 0;
  for (int one = 0; one < size; ++one) {
    for (int other = one % share; other < size; other += share) met = met + 1;
  }
  return met;
}

}  // namespace rushhill::scale
