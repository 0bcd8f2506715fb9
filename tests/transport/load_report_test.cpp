#include "transport/load_report.h"

#include <gtest/gtest.h>

namespace rushhill::transport {
namespace {

TEST(LoadReport, ParsesBothFormsAndSkipsInvalidMetrics) {
  const LoadReport text =
      parse_load_report("TEXT cpu_utilization=0.5, named_metrics.inflight=7, rps=bad, x, =1,eps=-1");
  EXPECT_EQ(text, (LoadReport{{"util", 0.5}, {"inflight", 7}}));
  const LoadReport json =
      parse_load_report(R"(JSON {"cpu_utilization":0.25,"named_metrics":{"x1":2,"y":"z"},"eps":1})");
  EXPECT_EQ(json, (LoadReport{{"util", 0.25}, {"x1", 2}, {"eps", 1}}));
  EXPECT_TRUE(parse_load_report("BIN abc").empty());
  EXPECT_TRUE(parse_load_report("JSON [").empty());
}

}  // namespace
}  // namespace rushhill::transport
