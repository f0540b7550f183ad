/// \file Tests of reading the settings of a daemon, mostly of the ticket mode.
#include "settings/fleet_settings_func.h"
#include "settings/settings_func.h"
#include "settings/settings_table.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace snipeshunt {
namespace {

using std::chrono::milliseconds;

/// Returns the text of settings with the required keys and \p More.
std::string settingsWith(const std::string &More) {
  return R"({"listen":"127.0.0.1:7070","data_centre":"a",)"
         R"("fleet_key":"0123456789abcdef")" +
         (More.empty() ? "" : "," + More) + "}";
}

/// Returns the error message for settings with \p Text, or "accepted".
std::string messageFor(const std::string &Text) {
  Result<DaemonSettings> Read = parseSettings(Text, "test.json");
  return failed(Read) ? errorOf(Read).Message : "accepted";
}

/// Expects an error message with the file name, \p Key and \p Allowed.
void expectRejected(const std::string &Text, const std::string &Key,
                    const std::string &Allowed) {
  std::string Message = messageFor(Text);
  EXPECT_EQ(Message.rfind("test.json: ", 0), 0U) << Text << "\n" << Message;
  EXPECT_NE(Message.find("'" + Key + "'"), std::string::npos) << Message;
  EXPECT_NE(Message.find(Allowed), std::string::npos) << Message;
}

// Guards against defaults that differ from the documented ones.
TEST(SettingsTest, Defaults) {
  Result<DaemonSettings> Read = parseSettings(settingsWith(""), "test.json");
  ASSERT_FALSE(failed(Read)) << errorOf(Read).Message;
  const DaemonSettings &S = valueOf(Read);
  EXPECT_EQ(S.Advertise.Value, "127.0.0.1:7070");
  EXPECT_FALSE(S.Platform);
  EXPECT_TRUE(S.Peers.empty());
  EXPECT_TRUE(S.Upstreams.empty());
  EXPECT_EQ(S.Level, LogLevel::Info);
  EXPECT_EQ(S.Limits.QueueLimitTasks, 20000);
  EXPECT_EQ(S.Limits.TicketLifetime, milliseconds(600000));
  EXPECT_EQ(S.Limits.MaxTasksPerJob, 200);
  EXPECT_EQ(S.Limits.MaxBodyBytes, 1048576);
  EXPECT_EQ(S.Limits.MaxAnswerBytes, 8388608);
  EXPECT_EQ(S.Limits.RetainedAnswerBytes, 67108864);
  EXPECT_EQ(S.Limits.HeartbeatInterval, milliseconds(500));
  EXPECT_EQ(S.Limits.SuspectAfter, milliseconds(1500));
  EXPECT_EQ(S.Limits.DeadAfter, milliseconds(3000));
  EXPECT_EQ(S.Limits.StatusPollInterval, milliseconds(500));
  EXPECT_EQ(S.Limits.StatusMaxAge, milliseconds(2000));
  EXPECT_EQ(S.Limits.DrainIdleTime, milliseconds(1000));
  EXPECT_EQ(S.Limits.DrainLimit, milliseconds(60000));
  EXPECT_EQ(S.Limits.TimelineEvents, 65536);
}

// Guards against keys that are checked but not stored, and against rejecting
// comments.
TEST(SettingsTest, ReadsEveryKeyAndComments) {
  Result<DaemonSettings> Read = parseSettings(R"(// One instance.
    {"listen": "127.0.0.2:1", /* relay */ "advertise": "127.0.0.3:2",
     "data_centre": "north-1", "fleet_key": "0123456789abcdef",
     "platform": "127.0.0.4:3",
     "peers": [{"address": "127.0.0.5:4", "data_centre": "b"}],
     "upstreams": [{"address": "127.0.0.6:5", "data_centre": "c"},
                   {"address": "127.0.0.6:6", "data_centre": "c",
                    "slots": 3, "accelerators": 2}],
     "limits": {"heartbeat_ms": 50, "timeline_events": 100},
     "log": {"level": "debug"}})",
                                              "test.json");
  ASSERT_FALSE(failed(Read)) << errorOf(Read).Message;
  const DaemonSettings &S = valueOf(Read);
  EXPECT_EQ(S.Listen.Value, "127.0.0.2:1");
  EXPECT_EQ(S.Advertise.Value, "127.0.0.3:2");
  EXPECT_EQ(S.Centre.Value, "north-1");
  EXPECT_EQ(S.FleetKey, "0123456789abcdef");
  ASSERT_TRUE(S.Platform);
  EXPECT_EQ(S.Platform->Value, "127.0.0.4:3");
  ASSERT_EQ(S.Peers.size(), 1U);
  EXPECT_EQ(S.Peers[0].Centre.Value, "b");
  ASSERT_EQ(S.Upstreams.size(), 2U);
  EXPECT_EQ(S.Upstreams[0].Slots, 8);
  EXPECT_EQ(S.Upstreams[0].Accelerators, 0);
  EXPECT_EQ(S.Upstreams[1].Slots, 3);
  EXPECT_EQ(S.Upstreams[1].Accelerators, 2);
  EXPECT_EQ(S.Limits.HeartbeatInterval, milliseconds(50));
  EXPECT_EQ(S.Limits.TimelineEvents, 100);
  EXPECT_EQ(S.Level, LogLevel::Debug);
}

// Guards against a limit whose range is not enforced at both ends.
TEST(SettingsTest, RejectsLimitsOutOfRange) {
  for (const LimitRow &Row : LimitTable)
    for (int64_t Value : {Row.Min - 1, Row.Max + 1})
      expectRejected(settingsWith("\"limits\":{\"" + std::string(Row.Name) +
                                  "\":" + std::to_string(Value) + "}"),
                     std::string("limits.") + Row.Name,
                     std::to_string(Row.Min) + " to " +
                         std::to_string(Row.Max));
}

// Guards against wrong values that let a daemon start in an unintended state.
TEST(SettingsTest, RejectsWrongValues) {
  struct Row {
    const char *More;
    const char *Key;
    const char *Allowed;
  };
  const Row Rows[] = {
      {R"("unknown":1)", "unknown", "known fields: advertise"},
      {R"("advertise":"host:1")", "advertise", "IPv4 number and port"},
      {R"("advertise":"127.0.0.1:0")", "advertise", "1 to 65535"},
      {R"("advertise":"0.0.0.0:1")", "advertise", "not 0.0.0.0"},
      {R"("platform":5)", "platform", "a string"},
      {R"("platform":"")", "platform", "IPv4 number and port"},
      {R"("peers":{})", "peers", "an array"},
      {R"("peers":[{"data_centre":"b"}])", "peers[0].address", "add it"},
      {R"("peers":[{"address":"127.0.0.1:1","data_centre":""}])",
       "peers[0].data_centre", "letters"},
      {R"("upstreams":[{"address":"127.0.0.1:1","data_centre":"b","slots":0}])",
       "upstreams[0].slots", "1 to 1024"},
      {R"("upstreams":[{"address":"127.0.0.1:1","data_centre":"b","x":0}])",
       "upstreams[0].x", "known fields"},
      {R"("upstreams":[{"address":"127.0.0.1:1","data_centre":"b"},)"
       R"({"address":"127.0.0.1:1","data_centre":"b"}])",
       "upstreams[1].address", "each address once"},
      {R"("limits":[])", "limits", "an object"},
      {R"("limits":{"x":1})", "limits.x", "known fields"},
      {R"("limits":{"dead_ms":"3000"})", "limits.dead_ms", "a whole number"},
      {R"("log":{"level":"loud"})", "log.level", "error, warning"},
      {R"("log":{"file":"x"})", "log.file", "known fields: level"},
  };
  for (const Row &R : Rows)
    expectRejected(settingsWith(R.More), R.Key, R.Allowed);
}

// Guards against times that contradict each other: a peer may be suspected only
// after a missed heartbeat, and a status must stay valid until the next query.
TEST(SettingsTest, RejectsInconsistentTimes) {
  expectRejected(settingsWith(R"("limits":{"heartbeat_ms":1500})"),
                 "limits.heartbeat_ms", "less than limits.suspect_ms");
  expectRejected(settingsWith(R"("limits":{"suspect_ms":3000})"),
                 "limits.suspect_ms", "less than limits.dead_ms");
  expectRejected(settingsWith(R"("limits":{"status_poll_ms":2000})"),
                 "limits.status_poll_ms", "less than limits.status_fresh_ms");
}

// Guards against a start without the keys that have no default.
TEST(SettingsTest, RejectsMissingAndShortKeys) {
  expectRejected("{}", "listen", "add it");
  expectRejected(R"({"listen":"127.0.0.1:1"})", "data_centre", "add it");
  expectRejected(R"({"listen":"127.0.0.1:1","data_centre":"a"})", "fleet_key",
                 "add it");
  std::string Short = R"({"listen":"127.0.0.1:1","data_centre":"a",)"
                      R"("fleet_key":"secret-15-bytes"})";
  expectRejected(Short, "fleet_key", "16 to 128 bytes");
  EXPECT_EQ(messageFor(Short).find("secret"), std::string::npos);
}

// Guards against a message without the name of the file.
TEST(SettingsTest, ErrorsStartWithFileName) {
  EXPECT_EQ(messageFor("{").rfind("test.json: not valid JSON", 0), 0U);
  EXPECT_EQ(messageFor("[]").rfind("test.json: ", 0), 0U);
  for (const char *Name : {"does-not-exist.json", SOURCE_DIR}) {
    Result<DaemonSettings> Read = loadSettings(Name);
    ASSERT_TRUE(failed(Read));
    std::string Start = std::string(Name) + ": the settings file can't be read";
    EXPECT_EQ(errorOf(Read).Message.rfind(Start, 0), 0U);
  }
}

// Guards against truncating a file that is longer than one read.
TEST(SettingsTest, LoadsLongFiles) {
  std::string Name = testing::TempDir() + "snipeshunt-settings-test.json";
  std::ofstream(Name) << settingsWith("") << std::string(10000, ' ') << "// x";
  Result<DaemonSettings> Read = loadSettings(Name);
  EXPECT_FALSE(failed(Read));
  std::ofstream(Name, std::ios::app) << "\nx";
  EXPECT_TRUE(failed(loadSettings(Name)));
  std::remove(Name.c_str());
}

// Guards against evacuations that are read without the setting, or with a bound
// that lets a sender wait for no time or for hours.
TEST(FleetSettingsTest, EvacuationBoundIsOptionalAndChecked) {
  auto Read = [](const std::string &Bounds) {
    return parseFleetSettings(
        R"({"name":"i","data_centre":"a","front":"127.0.0.1:1",)"
        R"("ready":"127.0.0.1:2","peers":"127.0.0.1:3",)"
        R"("store":"127.0.0.1:4","bounds":{)" +
            Bounds + "}}",
        "test.json");
  };
  Result<FleetSettings> Without = Read("");
  ASSERT_FALSE(failed(Without));
  EXPECT_FALSE(valueOf(Without).Bounds.Evacuate);
  Result<FleetSettings> With = Read(R"("evacuate_ms":5000)");
  ASSERT_FALSE(failed(With));
  EXPECT_EQ(valueOf(With).Bounds.Evacuate, milliseconds(5000));
  for (const char *Wrong : {"99", "600001", "\"5000\"", "null"})
    EXPECT_TRUE(failed(Read(std::string(R"("evacuate_ms":)") + Wrong)))
        << Wrong;
}

// Guards against limits of a fleet instance that are not checked or not stored.
TEST(FleetSettingsTest, ReadsLimitsWithinTheirRange) {
  auto Parse = [](const std::string &Limits) {
    return parseFleetSettings(
        R"({"name":"a","data_centre":"b","front":"127.0.0.1:1",)"
        R"("ready":"127.0.0.1:2","peers":"127.0.0.1:3","store":"127.0.0.1:4",)"
        R"("limits":)" +
            Limits + "}",
        "test.json");
  };
  Result<FleetSettings> Read =
      Parse(R"({"max_connections":16,"max_peer_connections":17,)"
            R"("max_buffered_bytes":1048576,"max_job_bytes":2097152,)"
            R"("memory_mb":512})");
  ASSERT_FALSE(failed(Read)) << errorOf(Read).Message;
  EXPECT_EQ(valueOf(Read).Limits.MaxConnections, 16U);
  EXPECT_EQ(valueOf(Read).Limits.MaxPeerConnections, 17U);
  EXPECT_EQ(valueOf(Read).Limits.MaxBufferedBytes, 1048576U);
  EXPECT_EQ(valueOf(Read).Limits.MaxJobBytes, 2097152U);
  for (const char *Wrong :
       {R"({"max_connections":15})", R"({"max_peer_connections":1000001})",
        R"({"max_buffered_bytes":1048575})", R"({"max_job_bytes":1048575})",
        R"({"memory_mb":0})", R"({"unknown":1})", "[]"})
    EXPECT_TRUE(failed(Parse(Wrong))) << Wrong;
  // The platform may state a fraction, which must not keep the process from
  // starting, and less memory than the smallest machine has.
  FleetLimits Defaults;
  for (auto [Memory, Factor] :
       {std::pair{"240", 2.0}, {"180.0", 1.5}, {"60", 1.0}}) {
    Read = Parse(R"({"memory_mb":)" + std::string(Memory) + "}");
    ASSERT_FALSE(failed(Read)) << errorOf(Read).Message;
    const FleetLimits &Limits = valueOf(Read).Limits;
    EXPECT_DOUBLE_EQ(static_cast<double>(Limits.MaxBufferedBytes),
                     static_cast<double>(Defaults.MaxBufferedBytes) * Factor);
    EXPECT_DOUBLE_EQ(static_cast<double>(Limits.MaxJobBytes),
                     static_cast<double>(Defaults.MaxJobBytes) * Factor);
  }
}

} // namespace
} // namespace snipeshunt
