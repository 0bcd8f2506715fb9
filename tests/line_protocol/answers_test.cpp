// Guards against taking a truncated or malformed answer of a model server for a valid one. The tests split
// answers at every byte and send lines with missing or invalid parts.
#include "line_protocol/answers.h"

#include <gtest/gtest.h>

namespace rushhill::line_protocol {
namespace {

const std::string complete_answer =
    "9b1f03aa5c7e2d41 HIT remark=shared_init,ahead=3,report=inflight:7;util:0.61 4\r\nda\r\n\r\n";

Progress read(const std::string& bytes, Answer& answer, Reader& reader) {
  reader.put(bytes);
  return reader.next(answer);
}
Progress read(const std::string& bytes) {
  Reader reader({});
  Answer answer;
  return read(bytes, answer, reader);
}

TEST(AnswerReader, ReadsTheSameAnswerWhereverTheBytesAreSplit) {
  for (std::size_t cut = 0; cut < complete_answer.size(); ++cut) {
    Reader reader({});
    Answer answer;
    ASSERT_EQ(read(complete_answer.substr(0, cut), answer, reader), Progress::more) << cut;
    ASSERT_EQ(read(complete_answer.substr(cut), answer, reader), Progress::answer) << cut;
    EXPECT_EQ(answer.id, "9b1f03aa5c7e2d41");
    EXPECT_EQ(answer.copy_state, CopyState::load_awaited);
    EXPECT_EQ(answer.crowd, 3);
    EXPECT_EQ(answer.report, (LoadReport{{"inflight", 7}, {"util", 0.61}}));
    EXPECT_EQ(answer.body, "da\r\n");
    EXPECT_TRUE(reader.is_between_answers());
  }
}

TEST(AnswerReader, ReturnsSeveralAnswersOfOneReadOneByOne) {
  Reader reader({});
  reader.put("a HIT - 0\r\n\r\nb SHED ahead=2 0\r\n\r\nc LA");
  Answer answer;
  EXPECT_EQ(reader.next(answer), Progress::answer);
  EXPECT_EQ(reader.next(answer), Progress::answer);
  EXPECT_EQ(answer.id, "b");
  EXPECT_EQ(answer.word, Word::shed);
  EXPECT_EQ(reader.next(answer), Progress::more);
  EXPECT_FALSE(reader.is_between_answers());
}

// A truncated line was once taken for an answer without a body and forwarded.
TEST(AnswerReader, RejectsAnAnswerWithoutABodyLength) {
  EXPECT_EQ(read("a HIT - \r\n"), Progress::bad);
  EXPECT_EQ(read("a HIT -\r\n"), Progress::bad);
  EXPECT_EQ(read("a HIT\r\n"), Progress::bad);
}

TEST(AnswerReader, RejectsAnInvalidBodyLengthOnItsLine) {
  for (const char* length : {"many", "-1", "3221225472", "99999999999999999999999", "4 4", "0x4"})
    EXPECT_EQ(read(std::string("a HIT - ") + length + "\r\n"), Progress::bad) << length;
}

TEST(AnswerReader, ReportsTheIdOfAnAnswerWithAWrongBodyLength) {
  Reader reader({});
  Answer answer;
  EXPECT_EQ(read("ab HIT - 2\r\nlonger\r\n", answer, reader), Progress::bad);
  EXPECT_EQ(reader.malformed_answer_id(), "ab");
  EXPECT_EQ(read(complete_answer, answer, reader), Progress::bad)
      << "An answer was read after a malformed one.";
}

TEST(AnswerReader, RejectsNoiseUnknownStatusWordsAndOverlongLines) {
  EXPECT_EQ(read("a WELL - 0\r\n\r\n"), Progress::bad);
  EXPECT_EQ(read("\x01\xff\r\n"), Progress::bad);
  EXPECT_EQ(read("a HIT ahead=x 0\r\n\r\n"), Progress::bad);
  EXPECT_EQ(read(" HIT - 0\r\n\r\n"), Progress::bad);
  EXPECT_EQ(read(std::string(5000, 'x')), Progress::bad);
}

TEST(AnswerReader, EachStatusMapsToAnAttemptOutcome) {
  const auto outcome_of = [](Word word, CopyState copy_state = CopyState::unknown) {
    return attempt_result({.word = word, .copy_state = copy_state})->outcome;
  };
  EXPECT_EQ(outcome_of(Word::hit), AttemptOutcome::succeeded);
  EXPECT_EQ(outcome_of(Word::none), AttemptOutcome::function_missing);
  EXPECT_EQ(outcome_of(Word::shed), AttemptOutcome::overloaded);
  EXPECT_EQ(outcome_of(Word::fault), AttemptOutcome::error);
  EXPECT_EQ(outcome_of(Word::late), AttemptOutcome::not_sent);
  EXPECT_EQ(attempt_result({.word = Word::fault, .copy_state = CopyState::load_failed})->copy_state,
            CopyState::load_failed);
  EXPECT_FALSE(attempt_result({.word = Word::pong}));
}

TEST(Commands, EncodesCommandsAndABodyWithItsLength) {
  EXPECT_EQ(invocation("9b1f03aa5c7e2d41", "date-lookup", "7f3a9c21e0b4d655", "", "a\r\nb").text(15'000),
            "invoke 9b1f03aa5c7e2d41 profile=date-lookup,thing=7f3a9c21e0b4d655,max=1500 4\r\na\r\nb\r\n");
  EXPECT_EQ(abort("a1"), "abort a1\r\n");
  EXPECT_EQ(prewarm("o1", "7f3a9c21e0b4d655", 2), "prewarm o1 thing=7f3a9c21e0b4d655,units=2\r\n");
  EXPECT_EQ(evict("7f3a9c21e0b4d655"), "evict 7f3a9c21e0b4d655\r\n");
  EXPECT_EQ(gauges("p1"), "gauges p1\r\n");
}

}  // namespace
}  // namespace rushhill::line_protocol
