// Runs a fuzz target over its corpus and over so many seeded changes of it, with any compiler.
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace {
void run(const std::string& input) {
  LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(input.data()), input.size());
}
}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  std::vector<std::string> seeds;
  std::set<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(argv[1])) files.insert(entry.path());
  for (const auto& file : files) {
    std::ifstream in(file, std::ios::binary);
    seeds.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
    run(seeds.back());
  }
  std::mt19937 chance(1);
  const int changes = std::atoi(argv[2]);
  for (int i = 0; i < changes; ++i) {
    std::string input = seeds[chance() % seeds.size()];
    for (unsigned k = chance() % 4 + 1; k > 0 && !input.empty(); --k) {
      const std::size_t at = chance() % input.size();
      switch (chance() % 4) {
        case 0:
          input[at] = static_cast<char>(chance());
          break;
        case 1:
          input.erase(at, chance() % 8);
          break;
        case 2:
          input.insert(at, input.substr(chance() % input.size(), chance() % 16));
          break;
        default:
          input.insert(at, 1, static_cast<char>(chance()));
          break;
      }
    }
    run(input);
  }
  std::printf("%zu seeds and %d changes\n", seeds.size(), changes);
  return files.empty() ? 1 : 0;
}
