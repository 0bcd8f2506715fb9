// Good and bad files: each fault is told with its line, its key and the reason.
#include "deployment/deployment_file.h"

#include <gtest/gtest.h>

namespace rushhill::deployment {
namespace {

const std::string type = "[traffic lookup]\ndue = 750ms\nhard-limit = 2500ms\neffect = reissuable\n";

std::string refusal(const std::string& text) {
  try {
    read_text("f", text);
    return "taken";
  } catch (const BadFile& bad) {
    return bad.what();
  }
}

struct Case {
  const char* text;
  const char* said;  // a part of the first fault; "taken" where there is none
};

class Files : public testing::TestWithParam<Case> {};
TEST_P(Files, AreTakenOrRefusedWithPlaceAndReason) {
  const std::string said = refusal(type + GetParam().text);
  EXPECT_NE(said.find(GetParam().said), std::string::npos) << said;
}

INSTANTIATE_TEST_SUITE_P(
    Table, Files,
    testing::Values(
        Case{"", "taken"}, Case{"# a remark\n; another\n\n", "taken"}, Case{"[router]\n", "taken"},
        Case{"[router]\ntick = 12.5ms\n", "taken"}, Case{"[rules]\nload-window = 0\n", "taken"},
        Case{"[http]\nlisten = fd:7\n", "taken"}, Case{"[http]\nlisten = [::1]:0\n", "taken"},
        Case{"[customer a]\nshare = 0.5\n[customer b]\nshare = 0.5\n", "taken"},
        Case{"[replica]\nlisten = 127.0.0.1:9200\nrouter-0 = 127.0.0.1:9200\ndeployment = yard\n", "taken"},
        Case{"[replica]\nlisten = fd:7\n", "f:6: listen: 'fd:7' is no address"},
        Case{"[replica]\nrouter-1 = 127.0.0.1:9200\n", "f:6: router-1: '1' is not from 0 to 0"},
        Case{"marks = told\n", "f:5: marks: are told or held, but [replica] has no listen"},
        Case{"marks = told\n[replica]\nlisten = 127.0.0.1:9200\n",
             "f:5: marks: of a reissuable type bring nothing"},
        Case{"[replica]\nheld-by = 1\n", "f:6: held-by: is more than there are other routers"},
        Case{"[replica]\nheld-within = 1\n", "f:6: held-within: '1' is not from 0.01 to 0.9"},
        Case{"[traffic form]\ndue = 1s\nhard-limit = 2s\nmarks = held\n[replica]\nlisten = 127.0.0.1:9200\n",
             "held-by: must be told: only 2 to 16 routers"},
        Case{"[traffic form]\ndue = 1s\nhard-limit = 2s\nmarks = told\n[replica]\nlisten = 127.0.0.1:9200\n"
             "mark-life = 2s\n",
             "f:11: mark-life: is not longer than the hard limit of form"},
        Case{"[traffic form]\ndue = 1s\nhard-limit = 2s\nmarks = told\n[replica]\nlisten = 127.0.0.1:9200\n",
             "taken"},
        Case{"[replica]\nlevel = held\n", "f:6: level: is no key of [replica]"},
        Case{"[kind quick-4]\nmemory-mb = 6000\n", "taken"},
        Case{"[router]\ntick = 20\n", "f:6: tick: '20' is not a time with its unit"},
        Case{"[router]\ntick = 0\n", "f:6: tick: must be longer than 0"},
        Case{"[router]\ntick = 0.01ms\n", "f:6: tick: '0.01ms' is not whole tenths"},
        Case{"[router]\ntick = -5ms\n", "f:6: tick: '-5ms' is not from 0 to a week"},
        Case{"[router]\ntick = nanms\n", "f:6: tick: 'nan' is not a number"},
        Case{"[router]\nnumber = 1\n", "number: is not below routers, 1"},
        Case{"[router]\nnumber = one\n", "f:6: number: 'one' is not a whole number"},
        Case{"[router]\nnumber = 1\nnumber = 2\n", "f:7: number: is written twice, first in line 6"},
        Case{"[router]\ncolour = red\n", "f:6: colour: is no key of [router]"},
        Case{"[roter]\nnumber = 0\n", "f:5: [roter]: is none of router, rules"},
        Case{"[router]\nnumber\n", "f:6: line: is no section, no KEY = VALUE"},
        Case{"[router\nnumber = 0\n", "f:5: section: has no ]"},
        Case{"[permissions]\nshots = 0\n", "f:6: shots: '0' is not from 1 to 100"},
        Case{"[permissions]\nsecond-copies = maybe\n", "f:6: second-copies: 'maybe' is neither yes nor no"},
        Case{"[permissions]\npeers = yes\n", "f:6: peers: is yes but [peers] has no listen"},
        Case{"[permissions]\nprobing = no\n[servers]\nreports = probe\n", "f:8: reports: come with probes"},
        Case{"[functions]\nwhen-missing = miss\norders = no\n",
             "f:6: when-missing: is miss, but without orders"},
        Case{"[functions]\nwhen-missing = wait\n", "f:6: when-missing: 'wait' is none of load, miss"},
        Case{"[rules]\nload-window = 5s\n", "below 1 with loads-per-event 0 permits no order"},
        Case{"[rules]\nload-window = 5s\nload-free = 2\n[functions]\norders = no\n",
             "f:6: load-window: rations orders"},
        Case{"[rules]\ncold-share = 1.5\n", "f:6: cold-share: '1.5' is not from 0.001 to 1"},
        Case{"[rules]\nfall-multiple = 1e999\n", "f:6: fall-multiple: '1e999' is not a number"},
        Case{"[rules]\ndrain-grace = 10ms\n", "f:6: drain-grace: is not longer than the tick: rule 3"},
        Case{"[http]\nlisten = localhost:80\n", "f:6: listen: 'localhost:80' holds a name"},
        Case{"[http]\nlisten = 127.0.0.1:70000\n", "f:6: listen: '70000' is not from 0 to 65535"},
        Case{"[http]\nbody = 1GB\n", "f:6: body: '1GB' is not a size"},
        Case{"[customer a]\nshare = 0.7\n[customer b]\nshare = 0.7\n",
             "share: of all customers is more than 1"},
        Case{"[customer a b c!]\nshare = 0.7\n", "f:5: [customer a b c!]: 'a b c!' is not a name"},
        Case{"[traffic slow]\ndue = 3s\nhard-limit = 2s\n", "f:6: due: is longer than the hard limit"},
        Case{"[traffic slow]\nhard-limit = 2s\n", "f:5: due: is missing in [traffic slow]"},
        Case{"[traffic fast]\ndue = 5ms\nhard-limit = 30ms\n",
             "f:7: hard-limit: is not longer than two ticks: rule 1"},
        Case{"[traffic form]\ndue = 1s\nhard-limit = 2s\neffect = numbered\n",
             "memory-span: of a numbered type"},
        Case{"[traffic b]\ndue = 1s\nhard-limit = 2s\nevent-type = lookup\n",
             "event-type: 'lookup' belongs to two"},
        Case{"[peers]\nlisten = 127.0.0.1:0\nrouter-3 = 127.0.0.1:9\n",
             "f:7: router-3: '3' is not from 0 to 0"}));

TEST(DeploymentFile, AllFaultsAreToldAtOnce) {
  const std::string said = refusal("[router]\ntick = 1\nnumber = x\n[traffic a]\n");
  EXPECT_NE(said.find("f:2: tick"), std::string::npos);
  EXPECT_NE(said.find("f:3: number"), std::string::npos);
  EXPECT_NE(said.find("f:4: due: is missing"), std::string::npos);
}

TEST(DeploymentFile, ALineTooLongForTheReaderIsRefusedAndNotCut) {
  EXPECT_NE(
      refusal(type + "[router]\nlocation = " + std::string(300, 'a') + "\n").find("f:6: line: is longer"),
      std::string::npos);
  EXPECT_NE(refusal(type + "[traffic " + std::string(60, 'a') + "]\n").find("f:5: section"),
            std::string::npos);
}

TEST(DeploymentFile, WhatIsInForceIsAFileThatMeansTheSame) {
  const Program first = read_text("f", type + "[customer a]\nshare = 0.25\n[router]\ntick = 33ms\n");
  std::string printed;
  for (const std::string& line : first.in_force) printed += line + "\n";
  const Program second = read_text("g", printed);
  EXPECT_EQ(first.in_force, second.in_force);
  EXPECT_EQ(second.module.tick, to_duration(330));
  EXPECT_EQ(second.module.tenants.at(0).share, 0.25);
  EXPECT_EQ(second.module.request_classes.at(0).latency_objective, to_duration(7'500));
}

TEST(DeploymentFile, ATrafficTypeThatTellsNoEffectIsOfTheStrictestKind) {
  EXPECT_EQ(
      read_text("f", "[traffic a]\ndue = 1s\nhard-limit = 2s\n").module.request_classes.at(0).retry_safety,
      RetrySafety::at_most_once);
}

}  // namespace
}  // namespace rushhill::deployment
