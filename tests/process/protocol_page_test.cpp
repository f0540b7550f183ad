/// \file Runs the examples of docs/protocol.md.
#include "core/json_func.h"
#include "fleet/fleet.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace snipeshunt {
namespace {

/// A request of the page with the documented reply.
struct Example {
  std::string Target; ///< instance, upstream or platform.
  std::string Method;
  std::string Path;
  std::string Body;
  int Status = 0;
  std::string Reply;
};

std::vector<Example> readExamples(std::istream &Page) {
  std::vector<Example> Examples;
  std::string Line;
  while (std::getline(Page, Line)) {
    if (Line.rfind("```request ", 0) == 0) {
      Example E;
      E.Target = Line.substr(11);
      std::getline(Page, Line);
      std::istringstream(Line) >> E.Method >> E.Path;
      while (std::getline(Page, Line) && Line != "```")
        E.Body += Line;
      Examples.push_back(E);
    } else if (Line == "```reply") {
      Example &E = Examples.back();
      std::getline(Page, Line);
      E.Status = std::stoi(Line);
      while (std::getline(Page, Line) && Line != "```")
        E.Reply += Line;
    }
  }
  return Examples;
}

bool matches(const Json::Value &Pattern, const Json::Value &Actual) {
  if (Pattern.isString() && Pattern.asString() == "{any}")
    return true;
  if (Pattern.type() != Actual.type() && !Pattern.isNumeric())
    return false;
  if (Pattern.isObject()) {
    if (Pattern.getMemberNames() != Actual.getMemberNames())
      return false;
    for (const std::string &Name : Pattern.getMemberNames())
      if (!matches(Pattern[Name], Actual[Name]))
        return false;
    return true;
  }
  if (Pattern.isArray()) {
    if (Pattern.size() != Actual.size())
      return false;
    for (Json::ArrayIndex I = 0; I < Pattern.size(); ++I)
      if (!matches(Pattern[I], Actual[I]))
        return false;
    return true;
  }
  return Pattern == Actual;
}

std::string withTicket(std::string Text, const std::string &Ticket) {
  constexpr std::string_view Mark = "{ticket}";
  for (size_t At; (At = Text.find(Mark)) != std::string::npos;)
    Text.replace(At, Mark.size(), Ticket);
  return Text;
}

Address targetOf(const Fleet &F, const std::string &Name) {
  if (Name == "upstream")
    return F.upstream(0);
  return Name == "platform" ? F.platform() : F.instance(0);
}

// Guards against documented requests and replies that differ from what the
// processes do.
TEST(ProtocolPageTest, EveryExampleRuns) {
  std::ifstream Page(std::string(SOURCE_DIR) + "/docs/protocol.md");
  std::vector<Example> Examples = readExamples(Page);
  ASSERT_GT(Examples.size(), 20U);
  FleetOptions Options;
  Options.BinaryDir = BINARY_DIR;
  Options.InstancesPerCentre = 1;
  Options.UpstreamsPerCentre = 1;
  Fleet F(Options);
  Result<Ok> Started = F.start();
  ASSERT_FALSE(failed(Started)) << errorOf(Started).Message;
  std::string Ticket;
  for (const Example &E : Examples) {
    HttpCall Call;
    Call.Target = targetOf(F, E.Target);
    Call.Method = E.Method;
    Call.Path = withTicket(E.Path, Ticket);
    Call.Body = E.Body;
    Call.Timeout = std::chrono::seconds(60);
    HttpOutcome Outcome = callOnce(Call);
    auto *Reply = std::get_if<HttpReply>(&Outcome);
    ASSERT_NE(Reply, nullptr) << E.Method << " " << E.Path;
    EXPECT_EQ(Reply->Status, E.Status) << E.Path << " " << Reply->Body;
    Json::Value Actual = valueOf(parseJson(Reply->Body));
    Result<Json::Value> Pattern = parseJson(withTicket(E.Reply, Ticket));
    ASSERT_FALSE(failed(Pattern)) << E.Reply;
    EXPECT_TRUE(matches(valueOf(Pattern), Actual))
        << E.Method << " " << E.Path << "\n"
        << E.Reply << "\n"
        << Reply->Body;
    if (Actual.isMember("tickets"))
      Ticket = Actual["tickets"][0].asString();
  }
}

} // namespace
} // namespace snipeshunt
