/// \file Tests of the command-line tool's argument parsing and output.
#include "core/json_func.h"
#include "tool_support/tool_answer.h"
#include "tool_support/tool_arguments.h"
#include "tool_support/tool_log.h"
#include "tool_support/tool_table.h"

#include <gtest/gtest.h>

#include <sstream>

namespace snipeshunt {
namespace {

const std::string OneInstance = "127.0.0.1:7070";
const std::string Ticket =
    "v1.dc1.127.0.0.1_7070.00000000000000a1.7.1700000000000.0123abcd";

ToolArguments parseGood(const std::vector<std::string> &Words) {
  Result<ToolArguments> Parsed = parseToolArguments(Words, {OneInstance});
  EXPECT_FALSE(failed(Parsed)) << errorOf(Parsed).Message;
  return failed(Parsed) ? ToolArguments() : valueOf(Parsed);
}

std::string problemOf(const std::vector<std::string> &Words,
                      const std::string &Variable = OneInstance) {
  Result<ToolArguments> Parsed = parseToolArguments(Words, {Variable});
  return failed(Parsed) ? errorOf(Parsed).Message : "";
}

ToolAnswer answerOf(int Status, const std::string &Body) {
  HttpReply Reply;
  Reply.Status = Status;
  Reply.Body = Body;
  return readToolAnswer(Reply);
}

// Guards against options that are ignored before or after the subcommand.
TEST(ToolArgumentsTest, ReadsOptionsOnBothSides) {
  ToolArguments A = parseGood({"--json", "--instance", "10.0.0.1:1", "submit",
                               "job.json", "--wait=false", "--attempts=5",
                               "--instance=10.0.0.2:2", "--timeout-ms", "250"});
  EXPECT_TRUE(A.Command == ToolCommand::Submit);
  EXPECT_TRUE(A.Json);
  EXPECT_FALSE(A.Wait);
  EXPECT_EQ(A.File, "job.json");
  EXPECT_EQ(A.Attempts, 5);
  ASSERT_EQ(A.Instances.size(), 2U);
  EXPECT_EQ(A.Instances[1].Value, "10.0.0.2:2");
  EXPECT_TRUE(A.Timeout == Duration(std::chrono::milliseconds(250)));
}

// Guards against changed defaults and an ignored environment variable.
TEST(ToolArgumentsTest, HasDefaults) {
  Result<ToolArguments> Parsed =
      parseToolArguments({"submit"}, {"10.0.0.1:1,10.0.0.2:2,10.0.0.1:1"});
  ASSERT_FALSE(failed(Parsed));
  const ToolArguments &A = valueOf(Parsed);
  EXPECT_EQ(A.File, "-");
  EXPECT_TRUE(A.Wait);
  EXPECT_EQ(A.Attempts, 3);
  EXPECT_EQ(A.Instances.size(), 2U);
  EXPECT_FALSE(A.Timeout);
  EXPECT_EQ(parseGood({"status", "--instance", "10.0.0.9:9", "t"})
                .Instances.front()
                .Value,
            "10.0.0.9:9");
}

// Guards against running a mistyped command.
TEST(ToolArgumentsTest, RejectsWrongUsage) {
  EXPECT_EQ(problemOf({}), "a subcommand is missing");
  EXPECT_EQ(problemOf({"explode"}), "'explode' is not a subcommand");
  EXPECT_EQ(problemOf({"instances", "--sideways"}),
            "option '--sideways' is unknown or malformed");
  EXPECT_EQ(problemOf({"instances", "--attempts", "2"}),
            "option '--attempts' is unknown or malformed");
  EXPECT_EQ(problemOf({"submit", "--attempts"}),
            "option '--attempts' needs a value");
  EXPECT_EQ(problemOf({"submit", "--attempts", "0"}),
            "--attempts must be a whole number from 1 to 100");
  EXPECT_EQ(problemOf({"submit", "--timeout-ms", "5x"}),
            "--timeout-ms must be a whole number from 1 to 86400000");
  EXPECT_EQ(problemOf({"submit", "--wait=maybe"}),
            "--wait must be true or false");
  EXPECT_EQ(problemOf({"submit", "a", "b"}), "unexpected argument 'b'");
  EXPECT_EQ(problemOf({"status"}), "the ticket is missing");
  EXPECT_EQ(problemOf({"status", "t", "--instance", "here"}),
            "'here' is not an IPv4 address and port");
  EXPECT_EQ(problemOf({"instances"}, ""),
            "no instance is given; add --instance IP:port or set "
            "SNIPESHUNT_INSTANCES");
}

// Guards against a change without an author or service, and against mistyped
// verbs or exceptions.
TEST(ToolArgumentsTest, ReadsConfigVerbs) {
  const ToolEnvironment Full{"", "10.0.0.1:2379", "ana"};
  auto Problem = [](const std::vector<std::string> &Words,
                    const ToolEnvironment &Environment) {
    Result<ToolArguments> Parsed = parseToolArguments(Words, Environment);
    return failed(Parsed) ? errorOf(Parsed).Message : "";
  };
  Result<ToolArguments> Added = parseToolArguments(
      {"config", "exceptions", "add", "--scope", "team", "--name", "t",
       "--setting=team_weight", "--value", "2.5", "--reason", "a good reason"},
      Full);
  ASSERT_FALSE(failed(Added)) << errorOf(Added).Message;
  const ToolArguments &A = valueOf(Added);
  EXPECT_EQ(A.Verb, ConfigVerb::AddException);
  EXPECT_EQ(A.Exception.Id.Value, "team/t/team_weight");
  EXPECT_EQ(A.Exception.Setting, ExceptionSetting::TeamWeight);
  EXPECT_EQ(A.Exception.Value, 2.5);
  EXPECT_EQ(A.Author, "ana");
  EXPECT_EQ(A.Platform->Value, "10.0.0.1:2379");
  EXPECT_EQ(Problem({"config", "check", "f"}, {}), "");
  EXPECT_EQ(Problem({"config", "status"}, {OneInstance}), "");
  EXPECT_NE(Problem({"config", "status"}, {}), "");
  EXPECT_NE(Problem({"config", "get"}, {}), "");
  EXPECT_NE(Problem({"config", "set"}, Full), "");
  EXPECT_NE(Problem({"config", "set", "f"}, {"", "10.0.0.1:2379", ""}), "");
  EXPECT_NE(Problem({"config", "exceptions", "add"}, Full), "");
  EXPECT_EQ(Problem({"config", "exceptions"}, Full),
            "'config exceptions' is not a subcommand");
  EXPECT_EQ(Problem({"config", "get", "x"}, Full), "unexpected argument 'x'");
}

// Guards against draining instances listed in the environment.
TEST(ToolArgumentsTest, DrainNeedsOneNamedInstance) {
  std::string Expected = "drain needs exactly one --instance";
  EXPECT_EQ(problemOf({"drain"}), Expected);
  EXPECT_EQ(
      problemOf({"drain", "--instance=10.0.0.1:1", "--instance=10.0.0.2:2"}),
      Expected);
  EXPECT_EQ(problemOf({"drain", "--instance=10.0.0.1:1"}), "");
}

// Guards against help that fails for lack of arguments or omits a subcommand.
TEST(ToolArgumentsTest, HelpNeedsNothingElse) {
  EXPECT_TRUE(parseGood({"--help"}).Help);
  EXPECT_TRUE(parseGood({"--version"}).Version);
  for (const ToolCommandRow &Row : ToolCommandTable) {
    std::string Name(Row.Name);
    Result<ToolArguments> Parsed = parseToolArguments({Name, "--help"}, {});
    ASSERT_FALSE(failed(Parsed)) << Name;
    EXPECT_TRUE(valueOf(Parsed).Help && valueOf(Parsed).Command);
    EXPECT_NE(toolHelp(Row.Command).find("snipeshunt " + Name),
              std::string::npos);
    EXPECT_NE(toolHelp(std::nullopt).find(Name), std::string::npos);
  }
}

// Guards against printing results in the order of arrival instead of the task
// index.
TEST(ToolAnswerTest, PrintsResultsInOrder) {
  ToolAnswer A = answerOf(200, R"({"outcome":"complete","job":"t","results":[
    {"index":1,"output":"b"},{"index":0,"output":"a"}]})");
  EXPECT_EQ(formatResults(A), "0\ta\n1\tb\n");
  EXPECT_EQ(exitOf(A), ToolExit::Success);
}

// Guards against a failure without its reason, remedy or task states.
TEST(ToolAnswerTest, PrintsFailureWithTaskStates) {
  ToolAnswer A = answerOf(500, R"({"outcome":"failed","job":"t",
    "error":{"kind":"task_failed","message":"task 1 failed","remedy":"fix it"},
    "tasks":[{"index":0,"state":"finished"},{"index":1,"state":"failed"}]})");
  EXPECT_EQ(formatFailure(A),
            "snipeshunt: job failed (task_failed): task 1 failed; fix it\n"
            "  task 0: finished\n  task 1: failed\n");
  EXPECT_EQ(exitOf(A), ToolExit::Failed);
}

// Guards against reporting an unknown outcome as a failure that may be
// repeated, also when the answer can't be read.
TEST(ToolAnswerTest, KeepsUnknownApartFromRejection) {
  EXPECT_EQ(exitOf(answerOf(504, R"({"outcome":"unknown"})")),
            ToolExit::Unknown);
  EXPECT_EQ(exitOf(answerOf(400, R"({"outcome":"unknown"})")),
            ToolExit::Unknown);
  EXPECT_EQ(exitOf(answerOf(503, "<html>busy</html>")), ToolExit::Unknown);
  EXPECT_EQ(exitOf(answerOf(200, "[1]")), ToolExit::Unknown);
  EXPECT_EQ(exitOf(answerOf(503, R"({"outcome":"not_run"})")),
            ToolExit::Failed);
  EXPECT_EQ(exitOf(answerOf(413, "<html>too large</html>")), ToolExit::Failed);
  EXPECT_EQ(exitOf(answerOf(202, "")), ToolExit::Success);
}

// Guards against reporting a successful cancellation as a failure.
TEST(ToolAnswerTest, CancelledJobIsSuccessOfCancel) {
  ToolAnswer A =
      answerOf(500, R"({"outcome":"failed","error":{"kind":"cancelled"}})");
  EXPECT_EQ(exitOfCancel(A), ToolExit::Success);
  EXPECT_EQ(exitOf(A), ToolExit::Failed);
  A.Outcome = "unknown";
  EXPECT_EQ(exitOfCancel(A), ToolExit::Unknown);
}

// Guards against resubmitting after a final answer, and against not
// resubmitting while the home is unreachable.
TEST(ToolAnswerTest, ResubmitsOnlyWithoutFinalAnswer) {
  HttpReply Reply;
  Reply.Status = 504;
  Reply.Body = R"({"outcome":"unknown","error":{"kind":"home_unreachable"}})";
  EXPECT_TRUE(shouldResubmit(Reply));
  EXPECT_TRUE(shouldResubmit(HttpFailure{false, "connection lost"}));
  Reply.Body = R"({"outcome":"unknown","error":{"kind":"task_lost"}})";
  EXPECT_FALSE(shouldResubmit(Reply));
  Reply.Status = 503;
  Reply.Body = R"({"outcome":"not_run","error":{"kind":"queue_full"}})";
  EXPECT_FALSE(shouldResubmit(Reply));
}

// Guards against a client that times out before the job's time limit.
TEST(ToolAnswerTest, WaitsAtLeastForTheJobsPatience) {
  Json::Value Body(Json::objectValue);
  EXPECT_TRUE(submissionTimeout(Body) == std::chrono::seconds(30));
  Body["patience_ms"] = 60000;
  EXPECT_TRUE(submissionTimeout(Body) == std::chrono::seconds(65));
  Body["patience_ms"] = "x";
  EXPECT_TRUE(submissionTimeout(Body) == std::chrono::seconds(30));
}

// Guards against crashes on lists from instances of another version.
TEST(ToolAnswerTest, ReadsListsLeniently) {
  Result<Json::Value> Body = parseJson(R"({"instances":[
    {"address":"10.0.0.1:1","state":"live","free_slots":3,"new":[1]},
    {"address":7},5],"more":1})");
  EXPECT_EQ(formatInstances(valueOf(Body)),
            "address     data_centre  incarnation  state  free_slots  "
            "waiting_tasks  configuration_revision\n"
            "10.0.0.1:1  -            -            live   3           "
            "-              -\n"
            "7           -            -            -      -           "
            "-              -\n"
            "-           -            -            -      -           "
            "-              -\n");
  EXPECT_EQ(readInstanceAddresses(valueOf(Body)).size(), 1U);
  EXPECT_TRUE(readInstanceAddresses(Json::Value(3)).empty());
  EXPECT_EQ(formatUpstreams(Json::Value(3)),
            "address  data_centre  sender  slots  busy  speed  state\n");
}

// Guards against timelines that show other jobs or omit a job's tasks.
TEST(ToolAnswerTest, SelectsOneJobByIdOrTicket) {
  SourcedEvent Task;
  Task.Source = {{OneInstance}, {0xa1}, {"dc1"}};
  Task.Event.Wall = WallTime(std::chrono::milliseconds(1500));
  Task.Event.Kind = TimelineKind::TaskStarted;
  Task.Event.Task = "00000000000000a1-7-0";
  Task.Event.Detail = "10.0.0.9:80";
  SourcedEvent Other = Task;
  Other.Event.Task = "00000000000000a1-77-0";
  std::vector<SourcedEvent> Kept = selectJob({Other, Task, Other}, Ticket);
  EXPECT_EQ(formatTimeline(Kept),
            "1970-01-01T00:00:01.500000Z dc1 127.0.0.1:7070 task_started "
            "task=00000000000000a1-7-0 10.0.0.9:80\n");
  EXPECT_EQ(selectJob({Other, Task}, "00000000000000a1-77").size(), 1U);
}

// Guards against lines of other jobs, and against merged lines that are not in
// the order of their times.
TEST(ToolLogTest, GathersTheLinesOfOneJobInOrder) {
  std::istringstream One(
      "2026-12-04T10:00:00.200 INFO entry: job=ab1 answered\n"
      "2026-12-04T10:00:00.100 INFO entry: job=ab12 x\n");
  std::istringstream Two(
      "2026-12-04T10:00:00.150 INFO sender: job=ab1 refused\n"
      "2026-12-04T10:00:00.150 INFO sender: job=ab1\n"
      "no line of a log\n");
  std::vector<JobLogLine> Lines;
  readJobLines(One, "one", "ab1", Lines);
  readJobLines(Two, "two", "ab1", Lines);
  EXPECT_EQ(formatJobLines(Lines),
            "two: 2026-12-04T10:00:00.150 INFO sender: job=ab1 refused\n"
            "two: 2026-12-04T10:00:00.150 INFO sender: job=ab1\n"
            "one: 2026-12-04T10:00:00.200 INFO entry: job=ab1 answered\n");
}

// Guards against `log` without a job or a file, and against `log` that demands
// an instance.
TEST(ToolArgumentsTest, LogTakesAJobAndFiles) {
  ToolArguments Arguments = parseGood({"log", "--job", "ab1", "one", "two"});
  EXPECT_EQ(Arguments.Job, "ab1");
  EXPECT_EQ(Arguments.LogFiles, (std::vector<std::string>{"one", "two"}));
  EXPECT_NE(problemOf({"log", "one"}), "");
  EXPECT_NE(problemOf({"log", "--job", "ab1"}), "");
  // `log` reads files, so it needs no instance.
  EXPECT_EQ(problemOf({"log", "--job", "ab1", "one"}, ""), "");
}

// Guards against tickets whose characters would change the request path.
TEST(ToolAnswerTest, EncodesPathSegments) {
  EXPECT_EQ(encodePathSegment(Ticket), Ticket);
  EXPECT_EQ(encodePathSegment("a/b?c"), "a%2Fb%3Fc");
}

// Guards against reading a ticket from a failed or empty answer.
TEST(ToolAnswerTest, ReadsTickets) {
  HttpReply Reply;
  Reply.Body = R"({"tickets":["v1.x"]})";
  EXPECT_EQ(readTicket(Reply), "v1.x");
  Reply.Status = 503;
  EXPECT_EQ(readTicket(Reply), "");
  Reply.Status = 200;
  Reply.Body = R"({"tickets":[]})";
  EXPECT_EQ(readTicket(Reply), "");
}

} // namespace
} // namespace snipeshunt
