// INI lines as sections: lines are counted, what cannot be read is a fault and left out.
#include "deployment/ini_file.h"

#include <gtest/gtest.h>

namespace rushhill::deployment {
namespace {

TEST(IniFile, SectionsOfOneNameAreOneAndKeepTheLineOfTheFirst) {
  FaultCollector faults("f");
  const Sections sections = read_sections("[a]\nx = 1\n[b]\n[a]\ny = 2\n", faults);
  EXPECT_TRUE(faults.faults().empty());
  ASSERT_EQ(sections.size(), 2U);
  EXPECT_EQ(sections.at("a").line, 1);
  EXPECT_EQ(sections.at("a").entries.at("y").value, "2");
  EXPECT_EQ(line_of(sections, {"a", "y"}), 5);
  EXPECT_EQ(line_of(sections, {"b", "y"}), 0);
  EXPECT_EQ(line_of(sections, {"c", "y"}), 0);
}

TEST(IniFile, LinesThatCannotBeReadAreFaultsAndTheRestIsRead) {
  FaultCollector faults("f");
  const std::string text("x = 1\n[a]\n y = 1\nz\nw = \0\nv = 1\nv = 2\n", 37);
  const Sections sections = read_sections(text, faults);
  ASSERT_EQ(faults.faults().size(), 5U);
  EXPECT_EQ(to_text(faults.faults()[0]), "f:1: x: stands before the first [section]");
  EXPECT_EQ(to_text(faults.faults()[1]), "f:3: line: begins with a space");
  EXPECT_EQ(to_text(faults.faults()[2]), "f:4: line: is no section, no KEY = VALUE and no comment");
  EXPECT_EQ(to_text(faults.faults()[3]), "f:5: line: holds a zero byte");
  EXPECT_EQ(to_text(faults.faults()[4]), "f:7: v: is written twice, first in line 6");
  EXPECT_EQ(sections.at("a").entries.size(), 1U);
}

// inih skips the mark, so it finds a head where the line does not begin with one.
TEST(IniFile, ASectionBehindAByteOrderMarkIsOneLikeOthers) {
  FaultCollector faults("f");
  const Sections sections = read_sections("\xEF\xBB\xBF[a=b]\nx = 1\n", faults);
  ASSERT_TRUE(sections.contains("a=b"));
  EXPECT_GT(sections.at("a=b").line, 0);
  EXPECT_EQ(line_of(sections, {"a=b", "x"}), 2);
}

TEST(IniFile, FaultsBeyondFiftyAreDropped) {
  FaultCollector faults("f");
  std::string text;
  for (int line = 0; line < 60; ++line) text += "nothing\n";
  read_sections(text, faults);
  EXPECT_EQ(faults.faults().size(), 50U);
}

}  // namespace
}  // namespace rushhill::deployment
