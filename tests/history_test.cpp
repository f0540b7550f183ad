/// \file Tests of the history checks: each check finds violations of its own
/// guarantee and reports no others.
#include "history/history_func.h"
#include "history/ticket_text.h"

#include <gtest/gtest.h>

#include <sstream>

namespace snipeshunt {
namespace {

const std::string Job = "00000000000000a1-7";
const std::string Ticket =
    "v1.dc1.127.0.0.1_7070.00000000000000a1.7.1700000000000.0123abcd";

std::string upstreamLine(int64_t WallMs, const std::string &Event,
                         const std::string &Task, bool Leaving = false,
                         const std::string &Upstream = "127.0.9.1:80") {
  return "{\"wall_us\":" + std::to_string(WallMs * 1000) + ",\"upstream\":\"" +
         Upstream + "\",\"event\":\"" + Event + "\",\"task\":\"" + Job + "-" +
         Task +
         "\",\"kind\":\"k\",\"leaving\":" + (Leaving ? "true" : "false") +
         "}\n";
}

std::string submitLine(const std::string &Payloads,
                       const std::string &Caller = "c1") {
  return "{\"wall_us\":1,\"caller\":\"" + Caller +
         "\",\"event\":\"submit\",\"ticket\":\"" + Ticket +
         "\",\"target\":\"t\",\"payloads\":" + Payloads + "}\n";
}

std::string answerLine(const std::string &Outcome, const std::string &Answer,
                       const std::string &Caller = "c1") {
  return "{\"wall_us\":2,\"caller\":\"" + Caller +
         "\",\"event\":\"answer\",\"ticket\":\"" + Ticket +
         "\",\"target\":\"t\",\"status\":200,\"outcome\":\"" + Outcome +
         "\",\"answer\":" + Answer + "}\n";
}

std::string appliedLine(int64_t SteadyUs, const std::string &Detail,
                        const std::string &Incarnation = "a1") {
  return "{\"wall_us\":1,\"steady_us\":" + std::to_string(SteadyUs) +
         ",\"instance\":\"i\",\"incarnation\":\"" + Incarnation +
         "\",\"data_centre\":\"d\",\"kind\":\"configuration_applied\","
         "\"job\":\"\",\"task\":\"\",\"detail\":\"" +
         Detail + "\"}\n";
}

const std::string TwoResults =
    R"({"results":[{"index":0,"output":"echo:x"},{"index":1,"output":"echo:y"}]})";
const std::string TwoRan =
    upstreamLine(1, "start", "0") + upstreamLine(2, "finish", "0") +
    upstreamLine(1, "start", "1") + upstreamLine(2, "finish", "1");
const std::string Submitted = submitLine(R"(["x","y"])");

HistoryInput readAll(const std::string &Upstreams, const std::string &Callers,
                     const std::string &Timelines = "") {
  HistoryInput Out;
  std::istringstream UpstreamText(Upstreams);
  std::istringstream CallerText(Callers);
  std::istringstream TimelineText(Timelines);
  auto A = readUpstreamHistory(UpstreamText, "upstream", Out);
  auto B = readCallerHistory(CallerText, "caller", Out);
  auto C = readTimelineHistory(TimelineText, "timeline", Out);
  for (const auto &Problem : {A, B, C})
    EXPECT_FALSE(Problem) << Problem->Message;
  return Out;
}

/// Returns the letters of the violated guarantees.
std::string violated(const HistoryInput &Input,
                     Duration Grace = std::chrono::seconds(5)) {
  std::string Out;
  for (const GuaranteeReport &Report : checkHistories(Input, Grace))
    if (Report.Violations)
      Out += Report.Name[0];
  return Out;
}

std::string violatedBy(const std::string &Upstreams, const std::string &Callers,
                       const std::string &Timelines = "") {
  return violated(readAll(Upstreams, Callers, Timelines));
}

// Guards against violations reported for a correct run.
TEST(HistoryTest, AcceptsCorrectRun) {
  HistoryInput Input =
      readAll(TwoRan, Submitted + answerLine("complete", TwoResults),
              appliedLine(1, "revision=3"));
  EXPECT_EQ(violated(Input), "");
  std::string Counts;
  for (const GuaranteeReport &R :
       checkHistories(Input, std::chrono::seconds(5)))
    Counts += std::to_string(R.Checked) + " ";
  EXPECT_EQ(Counts, "2 1 2 1 0 2 1 ");
}

// Guards against missing a task that ran twice, on one upstream or on two.
TEST(HistoryTest, FindsSecondStart) {
  std::string Start = upstreamLine(1, "start", "0");
  EXPECT_EQ(violatedBy(Start + Start, ""), "a");
  EXPECT_EQ(
      violatedBy(Start + upstreamLine(9, "start", "0", false, "127.0.9.2:80"),
                 ""),
      "a");
  EXPECT_EQ(violatedBy(Start + upstreamLine(2, "refuse", "0") +
                           upstreamLine(2, "start", "1"),
                       ""),
            "");
}

// Guards against accepting a complete answer with missing, duplicate, wrong or
// surplus results.
TEST(HistoryTest, FindsWrongResults) {
  const char *Wrong[] = {
      R"({"results":[{"index":0,"output":"echo:x"}]})",
      R"({"results":[{"index":0,"output":"echo:x"},{"index":0,"output":"echo:x"}]})",
      R"({"results":[{"index":0,"output":"echo:y"},{"index":1,"output":"echo:x"}]})",
      R"({"results":[{"index":0,"output":"echo:x"},{"index":2,"output":"echo:y"}]})",
      R"({"results":[{"index":0},{"index":1,"output":"echo:y"}]})",
      R"({"results":"x"})",
      "null"};
  for (const char *Answer : Wrong)
    EXPECT_EQ(violatedBy(TwoRan, Submitted + answerLine("complete", Answer)),
              "b")
        << Answer;
  EXPECT_EQ(violatedBy(TwoRan, Submitted + answerLine("failed", Wrong[0])), "");
}

// Guards against accepting the answer to another caller's submission.
TEST(HistoryTest, ComparesWithOwnSubmission) {
  std::string Other = submitLine(R"(["p","q"])", "c2");
  EXPECT_EQ(violatedBy(TwoRan, Submitted + Other +
                                   answerLine("complete", TwoResults, "c2")),
            "b");
  EXPECT_EQ(violatedBy(TwoRan, answerLine("complete", TwoResults)), "b");
}

// Guards against accepting results of tasks that no upstream finished.
TEST(HistoryTest, FindsResultsWithoutRun) {
  std::string Callers = Submitted + answerLine("complete", TwoResults);
  EXPECT_EQ(violatedBy("", Callers), "c");
  EXPECT_EQ(violatedBy(upstreamLine(1, "start", "0") +
                           upstreamLine(2, "finish", "0") +
                           upstreamLine(1, "start", "1"),
                       Callers),
            "c");
}

// Guards against accepting two different final answers to one ticket. The
// outcome `unknown` is not final and may precede one.
TEST(HistoryTest, FindsChangedAnswer) {
  std::string Complete = answerLine("complete", TwoResults);
  std::string Failed = answerLine("failed", R"({"tasks":[]})");
  EXPECT_EQ(violatedBy(TwoRan, Submitted + Failed + Complete), "d");
  EXPECT_EQ(violatedBy("", Failed + answerLine("failed", R"({"tasks":[1]})")),
            "d");
  EXPECT_EQ(violatedBy(TwoRan, Submitted + answerLine("none", "null") +
                                   answerLine("unknown", "{}") + Complete +
                                   Complete),
            "");
}

// Guards against accepting `not_run` for a job with a task that started, before
// or after the answer.
TEST(HistoryTest, FindsStartOfRejectedJob) {
  std::string NotRun = answerLine("not_run", "{}");
  EXPECT_EQ(violatedBy(upstreamLine(900, "start", "1"), NotRun), "e");
  EXPECT_EQ(violatedBy(upstreamLine(900, "refuse", "1"), NotRun), "");
}

// Guards against accepting a start on a leaving upstream after the grace
// period.
TEST(HistoryTest, FindsStartOnLeavingUpstream) {
  std::string Leaving = upstreamLine(1000, "refuse", "9", true);
  EXPECT_EQ(violatedBy(upstreamLine(6001, "start", "0", true) + Leaving, ""),
            "f");
  EXPECT_EQ(violatedBy(Leaving + upstreamLine(6000, "start", "0", true), ""),
            "");
  std::string Other = upstreamLine(9000, "start", "0", false, "127.0.9.2:80");
  EXPECT_EQ(violatedBy(Leaving + Other, ""), "");
  EXPECT_EQ(violated(readAll(Leaving + upstreamLine(1200, "start", "0"), ""),
                     std::chrono::milliseconds(100)),
            "f");
}

// Guards against accepting a configuration revision that falls within one
// incarnation.
TEST(HistoryTest, FindsFallingRevision) {
  std::string Three = appliedLine(1, "revision=3");
  std::string Two = appliedLine(2, "id=x revision=2");
  EXPECT_EQ(violatedBy("", "", Three + Two), "g");
  EXPECT_EQ(violatedBy("", "", Two + Three), "g");
  EXPECT_EQ(violatedBy("", "", appliedLine(1, "no number")), "g");
  // Allowed: a lower revision of another incarnation, and an event that was
  // read twice.
  EXPECT_EQ(violatedBy("", "", Three + appliedLine(2, "revision=2", "b2")), "");
  std::string Twice = Three + appliedLine(1, "revision=4");
  EXPECT_EQ(violatedBy("", "", Twice + Twice), "");
}

// Guards against skipping lines that are complete answers to
// `GET /v1/timeline`.
TEST(HistoryTest, ReadsWholeTimelineAnswers) {
  std::string Events = appliedLine(1, "revision=3");
  Events.back() = ',';
  Events += appliedLine(2, "revision=2");
  Events.pop_back();
  HistoryInput Input =
      readAll("", "", "{\"dropped\":4,\"events\":[" + Events + "]}");
  EXPECT_EQ(Input.Configurations.size(), 2U);
  EXPECT_EQ(Input.DroppedTimelineEvents, 4U);
  EXPECT_EQ(violated(Input), "g");
}

// Guards against ignoring malformed lines, except for a truncated last line,
// which a killed process leaves.
TEST(HistoryTest, ToleratesOnlyBrokenLastLine) {
  std::string Good = upstreamLine(1, "start", "0");
  EXPECT_EQ(readAll(Good + "{\"wall_us\":5,\"ups", "").TruncatedLastLines, 1U);
  HistoryInput Out;
  std::istringstream Middle(Good + "{\"wall_us\":5,\"ups\n" + Good);
  std::optional<Error> Problem = readUpstreamHistory(Middle, "file", Out);
  ASSERT_TRUE(Problem);
  EXPECT_EQ(Problem->Message.substr(0, 12), "file line 2:");
  for (const char *Line : {"{}", "[]", "{\"wall_us\":1,\"event\":\"stop\"}"}) {
    std::istringstream Upstream(Line);
    std::istringstream Caller(Line);
    std::istringstream Timeline(Line);
    EXPECT_TRUE(readUpstreamHistory(Upstream, "file", Out)) << Line;
    EXPECT_TRUE(readCallerHistory(Caller, "file", Out)) << Line;
    EXPECT_TRUE(readTimelineHistory(Timeline, "file", Out)) << Line;
  }
}

// Guards against reports that list every violation or omit their number.
TEST(HistoryTest, PrintsAtMostTwentyViolations) {
  std::string Lines;
  for (int I = 0; I < 26; ++I)
    Lines += upstreamLine(1, "start", "0");
  std::vector<GuaranteeReport> Reports =
      checkHistories(readAll(Lines, ""), std::chrono::seconds(5));
  EXPECT_TRUE(anyViolation(Reports));
  EXPECT_EQ(Reports[0].Violations, 25U);
  EXPECT_EQ(Reports[0].Examples.size(), 20U);
  EXPECT_NE(formatReports(Reports).find("26 checked, 25 violations"),
            std::string::npos);
  EXPECT_NE(formatReports(Reports).find("and 5 more"), std::string::npos);
}

// Guards against taking the dots of the home's address for field separators.
TEST(HistoryTest, ReadsJobIdFromTicketText) {
  EXPECT_EQ(jobIdFromTicketText(Ticket), Job);
  for (const char *Text :
       {"", "v1.", "v2.dc1.127.0.0.1_7070.00000000000000a1.7.17.0a",
        "v1.00000000000000a1.7.17.0a", "v1.dc1.1_7.a1.7.17.0a",
        "v1.dc1.1_7.00000000000000a1.x.17.0a",
        "v1.dc1.1_7.00000000000000a1.7.17.0G"})
    EXPECT_FALSE(jobIdFromTicketText(Text)) << Text;
}

} // namespace
} // namespace snipeshunt
