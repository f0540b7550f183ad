/// \file The command-line tool as a process, against a scripted instance.
#include "http/event_loop.h"
#include "http/http_server.h"

#include <gtest/gtest.h>

#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>

#include <sys/wait.h>

namespace snipeshunt {
namespace {

const std::string Ticket =
    "v1.dc1.127.0.0.1_7070.00000000000000a1.7.1700000000000.0123abcd";
const std::string Complete =
    R"({"outcome":"complete","results":[{"index":0,"output":"echo:x"}]})";
const std::string HomeUnreachable =
    R"({"outcome":"unknown","error":{"kind":"home_unreachable"}})";
// Nothing listens on port 1, so connections to it are refused.
const std::string Closed = "127.0.0.1:1";

/// An HTTP server in a thread of its own that answers each request by `Answer`.
class ScriptedInstance {
public:
  using Rule = std::function<HttpReply(const HttpRequest &)>;

  explicit ScriptedInstance(const Rule &Answer) : Server(Loop, {}) {
    Server.RequestReceived.connect([this, Answer](const HttpRequest &Request) {
      {
        std::lock_guard<std::mutex> Lock(Mutex);
        Requests.push_back(Request.Method + " " + Request.Path);
      }
      Server.reply(Request.Id, Answer(Request));
    });
    Result<Address> Bound = Server.listen({"127.0.0.1:0"});
    EXPECT_FALSE(failed(Bound));
    Name = failed(Bound) ? Closed : valueOf(Bound).Value;
    Thread = std::thread([this] {
      while (!Stopping)
        Loop.runFor(std::chrono::milliseconds(10));
    });
  }
  ScriptedInstance(const ScriptedInstance &) = delete;
  ScriptedInstance &operator=(const ScriptedInstance &) = delete;
  ~ScriptedInstance() {
    Stopping = true;
    Thread.join();
  }

  const std::string &name() const { return Name; }
  std::vector<std::string> requests() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Requests;
  }

private:
  EventLoop Loop;
  HttpServer Server;
  std::string Name;
  std::mutex Mutex;
  std::vector<std::string> Requests;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

/// Result of one execution of the command-line tool.
struct ToolRun {
  int Status = -1;    ///< Exit status; -1 if a signal ended it.
  std::string Output; ///< Standard output only.
};

/// Runs the tool for at most 30 s with an empty job on standard input.
ToolRun runTool(const std::string &Arguments) {
  std::string Line = "echo '{\"tasks\":[]}' | timeout 30 " BINARY_DIR
                     "/snipeshunt " +
                     Arguments;
  ToolRun Out;
  FILE *Pipe = popen(Line.c_str(), "r");
  if (!Pipe)
    return Out;
  char Buffer[4096];
  while (size_t Size = fread(Buffer, 1, sizeof(Buffer), Pipe))
    Out.Output.append(Buffer, Size);
  int Code = pclose(Pipe);
  Out.Status = WIFEXITED(Code) ? WEXITSTATUS(Code) : -1;
  return Out;
}

HttpReply reply(int Status, const std::string &Body) {
  HttpReply Out;
  Out.Status = Status;
  Out.Body = Body;
  return Out;
}

/// Issues the ticket and answers submissions by \p Answers in turn; the last
/// one is repeated.
ScriptedInstance::Rule submissionRule(std::vector<HttpReply> Answers) {
  return [Answers, Next = size_t(0)](const HttpRequest &R) mutable {
    if (R.Method == "POST")
      return reply(200, "{\"tickets\":[\"" + Ticket + "\"]}");
    return Answers[std::min(Next++, Answers.size() - 1)];
  };
}

// Guards against abandoning a job whose home is briefly unreachable, and
// against resubmitting it with another ticket, which would run it twice.
TEST(ToolProcessTest, SubmitRepeatsTheSameTicket) {
  ScriptedInstance Instance(
      submissionRule({reply(504, HomeUnreachable), reply(200, Complete)}));
  ToolRun Run = runTool("submit --instance " + Instance.name());
  EXPECT_EQ(Run.Status, 0);
  EXPECT_EQ(Run.Output, "0\techo:x\n");
  std::string Put = "PUT /v1/jobs/" + Ticket;
  EXPECT_EQ(Instance.requests(),
            (std::vector<std::string>{"POST /v1/tickets", Put, Put}));
}

// Guards against more submissions than `--attempts` allows and against a wrong
// exit status.
TEST(ToolProcessTest, SubmitEndsUnknownAfterAttempts) {
  ScriptedInstance Instance(submissionRule({reply(504, HomeUnreachable)}));
  ToolRun Run = runTool("submit --attempts 2 --instance " + Instance.name());
  EXPECT_EQ(Run.Status, 4);
  EXPECT_EQ(Instance.requests().size(), 3U);
}

// Guards against resubmitting a job that was rejected.
TEST(ToolProcessTest, SubmitDoesNotRepeatRejections) {
  ScriptedInstance Instance(
      submissionRule({reply(503, R"({"outcome":"not_run"})")}));
  EXPECT_EQ(runTool("submit --instance " + Instance.name()).Status, 1);
  EXPECT_EQ(Instance.requests().size(), 2U);
}

// Guards against a command that fails because one of several instances is
// unreachable, and against a wrong exit status if all are.
TEST(ToolProcessTest, SkipsUnreachableInstances) {
  ScriptedInstance Instance(
      [](const HttpRequest &) { return reply(200, "{\"instances\":[]}"); });
  EXPECT_EQ(
      runTool("instances --instance " + Closed + "," + Instance.name()).Status,
      0);
  EXPECT_EQ(runTool("instances --instance " + Closed).Status, 3);
  EXPECT_EQ(runTool("submit --instance " + Closed).Status, 3);
  EXPECT_EQ(runTool("timeline --instance " + Closed).Status, 3);
}

// Guards against a timeline without the instances that only other instances
// list.
TEST(ToolProcessTest, TimelineAsksListedInstances) {
  auto Events = [](int Wall, const std::string &Kind) {
    return reply(
        200, "{\"dropped\":0,\"events\":[{\"wall_us\":" + std::to_string(Wall) +
                 ",\"steady_us\":1,\"instance\":\"i\",\"incarnation\":"
                 "\"a1\",\"data_centre\":\"d\",\"kind\":\"" +
                 Kind + "\"}]}");
  };
  ScriptedInstance Other(
      [&](const HttpRequest &) { return Events(1, "instance_started"); });
  ScriptedInstance Named([&](const HttpRequest &R) {
    if (R.Path == "/v1/instances")
      return reply(200,
                   "{\"instances\":[{\"address\":\"" + Other.name() + "\"}]}");
    return Events(2, "drain_started");
  });
  ToolRun Run = runTool("timeline --instance " + Named.name());
  EXPECT_EQ(Run.Status, 0);
  EXPECT_EQ(Run.Output, "1970-01-01T00:00:00.000001Z d i instance_started\n"
                        "1970-01-01T00:00:00.000002Z d i drain_started\n");
}

} // namespace
} // namespace snipeshunt
