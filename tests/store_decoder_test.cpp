/// \file Tests of lists in the store with odd entries of other writers.
#include "platform/store_decoder.h"

#include "core/base64_func.h"
#include "core/json_func.h"
#include "platform/platform_codec.h"
#include "rpc/cell_codec.h"
#include "rpc/job_codec.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace snipeshunt::platform {
namespace {

std::string nested(size_t Levels) {
  return std::string(Levels, '[') + std::string(Levels, ']');
}

/// Returns the text of an upstream's record with \p Text in place of the value
/// of \p Field.
std::string record(const std::string &Field = "",
                   const std::string &Text = "") {
  std::string Out = "{\"";
  const std::pair<const char *, const char *> Fields[] = {
      {"service", R"("s")"},
      {"address", R"("10.0.0.1:80")"},
      {"zone", R"("z")"},
      {"state", R"("ready")"},
      {"capacity", R"({"cpu":64000,"mem_mb":1,"gpu":0})"},
      {"labels", R"(["a","r1"])"},
      {"sequence", "7"},
      {"born", "1700000000000"}};
  for (const auto &[Name, Value] : Fields)
    Out += std::string(Name) + "\":" + (Name == Field ? Text : Value) + ",\"";
  return Out + "slots\":8}";
}

std::string item(const std::string &Key, const std::string &Value,
                 uint64_t Revision = 5) {
  Json::Value V(Json::objectValue);
  V["key"] = Key;
  V["value"] = encodeBase64(Value);
  V["revision"] = Json::UInt64(Revision);
  V["created"] = 1;
  V["lease"] = 0;
  return writeJson(V);
}

std::string upstreamItem(const std::string &Id) {
  return item("servers/" + Id, record());
}

/// Returns the text of an answer with \p Items, which are texts, under \p List.
std::string answer(const std::vector<std::string> &Items, bool More = false,
                   const char *List = "items") {
  std::string Out = std::string(R"({"at":9,")") + List + "\":[";
  for (size_t I = 0; I < Items.size(); ++I)
    Out += (I > 0 ? "," : "") + Items[I];
  return Out + "],\"has_more\":" + (More ? "true" : "false") + "}";
}

/// One read of a collection, page by page.
struct StoreRead {
  explicit StoreRead(StoreCollection Collection) {
    Answer.Collection = Collection;
    Answer.Sequence = 1;
  }

  bool add(const std::string &Body) {
    return Decoder.addPage(Body, After, Answer);
  }

  /// Ids of the upstreams that were read.
  std::vector<std::string> ids() const {
    std::vector<std::string> Ids;
    for (const UpstreamRecord &U : Answer.Upstreams)
      Ids.push_back(U.Id.Value);
    return Ids;
  }

  StoreDecoder Decoder;
  CollectionReadAnswered Answer;
  std::string After;
};

using Ids = std::vector<std::string>;

// Records of other writers, none of which describes an upstream.
std::vector<std::string> oddRecords() {
  return {"",
          "not an entry",
          "\xff\xfe\x80",
          std::string("{\0}", 3),
          "\xef\xbb\xbf{}",
          "null",
          "7",
          "[]",
          "{}",
          nested(100),
          nested(20000),
          std::string(20000, '{'),
          record("labels", nested(20000)),
          record("state", "\"asleep\""),
          record("state", "7"),
          record("service", "null"),
          record("zone", "[]"),
          record("capacity", "5"),
          record("capacity", R"({"cpu":"many"})"),
          record("capacity", R"({"cpu":1e400})"),
          record("sequence", "1e400"),
          record("state", "\"ready\",\"state\":\"ready\""),
          record("address", "7"),
          record("address", "\"\""),
          record("address", "\"10.0.0.1\""),
          record("address", "\"10.0.0.1:\""),
          record("address", "\"10.0.0.1:0\""),
          record("address", "\"10.0.0.1:99999\""),
          record("address", "\"10.0.0.1:-1\""),
          record("address", "\"10.0.0.1:80 \""),
          record("address", "\"10.0.0.1:0080\""),
          record("address", "\"10.0.0.1\\u0000:80\""),
          record("address", "\"10.0.0.256:80\""),
          record("address", "\"0.0.0.0:80\""),
          record("address", "\"224.0.0.1:80\""),
          record("address", "\"255.255.255.255:80\""),
          record("address", "\"runner.example:80\""),
          record("address", "\"[::1]:80\""),
          record("address", "\":80\"")};
}

// Items that are malformed as items, with the key `servers/odd` or none.
const char *const OddItems[] = {
    "null",
    "7",
    "\"servers/odd\"",
    "[]",
    "{}",
    R"({"key":7,"value":"e30=","revision":1})",
    R"({"key":"servers/odd"})",
    R"({"key":"servers/odd","value":7,"revision":1})",
    R"({"key":"servers/odd","value":{},"revision":1})",
    R"({"key":"servers/odd","value":"!","revision":1})",
    R"({"key":"servers/odd","value":"e30=","revision":{}})",
    R"({"key":"servers/odd","value":"e30=","revision":-1})",
    R"({"key":"servers/odd","value":"e30=","revision":99999999999999999999})",
    R"({"key":"servers/odd","value":"e30=","revision":1e400})",
    R"({"key":"servers/odd","key":"servers/odd","value":"e30="})",
    R"({"key":"servers/\ud800","value":"e30=","revision":1})",
    R"({"key":"servers/\udc80","value":"e30=","revision":1})",
    "{\"key\":\"servers/\xff\",\"value\":\"e30=\",\"revision\":1}",
};

std::vector<std::string> oddItems() {
  std::vector<std::string> Items(std::begin(OddItems), std::end(OddItems));
  for (size_t Levels : {70, 20000})
    Items.push_back(R"({"key":"servers/odd","value":"e30=","more":)" +
                    nested(Levels) + "}");
  return Items;
}

} // namespace

// Guards against a list of upstreams that is not followed any more because of
// one record of another writer, and against orders to what it describes.
TEST(StoreDecoder, OddRecordLeavesTheOthersReadable) {
  for (const std::string &Odd : oddRecords()) {
    StoreRead Read(StoreCollection::Upstreams);
    EXPECT_TRUE(Read.add(answer(
        {upstreamItem("a"), item("servers/odd", Odd), upstreamItem("b")})));
    EXPECT_EQ(Read.ids(), (Ids{"a", "b"})) << Odd.substr(0, 300);
    EXPECT_EQ(Read.Answer.UnreadableRecords, 1U) << Odd.substr(0, 300);
  }
}

// Guards against an answer of the store that is rejected as a whole, at each
// read again, because of one item that the parser rejects.
TEST(StoreDecoder, OddItemLeavesTheOthersReadable) {
  for (const std::string &Odd : oddItems()) {
    StoreRead Read(StoreCollection::Upstreams);
    EXPECT_TRUE(Read.add(answer({upstreamItem("a"), Odd, upstreamItem("b")})))
        << Odd.substr(0, 100);
    EXPECT_EQ(Read.ids(), (Ids{"a", "b"})) << Odd.substr(0, 100);
    EXPECT_EQ(Read.Answer.UnreadableRecords, 1U) << Odd.substr(0, 100);
  }
}

// Guards against instances that disappear from the list of all others because
// of one odd item beside them.
TEST(StoreDecoder, OddItemLeavesTheOtherInstancesReadable) {
  std::string Good =
      item("snipeshunt/instances/10.0.0.1:70", R"({"zone":"z","weight":1})");
  for (const std::string &Odd : oddItems()) {
    StoreRead Read(StoreCollection::Instances);
    EXPECT_TRUE(Read.add(answer({Odd, Good})));
    ASSERT_EQ(Read.Answer.Instances.size(), 1U) << Odd.substr(0, 100);
    EXPECT_EQ(Read.Answer.Instances[0].Endpoint.Value, "10.0.0.1:70");
  }
}

// Guards against a configuration that is never replaced again because of one
// odd item beside it, in a read or in the answer to a watch.
TEST(StoreDecoder, OddItemLeavesTheConfigurationReadable) {
  std::string Good = item("op/config", R"({"version":3,"routes":[]})");
  for (const std::string &Odd : oddItems()) {
    StoreRead Read(StoreCollection::Configuration);
    EXPECT_TRUE(Read.add(answer({Good, Odd})));
    ASSERT_TRUE(Read.Answer.Configuration) << Odd.substr(0, 100);
    WatchAnswered Watch;
    EXPECT_TRUE(
        Read.Decoder.addChanges(answer({Odd, Good}, false, "events"), Watch));
    ASSERT_TRUE(Watch.Configuration) << Odd.substr(0, 100);
    EXPECT_EQ(Watch.Configuration->Version, 3U);
  }
}

// Guards against a configuration that another key with its prefix replaces: a
// copy of an earlier one hides each later one, and a copy with a high version
// remains in force.
TEST(StoreDecoder, OnlyTheKeyOfTheConfigurationIsRead) {
  std::string Current = item("op/config", R"({"version":3,"routes":[]})");
  for (const char *Version : {"2", "900"}) {
    std::string Copy =
        item("op/config-copy",
             std::string(R"({"routes":[],"version":)") + Version + "}");
    StoreRead Read(StoreCollection::Configuration);
    EXPECT_TRUE(Read.add(answer({Current, Copy})));
    ASSERT_TRUE(Read.Answer.Configuration);
    EXPECT_EQ(Read.Answer.Configuration->Version, 3U);
    WatchAnswered Watch;
    EXPECT_TRUE(Read.Decoder.addChanges(
        answer({Current, Copy}, false, "events"), Watch));
    ASSERT_TRUE(Watch.Configuration);
    EXPECT_EQ(Watch.Configuration->Version, 3U);
    WatchAnswered CopyOnly;
    EXPECT_TRUE(
        Read.Decoder.addChanges(answer({Copy}, false, "events"), CopyOnly));
    EXPECT_FALSE(CopyOnly.Changed);
    EXPECT_FALSE(CopyOnly.Configuration);
  }
}

// Guards against a list that ends with the page whose last item is odd: the
// upstreams of the later pages would count as gone.
TEST(StoreDecoder, ReadContinuesAfterAPageThatEndsWithAnOddItem) {
  for (const std::string &Odd : oddItems()) {
    StoreRead Read(StoreCollection::Upstreams);
    EXPECT_TRUE(Read.add(answer({upstreamItem("a"), Odd}, /*More=*/true)));
    EXPECT_FALSE(Read.After.empty()) << Odd.substr(0, 100);
    EXPECT_TRUE(Read.add(answer({upstreamItem("z")})));
    EXPECT_TRUE(Read.After.empty());
    EXPECT_EQ(Read.ids(), (Ids{"a", "z"}));
  }
}

// Guards against a list that counts as complete although later pages can't be
// requested, and against a read that requests the same page without end.
TEST(StoreDecoder, ReadThatCannotContinueHasFailed) {
  StoreRead WithoutKeys(StoreCollection::Upstreams);
  EXPECT_FALSE(WithoutKeys.add(answer({"null", "{}"}, /*More=*/true)));
  StoreRead Empty(StoreCollection::Upstreams);
  EXPECT_FALSE(Empty.add(answer({}, /*More=*/true)));
  StoreRead Repeated(StoreCollection::Upstreams);
  EXPECT_TRUE(Repeated.add(answer({upstreamItem("a")}, /*More=*/true)));
  EXPECT_FALSE(Repeated.add(answer({upstreamItem("a")}, /*More=*/true)));
}

// Guards against an answer that is malformed as a whole and counts as an empty
// list.
TEST(StoreDecoder, MalformedAnswersAreRejected) {
  for (const char *Body :
       {"", "{", "null", "[]", "{}", R"({"at":9})", R"({"at":9,"items":7})",
        R"({"at":-1,"items":[]})", R"({"items":[]})", R"({"at":9,"items":[)",
        R"({"at":9,"items":[{"key":"servers/a"])", R"({"at":9,"items":[}])",
        R"({"at":9,"items":[1e400)", R"({"at":9,"items":[1e400]]})",
        R"({"at":9,"items":[1e400],"items":[]})", R"({"at":1e400,"items":[]})",
        R"({"at":9,"items":["\ud800"]}x)"}) {
    StoreRead Read(StoreCollection::Upstreams);
    EXPECT_FALSE(Read.add(Body)) << Body;
  }
}

// Guards against a record that is taken from the last read after it became
// unreadable, or that remains unreadable after it was corrected.
TEST(StoreDecoder, RecordsAreFollowedWhenTheyBecomeOddAndProper) {
  StoreRead Read(StoreCollection::Upstreams);
  const Ids None;
  const Ids One = {"a"};
  uint64_t Revision = 1;
  for (bool Odd : {false, true, true, false, true, false, false}) {
    ++Revision;
    Read.Answer.Upstreams.clear();
    Read.Answer.Sequence = Revision;
    EXPECT_TRUE(Read.add(
        answer({item("servers/a", Odd ? "[[[" : record(), Revision)})));
    Read.Decoder.forgetUnlisted(Revision);
    EXPECT_EQ(Read.ids(), Odd ? None : One) << Revision;
  }
}

// Guards against any other odd entry that hides a proper one: bytes of some
// items are changed at random, in a way that leaves the list an array.
TEST(StoreDecoder, ProperItemsAreReadAmongMutatedOnes) {
  std::mt19937 Random(20261205);
  const char *const Parts[] = {"null", "1e400", "-",         "{}",  "[[]]",
                               "7",    "\"\"",  "\"\\ud8\"", "tru", "1.",
                               "1e",   "\xff",  "\"\\x\"",   "01",  "'a'"};
  for (int Case = 0; Case < 3000; ++Case) {
    std::vector<std::string> Items;
    Ids Proper;
    for (uint32_t I = 0, Count = 1 + Random() % 6; I < Count; ++I) {
      std::string Id = "u" + std::to_string(I);
      if (Random() % 2 == 0) {
        Items.push_back(upstreamItem(Id));
        Proper.push_back(Id);
        continue;
      }
      // The record of the odd item is mutated, or the text of the item.
      std::string Text = record();
      bool InRecord = Random() % 2 == 0;
      if (!InRecord)
        Text = item("servers/odd", "{}");
      size_t At = Text.find(':', Random() % (Text.size() / 2)) + 1;
      Text.replace(At, Text.find_first_of(",}", At) - At,
                   Parts[Random() % std::size(Parts)]);
      if (InRecord)
        Text[Random() % Text.size()] = static_cast<char>(Random() % 256);
      Items.push_back(InRecord ? item("servers/odd", Text) : Text);
    }
    StoreRead Read(StoreCollection::Upstreams);
    std::string Body = answer(Items);
    ASSERT_TRUE(Read.add(Body)) << Body;
    Ids Found = Read.ids();
    Found.erase(std::remove(Found.begin(), Found.end(), "odd"), Found.end());
    ASSERT_EQ(Found, Proper) << Body;
  }
}

// Guards against a snapshot that a peer rejects as a whole because of one
// record that this instance has accepted.
TEST(StoreDecoder, PeersAcceptAllRecordsThatWereRead) {
  std::string Long = "\"" + std::string(5000, 'x') + "\"";
  const std::pair<const char *, std::string> Changes[] = {
      {"born", "-1"},
      {"born", "1e300"},
      {"born", "-1e300"},
      {"born", "18446744073709551615"},
      {"born", "1.5"},
      {"born", "\"today\""},
      {"born", "null"},
      {"born", "9223372036854775807"},
      {"zone", Long},
      {"service", Long},
      {"labels", "[" + Long + "," + Long + "]"},
      {"labels", "[7,{}]"},
      {"labels", "\"a\""},
      {"zone", "\"\\u0000\""},
      {"zone", "\"\\udc80\""},
      {"zone", "\"\xff\""},
      {"zone", "\"\""},
      {"capacity", R"({"cpu":1e18,"mem_mb":1e300,"gpu":-1})"},
      {"capacity", R"({"cpu":-5,"mem_mb":"x","gpu":[]})"},
      {"capacity", R"({"cpu":18446744073709551615})"},
      {"cold_remaining_ms", "1e300"}};
  for (const auto &[Field, Value] : Changes) {
    StoreRead Read(StoreCollection::Upstreams);
    ASSERT_TRUE(Read.add(answer(
        {upstreamItem("a"), item("servers/odd", record(Field, Value)),
         item("servers/" + std::string(500, 'x'), record(Field, Value))})));
    SnapshotFetched Sent;
    Sent.Upstreams = Read.Answer.Upstreams;
    Result<Json::Value> Wire = parseJson(writeJson(encodeSnapshot(Sent)));
    ASSERT_FALSE(failed(Wire)) << Field << " " << Value;
    Result<SnapshotFetched> Received = decodeSnapshot(valueOf(Wire));
    ASSERT_FALSE(failed(Received)) << Field << " " << Value.substr(0, 40)
                                   << ": " << errorOf(Received).Message;
    EXPECT_EQ(valueOf(Received).Upstreams.size(), Sent.Upstreams.size());
  }
}

// Guards against an evacuation that is missed, or does not end: of which the
// key has another value, is deleted, or comes beside odd ones.
TEST(StoreDecoder, EvacuationsAreReadFromTheirKeys) {
  StoreRead Read(StoreCollection::Evacuations);
  ASSERT_TRUE(Read.add(
      answer({item("op/evacuate/a", "{}"), item("op/evacuate/b", "odd"),
              item("op/evacuate/", "{}"),
              item("op/evacuate/" + std::string(257, 'a'), "{}"), "7"})));
  EXPECT_EQ(Read.Answer.Evacuated, (std::set<DataCentre>{{"a"}, {"b"}}));
  EXPECT_EQ(Read.Answer.UnreadableRecords, 3U);
  auto Watch = [&](const std::vector<std::string> &Events) {
    WatchAnswered Out;
    Out.Collection = StoreCollection::Evacuations;
    EXPECT_TRUE(Read.Decoder.addChanges(answer(Events, false, "events"), Out));
    return Out;
  };
  std::string Deleted =
      R"({"key":"op/evacuate/a","revision":8,"deleted":true})";
  WatchAnswered Changes = Watch({item("op/evacuate/b", "{}"), Deleted});
  ASSERT_EQ(Changes.Evacuations.size(), 2U);
  EXPECT_FALSE(Changes.Evacuations[0].Ended);
  EXPECT_EQ(Changes.Evacuations[1].Centre, DataCentre{"a"});
  EXPECT_TRUE(Changes.Evacuations[1].Ended);
  // A change that can't be read leads to a read of the collection.
  WatchAnswered Odd = Watch({Deleted, "7"});
  EXPECT_TRUE(Odd.Changed && Odd.Evacuations.empty());
  EXPECT_FALSE(Watch({item("op/evacuate/", "{}")}).Changed);
}

// Guards against an order that reaches another upstream than the one named: a
// header loses white space at its ends and control characters, so the order
// would name the upstream whose entry was copied under such a key.
TEST(StoreDecoder, KeysThatAHeaderWouldChangeNameNoUpstream) {
  for (const std::string &Id :
       {std::string("a "), std::string(" a"), std::string("a\t"),
        std::string("a\r\nX: y"), std::string("a\n"), std::string("a\0b", 3),
        std::string("\x01"), std::string("a\x7f"), std::string("a\xff"),
        std::string("")}) {
    StoreRead Read(StoreCollection::Upstreams);
    EXPECT_TRUE(Read.add(answer({upstreamItem("a"), upstreamItem(Id)})));
    EXPECT_EQ(Read.ids(), Ids{"a"}) << Id;
  }
}

// Guards against a start time of a process that lies outside of any calendar:
// each later record of the upstream would belong to an older process.
TEST(StoreDecoder, RecordsWithImpossibleStartTimesNameNoUpstream) {
  for (const char *Born :
       {"-1", "1e300", "-1e300", "18446744073709551615", "1.5", "\"today\"",
        "null", "[]", "9223372036854775807", "1700000000000000"}) {
    StoreRead Read(StoreCollection::Upstreams);
    EXPECT_TRUE(Read.add(answer({item("servers/a", record("born", Born))})));
    EXPECT_EQ(Read.ids(), Ids{}) << Born;
  }
  StoreRead Read(StoreCollection::Upstreams);
  EXPECT_TRUE(Read.add(answer({item("servers/a", record("born", "0")),
                               item("servers/b", record("born", "17e11"))})));
  EXPECT_EQ(Read.ids(), (Ids{"a", "b"}));
}

// Guards against starts by an entry that lacks what a start relies on, or has
// it in another type.
TEST(StoreDecoder, RecordsWithoutTheFieldsOfAStartNameNoUpstream) {
  std::vector<std::pair<const char *, const char *>> Changes = {
      {"capacity", "{}"},
      {"capacity", R"({"mem_mb":1})"},
      {"capacity", R"({"cpu":"1"})"},
      {"capacity", R"({"cpu":1000,"mem_mb":"x"})"},
      {"capacity", R"({"cpu":1000,"mem_mb":1,"gpu":[]})"}};
  for (const char *Field : {"service", "zone", "address", "state", "capacity"})
    for (const char *Value : {"null", "\"\"", "7", "[]"})
      Changes.emplace_back(Field, Value);
  for (const auto &[Field, Value] : Changes) {
    StoreRead Read(StoreCollection::Upstreams);
    EXPECT_TRUE(Read.add(answer(
        {upstreamItem("a"), item("servers/odd", record(Field, Value))})));
    EXPECT_EQ(Read.ids(), Ids{"a"}) << Field << " " << Value;
  }
  // Upstreams without accelerators may leave them out.
  StoreRead Read(StoreCollection::Upstreams);
  EXPECT_TRUE(Read.add(
      answer({item("servers/a", record("capacity", R"({"cpu":1000})"))})));
  EXPECT_EQ(Read.ids(), Ids{"a"});
}

// Guards against instances that are pinged without end, count as a sender that
// may still work, or are this process under another spelling of its address.
TEST(StoreDecoder, InstancesHaveUsableAddressesAndWeights) {
  for (const char *Endpoint :
       {"", "x", "host:70", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:70000",
        "10.0.0.1:070", "10.0.0.1:70 ", "0.0.0.0:70", "255.255.255.255:70"}) {
    StoreRead Read(StoreCollection::Instances);
    EXPECT_TRUE(Read.add(answer({item(
        std::string("snipeshunt/instances/") + Endpoint, R"({"zone":"z"})")})));
    EXPECT_TRUE(Read.Answer.Instances.empty()) << Endpoint;
  }
  for (const char *Weight : {"-1", "1e308", "-1e308", "1e300", "\"x\"", "[]"}) {
    StoreRead Read(StoreCollection::Instances);
    EXPECT_TRUE(Read.add(answer(
        {item("snipeshunt/instances/10.0.0.1:70",
              std::string(R"({"zone":"z","weight":)") + Weight + "}")})));
    PeerPong Pong;
    Pong.KnownInstances = Read.Answer.Instances;
    EXPECT_FALSE(failed(decodePong(encodePong(Pong)))) << Weight;
  }
}

// Guards against a record that delays each read of the list by the time that
// its parse takes, some 150 ms for one of 700 kB with many values.
TEST(StoreDecoder, HugeRecordsAreNotParsed) {
  // The note leaves the record valid, so that only its size is wrong.
  for (size_t Bytes : {size_t{1000}, size_t{100000}, size_t{1} << 20}) {
    std::string Note = ",\"note\":\"" + std::string(Bytes, 'x') + "\"}";
    std::string Upstream = record();
    Upstream.replace(Upstream.size() - 1, 1, Note);
    StoreRead Read(StoreCollection::Upstreams);
    EXPECT_TRUE(
        Read.add(answer({upstreamItem("a"), item("servers/b", Upstream)})));
    EXPECT_EQ(Read.ids(), Bytes > 64 << 10 ? Ids{"a"} : (Ids{"a", "b"}));
    StoreRead Instances(StoreCollection::Instances);
    EXPECT_TRUE(Instances.add(answer(
        {item("snipeshunt/instances/10.0.0.1:70", R"({"zone":"z")" + Note)})));
    EXPECT_EQ(Instances.Answer.Instances.size(), Bytes > 64 << 10 ? 0U : 1U);
  }
}

// Guards against entries in large numbers that hide proper ones on their pages.
TEST(StoreDecoder, ProperItemsAreReadAmongTenThousandOddOnes) {
  StoreRead Read(StoreCollection::Upstreams);
  const std::vector<std::string> Odd = oddItems();
  Ids Proper;
  for (int Page = 0; Page < 20; ++Page) {
    std::vector<std::string> Items;
    for (size_t I = 0; I < 500; ++I)
      Items.push_back(I % 10 == 0 ? Odd[I / 10 % (Odd.size() - 1)]
                                  : item("servers/odd", "[["));
    Proper.push_back("p" + std::to_string(Page));
    Items.push_back(upstreamItem(Proper.back()));
    ASSERT_TRUE(Read.add(answer(Items, Page < 19)));
  }
  EXPECT_EQ(Read.ids(), Proper);
  EXPECT_EQ(Read.Answer.UnreadableRecords, 10000U);
}

} // namespace snipeshunt::platform
