/// \file Tests of the platform's formats: limits, and malformed messages.
#include "platform/platform_codec.h"

#include "core/json_func.h"

#include <gtest/gtest.h>

#include <random>

namespace snipeshunt::platform {
namespace {

// A message of each kind that the codec reads.
const char *const Messages[] = {
    R"({"spec":"x","best_effort":true,"steps":[{"count":4,"cpu":500,"mem_mb":25,"estimate_ms":900}]})",
    R"({"version":3,"routes":[{"name":"q","host":"h","prefix":"/p/","service":"s","priority":1,"max_attempts":3,"stretch":1.6,"slo_ms":60}],"services":[]})",
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","labels":["a","r1"],"capacity":{"cpu":64000,"mem_mb":1,"gpu":0},"born":1700000000000})",
    R"({"clock_ms":482113,"born":7,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})",
    R"({"zone":"z","weight":0.5})",
    R"({"clock_ms":482113,"reason":"fence"})",
};

// Values that replace parts of a message.
const char *const Values[] = {
    "null", "[]",         "{}",  "\"\"",
    "-1",   "1e300",      "[1]", "18446744073709551615",
    "true", "\"\\u0000\""};

/// Gives \p Text to all decoders.
void decodeAll(const std::string &Text) {
  HttpReply Reply;
  Reply.Body = Text;
  for (int Status : {200, 409, 421, 503}) {
    Reply.Status = Status;
    decodeOrderStatus(HttpOutcome(Reply));
    decodeClock(HttpOutcome(Reply));
  }
  decodeConfiguration(Text);
  decodeUpstream("servers/i-1", Text);
  decodeInstance("snipeshunt/instances/10.0.0.1:80", Text);
  decodeSubmission("5c0e7a21d94b36f8", Text);
  decodeUpstreamReport(Text);
  Result<Json::Value> Parsed = parseJson(Text);
  if (!failed(Parsed))
    itemValue(valueOf(Parsed));
}

/// Changes \p Text in one place: a value, a byte, or the end.
std::string mutated(std::string Text, std::mt19937 &Random) {
  size_t At = Random() % Text.size();
  switch (Random() % 4) {
  case 0:
    return Text.substr(0, At);
  case 1:
    Text[At] = static_cast<char>(Random() % 256);
    return Text;
  default: {
    size_t Begin = Text.find(':', At);
    if (Begin == std::string::npos)
      return Text + Values[Random() % std::size(Values)];
    size_t End = Text.find_first_of(",}", Begin);
    return Text.substr(0, Begin + 1) + Values[Random() % std::size(Values)] +
           Text.substr(std::min(End, Text.size()));
  }
  }
}

} // namespace

// Guards against a malformed message that ends the process: jsoncpp throws an
// exception where a value has another type than the caller assumes.
TEST(PlatformCodecTest, MalformedMessagesAreErrorsNotExceptions) {
  std::mt19937 Random(20261204);
  for (int Case = 0; Case < 20000; ++Case) {
    std::string Text = Messages[Random() % std::size(Messages)];
    for (uint32_t I = 0, Count = 1 + Random() % 3; I < Count && !Text.empty();
         ++I)
      Text = mutated(Text, Random);
    ASSERT_NO_THROW(decodeAll(Text)) << Text;
  }
}

// Guards against a job that exhausts the memory by the number of its tasks, and
// against durations that overflow.
TEST(PlatformCodecTest, HugeNumbersAreBounded) {
  for (const char *Count : {"4000000000", "1e300", "9223372036854775807"}) {
    Result<JobSubmission> Job = decodeSubmission(
        "5c0e7a21d94b36f8",
        std::string(R"({"best_effort":true,"steps":[{)") + R"("cpu":)" + Count +
            R"(,"estimate_ms":1e300,"count":)" + Count + "}]}");
    ASSERT_FALSE(failed(Job)) << Count;
    EXPECT_EQ(valueOf(Job).UnsupportedFeature, "more than 10000 tasks");
    EXPECT_LE(valueOf(Job).Step.Count, 10000U);
    EXPECT_GT(valueOf(Job).Step.Estimate, Duration::zero());
    EXPECT_LE(valueOf(Job).Step.PerTask.CpuMillis, MaxResourceAmount);
  }
  Result<FleetConfiguration> Configuration = decodeConfiguration(
      R"({"version":1,"routes":[{"stretch":1e308,"max_attempts":1e300}]})");
  ASSERT_FALSE(failed(Configuration));
  const Route &R = valueOf(Configuration).Routes.at(0);
  EXPECT_LE(R.Stretch, 1e6);
  EXPECT_GE(R.MaxAttempts, 1U);
}

// Guards against limits of the operators that are ignored, and against values
// with which no client could be served.
TEST(PlatformCodecTest, ReadsTheLimitsOfClients) {
  auto Decode = [](const std::string &Limits) {
    return *valueOf(decodeConfiguration(
                        R"({"version":1,"routes":[],"limits":)" + Limits + "}"))
                .Limits;
  };
  ClientLimits Read = Decode(R"({"max_header_bytes":2048,)"
                             R"("max_body_bytes":4096,"header_timeout_ms":500,)"
                             R"("idle_timeout_ms":7000})");
  EXPECT_EQ(Read.MaxHeaderBytes, 2048U);
  EXPECT_EQ(Read.MaxBodyBytes, 4096U);
  EXPECT_EQ(Read.HeaderTimeout.count(), 500);
  EXPECT_EQ(Read.IdleTimeout.count(), 7000);
  EXPECT_TRUE(Decode("{}") == ClientLimits());
  EXPECT_TRUE(Decode(R"({"max_body_bytes":-1,"idle_timeout_ms":"a"})") ==
              ClientLimits());
  Read = Decode(R"({"max_body_bytes":1e300,"idle_timeout_ms":1})");
  EXPECT_EQ(Read.MaxBodyBytes, 64U << 20);
  EXPECT_EQ(Read.IdleTimeout.count(), 100);
}

// Guards against a cut, which only times out, that is taken for the end of an
// upstream's process.
TEST(PlatformCodecTest, OnlyARefusedConnectionIsReportedAsRefused) {
  HttpFailure Failure;
  EXPECT_EQ(decodeOrderStatus(Failure), OrderStatus::Unknown);
  Failure.NothingSent = true;
  EXPECT_EQ(decodeOrderStatus(Failure), OrderStatus::NothingSent);
  Failure.ConnectionRefused = true;
  EXPECT_EQ(decodeOrderStatus(Failure), OrderStatus::Refused);
}

} // namespace snipeshunt::platform
