/// \file Requests to the etcd v3 JSON gateway and parsing of its replies.
#include "configuration/configuration_func.h"
#include "configuration/etcd_func.h"
#include "core/json_func.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace snipeshunt {
namespace {

Configuration documentWith(const char *Id) {
  Configuration C;
  C.Change = {{Id}, "ana", "2025-01-31T12:00:00Z"};
  return C;
}

// Guards against values that base64 encoding and decoding change, at any
// length.
RC_GTEST_PROP(EtcdTest, Base64RoundTrip, (const std::string &Bytes)) {
  Result<std::string> Decoded = decodeBase64(encodeBase64(Bytes));
  RC_ASSERT(!failed(Decoded));
  RC_ASSERT(valueOf(Decoded) == Bytes);
}

// Guards against accepting text that is not valid base64.
TEST(EtcdTest, Base64Rejections) {
  EXPECT_EQ(encodeBase64("foob"), "Zm9vYg==");
  for (const char *Text : {"Z", "Zm9", "Zm=v", "====", "Zm9v\n", " Zm9v",
                           "Zm9vYg=\n", "Zm9-", "=m9v", "Z==="})
    EXPECT_TRUE(failed(decodeBase64(Text))) << Text;
}

// Guards against requests that differ from the format that etcd documents.
TEST(EtcdTest, RangeAndWatchRequests) {
  EtcdRequest Range = rangeRequest("foo");
  EXPECT_EQ(Range.Path, "/v3/kv/range");
  EXPECT_EQ(Range.Body, R"({"key":"Zm9v"})");
  EtcdRequest Watch = watchRequest("foo", Revision{8});
  EXPECT_EQ(Watch.Path, "/v3/watch");
  EXPECT_EQ(Watch.Body,
            R"({"create_request":{"key":"Zm9v","start_revision":"8"}})");
}

// Guards against a swap that does not compare the revision that was read, or
// that writes the document and its history in different transactions.
TEST(EtcdTest, SwapRequest) {
  Configuration Old = documentWith("00000000000000aa");
  Configuration New = documentWith("00000000000000bb");
  New.Defaults.RetryBurst = 20;
  EtcdRequest Swap = swapRequest(Old, Revision{7}, New);
  EXPECT_EQ(Swap.Path, "/v3/kv/txn");
  Result<Json::Value> Parsed = parseJson(Swap.Body);
  ASSERT_FALSE(failed(Parsed));
  const Json::Value &Body = valueOf(Parsed);
  const std::string Key = encodeBase64("snipeshunt/configuration");
  const std::string History =
      encodeBase64("snipeshunt/configuration-history/00000000000000bb");
  EXPECT_EQ(writeJson(Body["compare"]),
            R"([{"key":")" + Key +
                R"(","mod_revision":"7","result":"EQUAL","target":"MOD"}])");
  ASSERT_EQ(Body["success"].size(), 2U);
  const Json::Value &Put = Body["success"][0]["request_put"];
  EXPECT_EQ(Put["key"], Key);
  EXPECT_EQ(valueOf(decodeBase64(Put["value"].asString())),
            writeConfiguration(New));
  const Json::Value &Record = Body["success"][1]["request_put"];
  EXPECT_EQ(Record["key"], History);
  EXPECT_EQ(valueOf(decodeBase64(Record["value"].asString())),
            R"({"change":{"author":"ana","id":"00000000000000bb",)"
            R"("time":"2025-01-31T12:00:00Z"},)"
            R"("lines":["defaults.retry_burst: 10 -> 20"],)"
            R"("replaced_revision":"7"})");
  EXPECT_EQ(writeJson(Body["failure"]), R"([{"request_range":{"key":")" + Key +
                                            R"("}},{"request_range":{"key":")" +
                                            History + R"("}}])");
}

// Guards against the first document replacing one that already exists.
TEST(EtcdTest, FirstSwapRequiresThatNoDocumentExists) {
  EtcdRequest Swap = swapRequest(Configuration(), Revision{0},
                                 documentWith("00000000000000aa"));
  EXPECT_NE(Swap.Body.find(R"("mod_revision":"0")"), std::string::npos);
}

// Guards against misread replies to a range request.
TEST(EtcdTest, RangeReplies) {
  Result<EtcdRangeReply> Found = parseRangeReply(
      R"({"header":{"cluster_id":"1","revision":"9223372036854775807"},)"
      R"("kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"3",)"
      R"("version":"1","value":"YmFy"}],"count":"1"})");
  ASSERT_FALSE(failed(Found));
  EXPECT_EQ(valueOf(Found).StoreRevision.Value, 9223372036854775807U);
  ASSERT_TRUE(valueOf(Found).Found);
  EXPECT_EQ(valueOf(Found).Found->Value, "bar");
  EXPECT_EQ(valueOf(Found).Found->ModRevision, Revision{3});
  Result<EtcdRangeReply> Absent =
      parseRangeReply(R"({"header":{"revision":"3"}})");
  ASSERT_FALSE(failed(Absent));
  EXPECT_FALSE(valueOf(Absent).Found);
}

// Guards against a malformed reply that is read as an absent key.
TEST(EtcdTest, RejectsMalformedRangeReplies) {
  for (const char *Text :
       {"", "[]", "null", R"({"error":"no leader","code":14})",
        R"({"header":{"revision":"-1"}})", R"({"header":{"revision":"3x"}})",
        R"({"header":{"revision":"9223372036854775808"}})", R"({"kvs":{}})",
        R"({"kvs":[1]})", R"({"kvs":[{"value":"YmFy"}]})",
        R"({"kvs":[{"value":"YmF","mod_revision":"3"}]})",
        R"({"kvs":[{"value":7,"mod_revision":"3"}]})"}) {
    Result<EtcdRangeReply> Reply = parseRangeReply(Text);
    ASSERT_TRUE(failed(Reply)) << Text;
    EXPECT_EQ(errorOf(Reply).Kind, ErrorKind::Unavailable);
  }
}

// Guards against reporting a conflict for a change that took effect but whose
// reply was lost, and against reporting a conflict as a success.
TEST(EtcdTest, SwapReplies) {
  Result<EtcdSwapReply> Swapped = parseSwapReply(
      R"({"header":{"revision":"8"},"succeeded":true,"responses":[)"
      R"({"response_put":{"header":{"revision":"8"}}},)"
      R"({"response_put":{"header":{"revision":"8"}}}]})");
  ASSERT_FALSE(failed(Swapped));
  EXPECT_EQ(valueOf(Swapped).Outcome, SwapOutcome::Swapped);
  EXPECT_EQ(valueOf(Swapped).StoreRevision, Revision{8});
  const std::string Current = R"({"header":{"revision":"9"},"responses":[)"
                              R"({"response_range":{"kvs":[{"key":"Zm9v",)"
                              R"("mod_revision":"9","value":"YmFy"}]}},)";
  Result<EtcdSwapReply> Conflict =
      parseSwapReply(Current + R"({"response_range":{}}]})");
  ASSERT_FALSE(failed(Conflict));
  EXPECT_EQ(valueOf(Conflict).Outcome, SwapOutcome::Conflict);
  ASSERT_TRUE(valueOf(Conflict).Current);
  EXPECT_EQ(valueOf(Conflict).Current->Value, "bar");
  EXPECT_EQ(valueOf(Conflict).Current->ModRevision, Revision{9});
  Result<EtcdSwapReply> Applied = parseSwapReply(
      Current + R"({"response_range":{"kvs":[{"mod_revision":"8"}]}}]})");
  ASSERT_FALSE(failed(Applied));
  EXPECT_EQ(valueOf(Applied).Outcome, SwapOutcome::AlreadyApplied);
}

// Guards against a malformed reply that is reported as a conflict or a success.
TEST(EtcdTest, RejectsMalformedSwapReplies) {
  for (const char *Text :
       {"{}", R"({"succeeded":true})",
        R"({"header":{"revision":"9"},"succeeded":"yes"})",
        R"({"header":{"revision":"9"}})",
        R"({"header":{"revision":"9"},"responses":[{"response_range":{}}]})",
        R"({"header":{"revision":"9"},"responses":[{"response_range":{}},{}]})",
        R"({"error":"timeout","code":14})"})
    EXPECT_TRUE(failed(parseSwapReply(Text))) << Text;
}

// Guards against missed or misread events.
TEST(EtcdTest, WatchReplies) {
  Result<EtcdWatchReply> Created = parseWatchReply(
      R"({"result":{"header":{"revision":"4"},"created":true}})");
  ASSERT_FALSE(failed(Created));
  EXPECT_TRUE(valueOf(Created).Created);
  EXPECT_TRUE(valueOf(Created).Events.empty());
  Result<EtcdWatchReply> Changed = parseWatchReply(
      R"({"result":{"header":{"revision":"6"},"events":[)"
      R"({"kv":{"key":"Zm9v","mod_revision":"5","value":"YmFy"}},)"
      R"({"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"6"}}]}})");
  ASSERT_FALSE(failed(Changed));
  const EtcdWatchReply &Reply = valueOf(Changed);
  EXPECT_EQ(Reply.StoreRevision, Revision{6});
  ASSERT_EQ(Reply.Events.size(), 2U);
  EXPECT_FALSE(Reply.Events[0].Deleted);
  EXPECT_EQ(Reply.Events[0].Key, "foo");
  EXPECT_EQ(Reply.Events[0].Current.Value, "bar");
  EXPECT_EQ(Reply.Events[0].Current.ModRevision, Revision{5});
  EXPECT_TRUE(Reply.Events[1].Deleted);
  Result<EtcdWatchReply> Ended =
      parseWatchReply(R"({"result":{"header":{"revision":"9"},"canceled":true,)"
                      R"("compact_revision":"7"}})");
  ASSERT_FALSE(failed(Ended));
  EXPECT_TRUE(valueOf(Ended).Cancelled);
  EXPECT_EQ(valueOf(Ended).CompactRevision, Revision{7});
}

// Guards against a watch that goes on after a message it could not read.
TEST(EtcdTest, RejectsMalformedWatchReplies) {
  for (const char *Text :
       {"", "{}", R"({"result":1})", R"({"result":{"events":1}})",
        R"({"result":{"created":1}})", R"({"result":{"events":[{}]}})",
        R"({"result":{"events":[{"type":"X","kv":{"mod_revision":"5"}}]}})",
        R"({"error":{"grpc_code":14,"message":"no leader"}})"})
    EXPECT_TRUE(failed(parseWatchReply(Text))) << Text;
}

// Guards against losing messages that are split between two chunks.
TEST(EtcdTest, TakesLinesFromPieces) {
  std::string Buffer = "{\"a\":1}\n\n{\"b\":2}\n{\"c\"";
  EXPECT_EQ(takeLines(Buffer),
            (std::vector<std::string>{"{\"a\":1}", "{\"b\":2}"}));
  EXPECT_EQ(Buffer, "{\"c\"");
  EXPECT_TRUE(takeLines(Buffer).empty());
  Buffer += ":3}\n";
  EXPECT_EQ(takeLines(Buffer), (std::vector<std::string>{"{\"c\":3}"}));
  EXPECT_TRUE(Buffer.empty());
}

} // namespace
} // namespace snipeshunt
