// FastCGI records under any cut and any fault: requests come whole or not at all.
#include "fastcgi/records.h"

#include <gtest/gtest.h>

namespace rushhill::fastcgi {
namespace {

struct Noted final : Taker {
  void request(Number number, Request request) override { requests.emplace_back(number, std::move(request)); }
  void refused(Number number, Refusal why, bool) override { refusals.emplace_back(number, why); }
  void aborted(Number number, bool whole) override { aborts.emplace_back(number, whole); }
  void values_asked(const std::vector<std::string>& asked) override { names = asked; }
  void type_unknown(std::uint8_t type) override { unknown = type; }
  void broken(const char* why) override { fault = why; }
  std::vector<std::pair<Number, Request>> requests;
  std::vector<std::pair<Number, Refusal>> refusals;
  std::vector<std::pair<Number, bool>> aborts;
  std::vector<std::string> names;
  int unknown = 0;
  std::string fault;
};

struct RecordStory : testing::Test {
  Noted noted;
  Reader reader{noted, {}};
  Request asked{.params = {{"SCRIPT_NAME", "/ops/date-lookup"}, {"LONG", std::string(200, 'l')}},
                .body = "body",
                .keep = true};
};

// A record by hand: type, number, content, padding.
std::string record(int type, int number, const std::string& content, int padding = 0) {
  std::string out{'\1', static_cast<char>(type), static_cast<char>(number >> 8), static_cast<char>(number)};
  out += static_cast<char>(content.size() >> 8U);
  out += static_cast<char>(content.size());
  out += static_cast<char>(padding);
  out += '\0';
  return out + content + std::string(static_cast<std::size_t>(padding), 'p');
}
const std::string begin_keep{"\0\1\1\0\0\0\0\0", 8};

TEST_F(RecordStory, CutAtAnyByteTheRequestIsTheSame) {
  const std::string bytes = write_request(7, asked);
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    Noted fresh;
    Reader each(fresh, {});
    each.put(bytes.substr(0, cut), 5);
    EXPECT_EQ(each.unfinished_since().has_value(), cut > 0 && cut < bytes.size()) << cut;
    each.put(bytes.substr(cut), 9);
    ASSERT_EQ(fresh.requests.size(), 1U) << cut;
    EXPECT_EQ(fresh.requests[0].first, 7);
    EXPECT_EQ(fresh.requests[0].second.params, asked.params);
    EXPECT_EQ(fresh.requests[0].second.body, "body");
    EXPECT_TRUE(fresh.requests[0].second.keep);
  }
}

TEST_F(RecordStory, ParametersInManyPaddedRecordsAndRequestsInterleaved) {
  const std::string pairs = write_pairs({{"A", "1"}, {"B", "2"}});
  std::string bytes = record(1, 1, begin_keep, 3) + record(1, 2, begin_keep);
  for (const char c : pairs) bytes += record(4, 1, std::string(1, c), 255) + record(4, 2, std::string(1, c));
  bytes += record(4, 1, "") + record(4, 2, "", 8) + record(5, 2, "two") + record(5, 1, "") + record(5, 2, "");
  reader.put(bytes, 1);
  ASSERT_EQ(noted.requests.size(), 2U);
  EXPECT_EQ(*noted.requests[0].second.param("B"), "2");
  EXPECT_EQ(noted.requests[1].second.body, "two");
  EXPECT_FALSE(reader.unfinished_since());
}

TEST_F(RecordStory, TheSameNumberWhileItIsOpenBreaksTheConnectionAndLaterDoesNot) {
  reader.put(write_request(3, asked), 1);
  reader.ended(3);
  reader.put(write_request(3, asked), 2);
  EXPECT_EQ(noted.requests.size(), 2U);
  EXPECT_EQ(noted.fault, "");
  reader.put(write_request(3, asked), 3);
  EXPECT_EQ(noted.requests.size(), 2U);
  EXPECT_EQ(noted.fault, "a second request under one number");
  reader.put(write_request(4, asked), 4);
  EXPECT_EQ(noted.requests.size(), 2U) << "nothing is read after it";
}

TEST_F(RecordStory, ABodyAboveItsBoundIsRefusedOnceAndNotKept) {
  asked.body = std::string(16 * 1024 + 1, 'b');
  reader.put(write_request(5, asked), 1);
  asked.body.resize(16 * 1024);
  reader.put(write_request(6, asked), 1);
  ASSERT_EQ(noted.refusals.size(), 1U);
  EXPECT_EQ(noted.refusals[0], std::pair(Number{5}, Refusal::body_too_large));
  EXPECT_EQ(noted.requests.size(), 1U);
}

TEST_F(RecordStory, ManyHalfRequestsHoldNoMoreThanAFewWholeOnes) {
  for (int number = 1; number <= 32; ++number)
    reader.put(
        record(1, number, begin_keep) + record(4, number, "") + record(5, number, std::string(16'000, 'x')),
        1);
  EXPECT_EQ(noted.refusals.size(), 32U - 128 * 1024 / 16'000);
  EXPECT_EQ(noted.fault, "");
}

TEST_F(RecordStory, ABodyWithoutEndIsNotReadForEver) {
  reader.put(record(1, 5, begin_keep) + record(4, 5, ""), 1);
  for (int i = 0; i < 100; ++i) reader.put(record(5, 5, std::string(10'000, 'x')), 1);
  EXPECT_EQ(noted.refusals.size(), 1U);
  EXPECT_EQ(noted.fault, "too much for requests that are over");
}

TEST_F(RecordStory, ParametersWithoutEndOrThatCannotBeReadAreRefused) {
  reader.put(record(1, 1, begin_keep) + record(4, 1, std::string(20'000, 'x')), 1);
  ASSERT_EQ(noted.refusals.size(), 1U);
  EXPECT_EQ(noted.refusals[0].second, Refusal::params_too_large);
  reader.put(
      record(1, 2, begin_keep) + record(4, 2, "\xff\xff\xff\xff\x01") + record(4, 2, "") + record(5, 2, ""),
      1);
  ASSERT_EQ(noted.refusals.size(), 2U);
  EXPECT_EQ(noted.refusals[1].second, Refusal::params_unreadable);
}

TEST_F(RecordStory, MoreThan32OpenAreRefusedAndTheOthersStay) {
  for (Number number = 1; number <= 33; ++number) reader.put(write_request(number, asked), 1);
  EXPECT_EQ(noted.requests.size(), 32U);
  ASSERT_EQ(noted.refusals.size(), 1U);
  EXPECT_EQ(noted.refusals[0], std::pair(Number{33}, Refusal::too_many));
  reader.ended(1);
  reader.put(write_request(33, asked), 1);
  EXPECT_EQ(noted.requests.size(), 33U);
}

TEST_F(RecordStory, TakenBackWholeOrHalfIsToldOnce) {
  reader.put(write_request(1, asked) + record(1, 2, begin_keep) + record(2, 1, "") + record(2, 2, "") +
                 record(2, 9, ""),
             1);
  EXPECT_EQ(noted.aborts, (std::vector<std::pair<Number, bool>>{{1, true}, {2, false}}));
  EXPECT_FALSE(reader.unfinished_since());
}

TEST_F(RecordStory, ManagementRecordsAndOtherRolesAreAnswerable) {
  reader.put(record(9, 0, write_pairs({{"FCGI_MPXS_CONNS", ""}})) + record(77, 0, "x"), 1);
  EXPECT_EQ(noted.names, std::vector<std::string>{"FCGI_MPXS_CONNS"});
  EXPECT_EQ(noted.unknown, 77);
  reader.put(record(1, 1, std::string("\0\2\0\0\0\0\0\0", 8)), 1);
  ASSERT_EQ(noted.refusals.size(), 1U);
  EXPECT_EQ(noted.refusals[0].second, Refusal::unknown_role);
}

TEST_F(RecordStory, WhatIsNoRecordBreaksTheConnection) {
  for (const std::string& bytes : {std::string("GET / HTTP/1.1\r\n\r\n"), record(1, 0, begin_keep),
                                   record(1, 1, "short"), record(1, 1, begin_keep) + record(5, 1, "early")}) {
    Noted fresh;
    Reader each(fresh, {});
    each.put(bytes, 1);
    EXPECT_NE(fresh.fault, "") << bytes;
    EXPECT_TRUE(each.over());
  }
}

TEST(PairStory, BothFormsOfLengthComeBackAsTheyWent) {
  const std::vector<std::pair<std::string, std::string>> pairs{
      {"a", ""}, {std::string(127, 'n'), std::string(128, 'v')}, {std::string(70'000, 'x'), "y"}};
  EXPECT_EQ(read_pairs(write_pairs(pairs)), pairs);
  EXPECT_FALSE(read_pairs(std::string("\x7f\x01n", 3)));
}

TEST(AnswerRecords, ALongOutputIsSplitAndEnded) {
  const std::string bytes = answer(258, std::string(70'000, 'o'));
  EXPECT_EQ(bytes.size(), 70'000U + 3 * 8 + 16);
  EXPECT_EQ(bytes.substr(0, 4), std::string("\1\6\1\2", 4));
  EXPECT_EQ(bytes.substr(bytes.size() - 16, 4), std::string("\1\3\1\2", 4));
}

}  // namespace
}  // namespace rushhill::fastcgi
