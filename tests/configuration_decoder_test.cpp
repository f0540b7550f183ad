/// \file Tests of decoding configurations that follow each other quickly.
#include "platform/configuration_decoder.h"
#include "platform/store_decoder.h"

#include "core/base64_func.h"
#include "platform/platform_codec.h"

#include <gtest/gtest.h>

#include <random>

namespace snipeshunt::platform {
namespace {

std::string route(size_t Index, int64_t SlackMs = 60) {
  std::string Number = std::to_string(Index);
  return R"({"name":"r-)" + Number + R"(","host":"h)" + Number +
         R"(.example","prefix":"/p)" + Number +
         R"(/","kind":"unsafe","timeout_ms":1500,"slo_ms":)" +
         std::to_string(SlackMs) +
         R"(,"priority":1,"service":"s","max_attempts":3,"stretch":1.6})";
}

std::string document(uint64_t Version, const std::vector<std::string> &Routes) {
  std::string Out =
      R"({"version":)" + std::to_string(Version) + R"(,"routes":[)";
  for (size_t I = 0; I < Routes.size(); ++I)
    Out += (I > 0 ? "," : "") + Routes[I];
  return Out + R"(],"services":[],"limits":{"max_header_bytes":16384}})";
}

std::string event(uint64_t Revision, const std::string &Value) {
  return R"({"key":"op/config","value":")" + encodeBase64(Value) +
         R"(","revision":)" + std::to_string(Revision) + "}";
}

std::string watchAnswer(const std::vector<std::string> &Events) {
  std::string Out = R"({"at":99,"events":[)";
  for (size_t I = 0; I < Events.size(); ++I)
    Out += (I > 0 ? "," : "") + Events[I];
  return Out + "]}";
}

std::vector<std::string> routes(size_t Count) {
  std::vector<std::string> Out;
  for (size_t I = 0; I < Count; ++I)
    Out.push_back(route(I));
  return Out;
}

/// All decoded fields as text, or the error.
std::string describe(const Result<FleetConfiguration> &Read) {
  if (failed(Read))
    return "error: " + errorOf(Read).Message;
  std::string Out = std::to_string(valueOf(Read).Version);
  for (const Route &R : valueOf(Read).Routes)
    Out += "\n" + R.Name + " " + R.Host + " " + R.Prefix + " " +
           R.Service.Value + " " + std::to_string(R.Priority) + " " +
           std::to_string(R.MaxAttempts) + " " + std::to_string(R.Stretch) +
           " " + std::to_string(R.Slack.count());
  return Out;
}

} // namespace

// Guards against an instance that falls behind while versions follow each other
// quickly: it decoded each version of an answer, though only the last counts.
TEST(ConfigurationDecoder, OnlyTheLastVersionOfAWatchIsDecoded) {
  StoreDecoder Decoder;
  std::vector<std::string> Events;
  for (uint64_t Version = 1; Version <= 12; ++Version)
    Events.push_back(event(Version, document(Version, routes(3))));
  WatchAnswered Answer;
  ASSERT_TRUE(Decoder.addChanges(watchAnswer(Events), Answer));
  EXPECT_TRUE(Answer.Changed);
  ASSERT_TRUE(Answer.Configuration);
  EXPECT_EQ(Answer.Configuration->Version, 12U);
  EXPECT_EQ(Decoder.configurations().decodedVersions(), 1U);
}

// Guards against a version that stays unused because a later one in the same
// answer can't be read.
TEST(ConfigurationDecoder, LatestUsableVersionOfAWatchIsTaken) {
  std::string Good = event(3, document(3, routes(2)));
  std::string Deleted = R"({"key":"op/config","revision":9,"deleted":true})";
  for (const std::string &Odd :
       {event(4, "{"), event(4, R"({"version":4})"),
        event(4, document(4, {"7"})), event(4, document(4, {"{]"})),
        std::string("null"), std::string("1e400"), Deleted,
        std::string(R"({"key":"op/config","value":"!","revision":4})")}) {
    StoreDecoder Decoder;
    WatchAnswered Answer;
    std::string Older = event(2, document(2, routes(1)));
    ASSERT_TRUE(
        Decoder.addChanges(watchAnswer({Older, Good, Odd, Odd}), Answer))
        << Odd;
    ASSERT_TRUE(Answer.Configuration) << Odd;
    EXPECT_EQ(Answer.Configuration->Version, 3U) << Odd;
    WatchAnswered OddOnly;
    ASSERT_TRUE(Decoder.addChanges(watchAnswer({Odd, Odd}), OddOnly)) << Odd;
    EXPECT_TRUE(OddOnly.Changed) << Odd;
    EXPECT_FALSE(OddOnly.Configuration) << Odd;
  }
}

// Guards against events that are passed over because the list is not found in
// the text of the answer: the configuration has to be read then.
TEST(ConfigurationDecoder, EventsThatAreNotSplitLeadToARead) {
  std::string Event = event(2, document(2, routes(1)));
  StoreDecoder Decoder;
  WatchAnswered Escaped;
  ASSERT_TRUE(
      Decoder.addChanges(R"({"at":9,"\u0065vents":[)" + Event + "]}", Escaped));
  EXPECT_TRUE(Escaped.Changed);
  EXPECT_EQ(Escaped.Revision.Value, 9U);
  for (const char *Body : {R"({"at":9})", R"({"at":9,"events":null})",
                           R"({"at":9,"events":[]})"}) {
    WatchAnswered None;
    ASSERT_TRUE(Decoder.addChanges(Body, None)) << Body;
    EXPECT_FALSE(None.Changed) << Body;
  }
}

// Guards against a time per version that grows with all routes instead of those
// that have changed: parsing 1,400 routes delays an instance that has a small
// share of a core by a tenth of a second.
TEST(ConfigurationDecoder, UnchangedRoutesAreNotParsedAgain) {
  ConfigurationDecoder Decoder;
  std::vector<std::string> Routes = routes(1400);
  ASSERT_FALSE(failed(Decoder.decode(document(1, Routes))));
  EXPECT_EQ(Decoder.parsedRoutes(), 1400U);
  Routes[700] = route(700, 90);
  Routes.erase(Routes.begin() + 20);
  Routes.insert(Routes.begin() + 5, route(5000));
  Routes.push_back(route(5001));
  Result<FleetConfiguration> Read = Decoder.decode(document(2, Routes));
  ASSERT_FALSE(failed(Read));
  EXPECT_EQ(valueOf(Read).Routes.size(), 1401U);
  EXPECT_EQ(Decoder.parsedRoutes(), 1403U);
}

// Guards against kept routes that change what a version means: each version of
// random sequences, some of them malformed, is decoded as if it were the first.
TEST(ConfigurationDecoder, KeptRoutesGiveTheSameAsAWholeDecode) {
  std::mt19937 Random(20261205);
  const char *const Parts[] = {
      "null", "1e400", "{}", "[]",   "7", "\"\"",  "\"",      "{", "]",
      "\xff", "\\",    ",",  "[[]]", " ", "\"a\"", "\\u0022", "}", ":"};
  size_t Failed = 0;
  for (int Sequence = 0; Sequence < 300; ++Sequence) {
    ConfigurationDecoder Decoder;
    std::vector<std::string> Routes = routes(Random() % 5);
    for (uint64_t Version = 1; Version <= 12; ++Version) {
      if (!Routes.empty() && Random() % 2 == 0)
        Routes.erase(Routes.begin() + Random() % Routes.size());
      if (Random() % 2 == 0)
        Routes.push_back(route(Random() % 8, 50 + Random() % 3));
      std::string Text = document(Version, Routes);
      if (Random() % 3 == 0)
        Text.insert(Random() % Text.size(), Parts[Random() % std::size(Parts)]);
      if (Random() % 6 == 0)
        Text.erase(Random() % Text.size(), 1 + Random() % 4);
      Result<FleetConfiguration> Whole = decodeConfiguration(Text);
      Result<FleetConfiguration> Kept = Decoder.decode(Text);
      ASSERT_EQ(failed(Kept), failed(Whole)) << Text;
      Failed += failed(Whole) ? 1 : 0;
      if (failed(Whole))
        continue;
      ASSERT_EQ(describe(Kept), describe(Whole)) << Text;
    }
  }
  EXPECT_GT(Failed, 300U);
}

} // namespace snipeshunt::platform
