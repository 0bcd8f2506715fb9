#include <exception>
#include <iostream>

#include "wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  try {
    rushhill::benchlink::Link(std::cin, std::cout).run();
  } catch (const std::exception& error) {
    std::cerr << "rushhill_benchlink: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
