/// \file Reading, checking, querying and changing configuration documents.
#include "configuration/configuration_cmd.h"
#include "configuration/configuration_func.h"
#include "configuration/configuration_table.h"
#include "core/json_func.h"

#include <gtest/gtest.h>

#include <cmath>

namespace snipeshunt {
namespace {

using std::chrono::milliseconds;

const ConfigurationChange First{
    {"00000000000000aa"}, "ana", "2025-01-31T12:00:00Z"};
const ConfigurationChange Second{
    {"00000000000000bb"}, "ben", "2025-01-31T13:00:00.5+01:00"};

PolicyException quotaException() {
  return {{"e1"},    ExceptionScope::Team,
          "rawahel", ExceptionSetting::TeamQuotaTasks,
          250,       "Swap season, agreed with the team",
          "ana",     "2025-01-31T12:00:00Z"};
}

Configuration sample() {
  Configuration C;
  C.Change = First;
  C.Defaults.LongShare = 0.6;
  C.Defaults.MaxPatience = milliseconds(700000);
  C.Exceptions = {quotaException()};
  return C;
}

std::string messageFor(const std::string &Text) {
  Result<Configuration> Read = parseConfiguration(Text);
  return failed(Read) ? errorOf(Read).Message + "; " + errorOf(Read).Remedy
                      : "accepted";
}

/// The sample document with \p Value in place of the field at \p Path.
std::string sampleWith(const Json::Path &Path, const Json::Value &Value) {
  Result<Json::Value> Root = parseJson(writeConfiguration(sample()));
  Path.make(valueOf(Root)) = Value;
  return writeJson(valueOf(Root));
}

std::string sampleWithout(const std::string &Object, const std::string &Key) {
  Result<Json::Value> Root = parseJson(writeConfiguration(sample()));
  Json::Path(Object).make(valueOf(Root)).removeMember(Key);
  return writeJson(valueOf(Root));
}

// Guards against a setting that is written but not read, or the reverse.
TEST(ConfigurationTest, RoundTrip) {
  Configuration C = sample();
  C.Defaults.TeamWeight = 1.0 / 3;
  double Value = 11;
  for (const DefaultRow &Row : DefaultTable)
    if (isWhole(Row))
      storeDefault(C.Defaults, Row, Value++);
  for (const SettingRow &Row : SettingTable) {
    PolicyException E = quotaException();
    E.Id.Value = Row.Name;
    E.Scope = Row.Scope;
    E.Setting = Row.Setting;
    E.Name = "127.0.0.1:80";
    E.Value = Row.Max;
    C.Exceptions.push_back(E);
  }
  std::string Text = writeConfiguration(C);
  Result<Configuration> Read = parseConfiguration(Text);
  ASSERT_FALSE(failed(Read)) << messageFor(Text);
  EXPECT_EQ(writeConfiguration(valueOf(Read)), Text);
  for (const DefaultRow &Row : DefaultTable)
    EXPECT_EQ(defaultValue(valueOf(Read).Defaults, Row),
              defaultValue(C.Defaults, Row))
        << Row.Name;
  EXPECT_TRUE(diffConfigurations(C, valueOf(Read)).empty());
  EXPECT_EQ(valueOf(Read).Change.Id, First.Id);
}

// Guards against accidental changes of the document's format.
TEST(ConfigurationTest, WritesDocument) {
  EXPECT_EQ(
      writeConfiguration(sample()),
      R"({"change":{"author":"ana","id":"00000000000000aa",)"
      R"("time":"2025-01-31T12:00:00Z"},"defaults":{)"
      R"("default_patience_ms":30000,"default_task_timeout_ms":60000,)"
      R"("default_team_quota_tasks":4000,"failures_before_probing":3,)"
      R"("long_share":0.6,"long_threshold_ms":1000,"max_patience_ms":700000,)"
      R"("probe_pause_max_ms":30000,"probe_pause_ms":1000,"retry_burst":10,)"
      R"("retry_share":0.1,"team_weight":1.0},"exceptions":[{)"
      R"("author":"ana","id":"e1","name":"rawahel",)"
      R"("reason":"Swap season, agreed with the team","scope":"team",)"
      R"("setting":"team_quota_tasks","time":"2025-01-31T12:00:00Z",)"
      R"("value":250}]})");
}

// Guards against defaults that differ from the documented ones.
TEST(ConfigurationTest, DefaultsOfAnEmptyDocument) {
  Result<Configuration> Read =
      parseConfiguration(R"({"change":{"id":"00000000000000aa","author":"a",)"
                         R"("time":"2025-01-31T12:00:00Z"}})");
  ASSERT_FALSE(failed(Read));
  const PolicyDefaults &D = valueOf(Read).Defaults;
  EXPECT_EQ(D.LongThreshold, milliseconds(1000));
  EXPECT_EQ(D.LongShare, 0.7);
  EXPECT_EQ(D.DefaultPatience, milliseconds(30000));
  EXPECT_EQ(D.MaxPatience, milliseconds(600000));
  EXPECT_EQ(D.DefaultTeamQuotaTasks, 4000);
  EXPECT_EQ(D.TeamWeight, 1.0);
  EXPECT_EQ(D.RetryShare, 0.1);
  EXPECT_EQ(D.RetryBurst, 10);
  EXPECT_EQ(D.FailuresBeforeProbing, 3);
  EXPECT_EQ(D.ProbePause, milliseconds(1000));
  EXPECT_EQ(D.ProbePauseMax, milliseconds(30000));
  EXPECT_EQ(D.DefaultTaskTimeout, milliseconds(60000));
}

// Guards against documents with invalid fields that come into force, and
// against errors that do not name the field and its accepted values.
TEST(ConfigurationTest, RejectsWrongFields) {
  struct Row {
    const char *Path;
    Json::Value Value;
    const char *Field;
    const char *Allowed;
  };
  const Row Rows[] = {
      {".extra", 1, "extra", "known fields: change"},
      {".change.id", "00000000000000AA", "change.id", "16 hexadecimal digits"},
      {".change.id", "aa", "change.id", "16 hexadecimal digits"},
      {".change.author", "  ", "change.author", "1 to 128 characters"},
      {".change.time", "yesterday", "change.time", "RFC 3339"},
      {".change.extra", 1, "change.extra", "known fields"},
      {".defaults.extra", 1, "defaults.extra", "known fields"},
      {".defaults.long_share", "0.7", "defaults.long_share", "a number"},
      {".defaults.retry_burst", 1.5, "defaults.retry_burst", "a whole number"},
      {".defaults.default_patience_ms", 700001, "defaults.default_patience_ms",
       "max_patience_ms"},
      {".defaults.probe_pause_ms", 30001, "defaults.probe_pause_ms",
       "probe_pause_max_ms"},
      {".exceptions[0].extra", 1, "exceptions[0].extra", "known fields"},
      {".exceptions[0].id", "", "exceptions[0].id", "1 to 128 characters"},
      {".exceptions[0].scope", "rack", "exceptions[0].scope",
       "one of team, task_kind"},
      {".exceptions[0].scope", "task_kind", "exceptions[0].setting",
       "expected_ms or task_timeout_ms"},
      {".exceptions[0].scope", "upstream", "exceptions[0].name",
       "IPv4 number and port"},
      {".exceptions[0].name", "", "exceptions[0].name", "1 to 128 characters"},
      {".exceptions[0].setting", "speed", "exceptions[0].setting",
       "one of team_quota_tasks"},
      {".exceptions[0].setting", "slots", "exceptions[0].setting",
       "team_quota_tasks or team_weight"},
      {".exceptions[0].value", "250", "exceptions[0].value", "a number"},
      {".exceptions[0].value", -1, "exceptions[0].value", "from 0 to 10000000"},
      {".exceptions[0].value", 0.5, "exceptions[0].value", "a whole number"},
      {".exceptions[0].reason", "too short", "exceptions[0].reason",
       "10 to 500 characters"},
      {".exceptions[0].reason", std::string(20, ' '), "exceptions[0].reason",
       "10 to 500"},
      {".exceptions[0].reason", "a" + std::string(20, ' '),
       "exceptions[0].reason", "10 to 500"},
      {".exceptions[0].reason", std::string(501, 'x'), "exceptions[0].reason",
       "10 to 500"},
      {".exceptions[0].reason", "first line\nsecond line",
       "exceptions[0].reason", "one line"},
      {".exceptions[0].author", "", "exceptions[0].author",
       "1 to 128 characters"},
      {".exceptions[0].time", "2025-01-31", "exceptions[0].time", "RFC 3339"},
  };
  for (const Row &R : Rows) {
    std::string Message = messageFor(sampleWith(Json::Path(R.Path), R.Value));
    EXPECT_NE(Message.find(R.Allowed), std::string::npos)
        << R.Path << ": " << Message;
    EXPECT_NE(Message.find("'" + std::string(R.Field) + "'"), std::string::npos)
        << R.Path << ": " << Message;
  }
}

// Guards against a document that lacks a field without a default value.
TEST(ConfigurationTest, RejectsMissingFields) {
  EXPECT_NE(
      messageFor(sampleWithout(".", "change")).find("'change' is missing"),
      std::string::npos);
  for (const char *Key : {"id", "author", "time"})
    EXPECT_NE(messageFor(sampleWithout(".change", Key)).find("is missing"),
              std::string::npos)
        << Key;
  for (const char *Key :
       {"id", "scope", "name", "setting", "reason", "author", "time"})
    EXPECT_NE(
        messageFor(sampleWithout(".exceptions[0]", Key)).find("is missing"),
        std::string::npos)
        << Key;
  EXPECT_NE(
      messageFor(sampleWithout(".exceptions[0]", "value")).find("a number"),
      std::string::npos);
}

// Guards against a range that is not enforced at both ends.
TEST(ConfigurationTest, RejectsValuesOutOfRange) {
  for (const DefaultRow &Row : DefaultTable)
    for (double Value : {Row.Min - 1, Row.Max + 1}) {
      Json::Path Path(std::string(".defaults.") + Row.Name);
      EXPECT_NE(messageFor(sampleWith(Path, Value)).find(Row.Name),
                std::string::npos)
          << Row.Name << " " << Value;
    }
  for (const SettingRow &Row : SettingTable)
    for (double Value : {Row.Min - 1, Row.Max + 1, std::nan("")}) {
      PolicyException E = quotaException();
      E.Scope = Row.Scope;
      E.Setting = Row.Setting;
      E.Name = "127.0.0.1:80";
      E.Value = Value;
      Configuration C = sample();
      C.Exceptions = {E};
      EXPECT_TRUE(checkConfiguration(C)) << Row.Name << " " << Value;
      C.Exceptions[0].Value = Row.Min;
      EXPECT_FALSE(checkConfiguration(C)) << Row.Name;
    }
}

// Guards against ambiguous or unbounded lists of exceptions.
TEST(ConfigurationTest, RejectsDuplicatesAndTooManyExceptions) {
  Configuration C = sample();
  C.Exceptions.push_back(quotaException());
  C.Exceptions[1].Name = "other";
  EXPECT_NE(messageFor(writeConfiguration(C)).find("'e1' is taken"),
            std::string::npos);
  C.Exceptions[1] = quotaException();
  C.Exceptions[1].Id.Value = "e2";
  EXPECT_NE(messageFor(writeConfiguration(C)).find("'rawahel' once"),
            std::string::npos);
  C.Exceptions.clear();
  for (size_t I = 0; I <= MaxExceptions; ++I) {
    PolicyException E = quotaException();
    E.Id.Value = E.Name = std::to_string(I);
    C.Exceptions.push_back(E);
  }
  EXPECT_NE(messageFor(writeConfiguration(C)).find("at most 200"),
            std::string::npos);
  EXPECT_TRUE(checkConfiguration(C));
  C.Exceptions.pop_back();
  EXPECT_EQ(messageFor(writeConfiguration(C)), "accepted");
}

// Guards against accepting text that exceeds the size limit of the platform's
// service or that is not a JSON object.
TEST(ConfigurationTest, RejectsTextThatIsNoDocument) {
  EXPECT_NE(messageFor(std::string(MaxDocumentBytes + 1, ' ')).find("bytes"),
            std::string::npos);
  EXPECT_NE(messageFor("{").find("not valid JSON"), std::string::npos);
  EXPECT_NE(messageFor("[]").find("not a JSON object"), std::string::npos);
  EXPECT_NE(messageFor("{} // x").find("not valid JSON"), std::string::npos);
}

// Guards against counting the bytes of a non-ASCII reason as characters.
TEST(ConfigurationTest, CountsCharactersOfReasons) {
  Configuration C = sample();
  std::string Text;
  for (int I = 0; I < 500; ++I)
    Text += "\xC3\xA4";
  C.Exceptions[0].Reason = Text;
  EXPECT_FALSE(checkConfiguration(C));
  C.Exceptions[0].Reason = Text.substr(0, 18);
  EXPECT_TRUE(checkConfiguration(C));
}

// Guards against times that other programs can't read.
TEST(ConfigurationTest, TimeText) {
  for (const char *Text :
       {"2024-02-29T00:00:00Z", "2000-02-29T23:59:60z",
        "2025-12-31t12:30:00.123456+14:00", "2025-04-30T12:30:00-00:30"})
    EXPECT_TRUE(isRfc3339Time(Text)) << Text;
  for (const char *Text :
       {"", "2025-02-29T00:00:00Z", "1900-02-29T00:00:00Z",
        "2025-04-31T00:00:00Z", "2025-13-01T00:00:00Z", "2025-00-01T00:00:00Z",
        "2025-01-00T00:00:00Z", "2025-01-01T24:00:00Z", "2025-01-01T00:60:00Z",
        "2025-01-01T00:00:61Z", "2025-01-01T00:00:00", "2025-01-01T00:00:00.Z",
        "2025-01-01T00:00:00.5", "2025-01-01T00:00:00+24:00",
        "2025-01-01T00:00:00+0100", "2025-01-01 00:00:00Z",
        "2025/01/01T00:00:00Z", "2025-01-01T00:00:00ZZ",
        "+025-01-01T00:00:00Z"})
    EXPECT_FALSE(isRfc3339Time(Text)) << Text;
}

// Guards against an exception that applies to another object or not at all.
TEST(ConfigurationTest, LookupsApplyExceptions) {
  Configuration C = sample();
  auto Add = [&](ExceptionScope Scope, const char *Name,
                 ExceptionSetting Setting, double Value) {
    PolicyException E = quotaException();
    E.Id.Value = std::to_string(C.Exceptions.size());
    E.Scope = Scope;
    E.Name = Name;
    E.Setting = Setting;
    E.Value = Value;
    C.Exceptions.push_back(E);
  };
  using Setting = ExceptionSetting;
  Add(ExceptionScope::Team, "rawahel", Setting::TeamWeight, 2.5);
  Add(ExceptionScope::TaskKind, "lookup", Setting::ExpectedMs, 120);
  Add(ExceptionScope::TaskKind, "lookup", Setting::TaskTimeoutMs, 5000);
  Add(ExceptionScope::Upstream, "127.0.0.1:80", Setting::Leaving, 1);
  Add(ExceptionScope::Upstream, "127.0.0.2:80", Setting::Leaving, 0);
  Add(ExceptionScope::Upstream, "127.0.0.2:80", Setting::Slots, 4);
  Add(ExceptionScope::DataCentre, "north", Setting::AcceptForeignWork, 0);
  ASSERT_FALSE(checkConfiguration(C));
  EXPECT_EQ(teamQuota(C, Team{"rawahel"}), 250);
  EXPECT_EQ(teamQuota(C, Team{"other"}), 4000);
  EXPECT_EQ(teamWeight(C, Team{"rawahel"}), 2.5);
  EXPECT_EQ(teamWeight(C, Team{"other"}), 1.0);
  EXPECT_EQ(expectedTime(C, TaskKind{"lookup"}), milliseconds(120));
  EXPECT_EQ(expectedTime(C, TaskKind{"rawahel"}), std::nullopt);
  EXPECT_EQ(taskTimeout(C, TaskKind{"lookup"}), milliseconds(5000));
  EXPECT_EQ(taskTimeout(C, TaskKind{"other"}), milliseconds(60000));
  EXPECT_TRUE(upstreamLeaving(C, Address{"127.0.0.1:80"}));
  EXPECT_FALSE(upstreamLeaving(C, Address{"127.0.0.2:80"}));
  EXPECT_FALSE(upstreamLeaving(C, Address{"127.0.0.3:80"}));
  EXPECT_EQ(upstreamSlots(C, Address{"127.0.0.2:80"}), 4);
  EXPECT_EQ(upstreamSlots(C, Address{"127.0.0.1:80"}), std::nullopt);
  EXPECT_FALSE(acceptsForeignWork(C, DataCentre{"north"}));
  EXPECT_TRUE(acceptsForeignWork(C, DataCentre{"south"}));
}

// Guards against a rejected command that changes the document.
TEST(ConfigurationTest, RejectedCommandsChangeNothing) {
  Configuration C = sample();
  const std::string Before = writeConfiguration(C);
  PolicyException NoReason = quotaException();
  NoReason.Id.Value = "e2";
  NoReason.Name = "other";
  NoReason.Reason = "";
  EXPECT_TRUE(failed(testAddException(C, NoReason, Second)));
  EXPECT_TRUE(failed(addException(C, NoReason, Second)));
  EXPECT_TRUE(failed(addException(C, quotaException(), Second)));
  EXPECT_TRUE(failed(removeException(C, ExceptionId{"e9"}, Second)));
  EXPECT_TRUE(failed(removeException(C, ExceptionId{"e1"}, First)));
  EXPECT_TRUE(failed(setDefault(C, "speed", 1, Second)));
  EXPECT_TRUE(failed(setDefault(C, "long_share", 2, Second)));
  EXPECT_TRUE(failed(setDefault(C, "retry_burst", 1.5, Second)));
  EXPECT_TRUE(failed(setDefault(C, "retry_burst", 1, {{"x"}, "a", "b"})));
  EXPECT_EQ(writeConfiguration(C), Before);
}

// Guards against a `testX` that changes the document or an `X` that does not.
TEST(ConfigurationTest, CommandsChangeAndDiffShowsIt) {
  Configuration C = sample();
  const std::string Before = writeConfiguration(C);
  PolicyException Added = quotaException();
  Added.Id.Value = "e2";
  Added.Name = "otjomuise";
  Added.Setting = ExceptionSetting::TeamWeight;
  Added.Value = 0.5;
  EXPECT_FALSE(failed(testAddException(C, Added, Second)));
  EXPECT_FALSE(failed(testRemoveException(C, ExceptionId{"e1"}, Second)));
  EXPECT_FALSE(failed(testSetDefault(C, "long_share", 0.8, Second)));
  EXPECT_EQ(writeConfiguration(C), Before);
  ASSERT_FALSE(failed(addException(C, Added, Second)));
  EXPECT_EQ(C.Change.Id, Second.Id);
  ASSERT_FALSE(failed(removeException(C, ExceptionId{"e1"}, First)));
  ASSERT_FALSE(failed(setDefault(C, "long_share", 0.8, Second)));
  const std::vector<std::string> Expected = {
      "defaults.long_share: 0.6 -> 0.8",
      "- exception e1: team rawahel, team_quota_tasks = 250 (Swap season, "
      "agreed with the team; ana, 2025-01-31T12:00:00Z)",
      "+ exception e2: team otjomuise, team_weight = 0.5 (Swap season, "
      "agreed with the team; ana, 2025-01-31T12:00:00Z)"};
  EXPECT_EQ(diffConfigurations(sample(), C), Expected);
}

} // namespace
} // namespace snipeshunt
