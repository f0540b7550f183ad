/// \file Tests of parsing and reading JSON.
#include "core/json_func.h"

#include <gtest/gtest.h>

namespace snipeshunt {
namespace {

// Guards against accepting malformed input, or input with duplicate keys, whose
// meaning depends on the reader.
TEST(JsonTest, RejectsMalformedInput) {
  for (const char *Text : {"", "{", "{\"a\":1}x", "{\"a\":1,\"a\":2}", "nul"})
    EXPECT_TRUE(failed(parseJson(Text))) << Text;
  EXPECT_FALSE(failed(parseJson("{\"a\":1}")));
}

// Guards against a stack overflow on deeply nested input.
TEST(JsonTest, RejectsDeepNesting) {
  EXPECT_TRUE(failed(parseJson(std::string(100000, '['))));
}

// Guards against state that an invalid text leaves in the reader, which all
// calls share, and against text of an earlier value in the output.
TEST(JsonTest, CallsAreIndependent) {
  for (const std::string &Invalid :
       {std::string("{\"a\":[1,"), std::string(100000, '['),
        std::string("{\"a\":1,\"a\":2}")}) {
    EXPECT_TRUE(failed(parseJson(Invalid)));
    auto Parsed = parseJson(R"({"a":[1,2]})");
    ASSERT_FALSE(failed(Parsed));
    EXPECT_EQ(writeJson(valueOf(Parsed)), R"({"a":[1,2]})");
  }
  EXPECT_TRUE(failed(parseJson("// text\n{}")));
  EXPECT_FALSE(failed(parseJson("// text\n{}", JsonComments::Accept)));
  EXPECT_TRUE(failed(parseJson("// text\n{}")));
}

// Guards against ignoring unknown fields and accepting values out of range.
TEST(JsonTest, ObjectReaderReportsFirstError) {
  auto Parsed = parseJson(R"({"a":1,"b":"x","c":true})");
  int64_t A = 0;
  std::string B;
  ObjectReader Unknown(valueOf(Parsed), "");
  Unknown.integer("a", A, 0, 5).string("b", B, 10);
  auto Problem = Unknown.finish();
  ASSERT_TRUE(Problem);
  EXPECT_EQ(Problem->Message, "field 'c' is not known");
  ObjectReader Range(valueOf(Parsed), "job");
  Range.integer("a", A, 2, 5);
  Problem = Range.finish();
  ASSERT_TRUE(Problem);
  EXPECT_EQ(Problem->Message, "field 'job.a' has a wrong value");
  EXPECT_EQ(Problem->Remedy, "give a whole number from 2 to 5");
}

} // namespace
} // namespace snipeshunt
