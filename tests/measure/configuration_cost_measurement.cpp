/// \file Processor time of configurations that an instance reads, by number of
/// routes and versions. Run by hand:
/// snipeshunt-measure --gtest_filter='ConfigurationCost.*'.
#include "platform/platform_codec.h"
#include "platform/store_decoder.h"

#include "core/base64_func.h"
#include "core/json_func.h"
#include "directory/directory_cmd.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <functional>
#include <optional>

namespace snipeshunt::platform {
namespace {

constexpr size_t RouteCounts[] = {100, 350, 1400};
constexpr size_t VersionCounts[] = {1, 4, 12};

/// Returns version \p Version of a configuration, in which one route differs
/// from the version before, or all.
std::string document(uint64_t Version, size_t Routes, bool AllDiffer) {
  std::string Out =
      R"({"version":)" + std::to_string(Version) + R"(,"routes":[)";
  for (size_t I = 0; I < Routes; ++I) {
    bool Differs = AllDiffer || I == Version % Routes;
    std::string Number = std::to_string(I + 1000000);
    if (I > 0)
      Out += ',';
    Out += R"({"name":"r-)";
    Out += Number;
    Out += R"(","host":"nony24.example","prefix":"/lohu)";
    Out += Number;
    Out += R"(/","kind":"unsafe","timeout_ms":)";
    Out += std::to_string(1500 + (Differs ? Version : 0));
    Out += R"(,"slo_ms":60,"priority":0,"service":"huvo11a",)"
           R"("max_attempts":3,"stretch":1.6})";
  }
  return Out + R"(],"services":[],"limits":{"max_header_bytes":16384}})";
}

/// Returns an answer to a watch with the versions from \p First on.
std::string answer(uint64_t First, size_t Versions, size_t Routes,
                   bool AllDiffer) {
  std::string Out = R"({"at":9,"events":[)";
  for (size_t I = 0; I < Versions; ++I)
    Out += std::string(I > 0 ? "," : "") + R"({"key":"op/config","value":")" +
           encodeBase64(document(First + I, Routes, AllDiffer)) +
           R"(","revision":7,"created":1,"lease":0})";
  return Out + "]}";
}

/// Decodes each version of an answer anew, as instances did before
/// `ConfigurationDecoder`. Returns the last version.
uint64_t decodeEachVersion(const std::string &Body) {
  Json::Value Answer = valueOf(parseJsonWithList(Body, "events"));
  uint64_t Last = 0;
  for (const Json::Value &Event : Answer["events"])
    Last = valueOf(decodeConfiguration(valueOf(itemValue(Event)))).Version;
  return Last;
}

/// Returns the least processor time of \p Step, in milliseconds, of 9 runs.
double processorMs(const std::function<void(size_t)> &Step) {
  double Least = 1e9;
  for (size_t Run = 0; Run < 9; ++Run) {
    std::clock_t Begin = std::clock();
    Step(Run);
    Least = std::min(Least, static_cast<double>(std::clock() - Begin) * 1000 /
                                CLOCKS_PER_SEC);
  }
  return Least;
}

/// Prints the time of answers to watches that follow each other.
void measureAnswers(bool AllDiffer) {
  double Unit = 0;
  for (size_t Routes : RouteCounts)
    for (size_t Versions : VersionCounts) {
      std::vector<std::string> Answers;
      for (size_t I = 0; I < 10; ++I)
        Answers.push_back(
            answer(1 + I * Versions, Versions, Routes, AllDiffer));
      double Each =
          processorMs([&](size_t Run) { decodeEachVersion(Answers[Run]); });
      StoreDecoder Decoder;
      WatchAnswered First;
      ASSERT_TRUE(Decoder.addChanges(Answers[9], First));
      double Last = processorMs([&](size_t Run) {
        WatchAnswered Out;
        ASSERT_TRUE(Decoder.addChanges(Answers[Run], Out));
      });
      if (Unit == 0)
        Unit = Each;
      std::printf("%s differ, routes=%zu versions=%zu bytes=%zu each_ms=%.3f "
                  "last_ms=%.3f each=%.1f last=%.2f each/last=%.1f\n",
                  AllDiffer ? "all" : "one", Routes, Versions,
                  Answers[0].size(), Each, Last, Each / Unit, Last / Unit,
                  Each / Last);
    }
}

} // namespace

// Ratios are to an answer with one version of 100 routes that is decoded whole.
TEST(ConfigurationCost, OneRouteDiffers) { measureAnswers(false); }
TEST(ConfigurationCost, AllRoutesDiffer) { measureAnswers(true); }

// Where the time of one version goes.
TEST(ConfigurationCost, Steps) {
  for (size_t Routes : RouteCounts) {
    std::string Body = answer(1, 1, Routes, false);
    Json::Value Answer = valueOf(parseJson(Body));
    const Json::Value &Event = Answer["events"][0];
    std::string Text = valueOf(itemValue(Event));
    FleetConfiguration Read = valueOf(decodeConfiguration(Text));
    double Outer = processorMs([&](size_t) { valueOf(parseJson(Body)); });
    double Base64 = processorMs([&](size_t) { valueOf(itemValue(Event)); });
    double Inner = processorMs([&](size_t) { valueOf(parseJson(Text)); });
    double Decode =
        processorMs([&](size_t) { valueOf(decodeConfiguration(Text)); });
    std::optional<FleetConfiguration> Copied;
    double Copy = processorMs([&](size_t) { Copied.emplace(Read); });
    std::string_view Rest;
    double Find = processorMs([&](size_t) {
      for (size_t I = 0; I < 100; ++I)
        (void)findRoute(Read, "nony24.example", "/absent/", Rest);
    });
    std::printf("routes=%zu parse_answer_ms=%.3f base64_ms=%.3f "
                "parse_configuration_ms=%.3f routes_ms=%.3f copy_ms=%.3f "
                "find_100_ms=%.3f\n",
                Routes, Outer, Base64, Inner, Decode - Inner, Copy, Find);
  }
}

} // namespace snipeshunt::platform
