/// \file The whole path of a job, from caller to upstream, on processes.
#include "core/json_func.h"
#include "fleet/fleet.h"
#include "fleet/recorded_caller.h"

#include <gtest/gtest.h>

namespace snipeshunt {
namespace {

HttpReply submit(const Address &Endpoint, const std::string &Ticket,
                 const std::string &Body) {
  HttpCall Call;
  Call.Target = Endpoint;
  Call.Method = "PUT";
  Call.Path = "/v1/jobs/" + Ticket;
  Call.Body = Body;
  Call.Timeout = std::chrono::seconds(60);
  HttpOutcome Outcome = callOnce(std::move(Call));
  if (auto *Reply = std::get_if<HttpReply>(&Outcome))
    return *Reply;
  return {0, std::get<HttpFailure>(Outcome).Message};
}

// Guards against a fault anywhere on the path from caller to upstream and back:
// every instance accepts jobs of every home and returns the same answer.
TEST(ThinPathTest, AnyInstanceAnswersAnyJob) {
  FleetOptions Options;
  Options.BinaryDir = BINARY_DIR;
  Options.Centres = 2;
  Options.InstancesPerCentre = 2;
  Fleet F(Options);
  Result<Ok> Started = F.start();
  ASSERT_FALSE(failed(Started)) << errorOf(Started).Message;
  std::string Body = R"({"team":"t","tasks":[)"
                     R"({"kind":"a","payload":"x run_ms=30"},)"
                     R"({"kind":"b","payload":"y run_ms=10"}]})";
  for (size_t Home = 0; Home < F.instances(); ++Home) {
    std::string Ticket = RecordedCaller::takeTicket(F.instance(Home));
    ASSERT_NE(Ticket, "");
    std::string First;
    for (size_t Via = 0; Via < F.instances(); ++Via) {
      HttpReply Reply = submit(F.instance(Via), Ticket, Body);
      EXPECT_EQ(Reply.Status, 200) << Reply.Body;
      First = First.empty() ? Reply.Body : First;
      EXPECT_EQ(Reply.Body, First);
    }
    Json::Value Answer = valueOf(parseJson(First));
    EXPECT_EQ(Answer["results"][0]["output"].asString(), "echo:x run_ms=30");
    EXPECT_EQ(Answer["results"][1]["output"].asString(), "echo:y run_ms=10");
  }
}

} // namespace
} // namespace snipeshunt
