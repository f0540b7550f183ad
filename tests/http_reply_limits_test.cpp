/// \file Tests of the limits on the replies that an HTTP client reads.
#include "http/http_client.h"
#include "support/endless_server.h"

#include <gtest/gtest.h>

#include <optional>
#include <ostream>

namespace snipeshunt {
namespace {

using testing::EndlessServer;

/// What a server repeats, after which bytes.
struct EndlessReply {
  const char *Name;
  const char *Begin;
  const char *Rest;

  friend std::ostream &operator<<(std::ostream &Out, const EndlessReply &R) {
    return Out << R.Name;
  }
};

class HttpReplyLimitsTest : public ::testing::TestWithParam<EndlessReply> {};

// Guards against a part of a reply that no limit of evhttp covers, which is
// read into memory until the call times out.
TEST_P(HttpReplyLimitsTest, EndlessReplyEndsTheCall) {
  constexpr size_t MaxBody = 100'000;
  // Further bytes may have arrived by the time the limit is noticed.
  constexpr size_t MaxReceived = 4 << 20;
  EndlessServer Server("127.0.0.1", GetParam().Begin, GetParam().Rest,
                       /*MaxBytes=*/64 << 20);
  EventLoop Loop;
  HttpClientOptions Options;
  Options.MaxReplyBody = MaxBody;
  HttpClient Client(Loop, Options);
  HttpCall Call;
  Call.Target = Server.address();
  Call.Timeout = std::chrono::seconds(10);
  std::optional<HttpOutcome> Outcome;
  Client.send(std::move(Call), [&](const HttpOutcome &O) {
    Outcome = O;
    Loop.stop();
  });
  Loop.run();
  ASSERT_TRUE(Outcome);
  const auto *Failure = std::get_if<HttpFailure>(&*Outcome);
  ASSERT_TRUE(Failure);
  EXPECT_FALSE(Failure->UnansweredSince) << Failure->Message;
  // The request was received, and may have been carried out.
  EXPECT_FALSE(Failure->NothingSent);
  EXPECT_LE(Client.bytesReceived(), MaxReceived);
}

constexpr char Chunked[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char LastChunk[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";

INSTANTIATE_TEST_SUITE_P(
    Parts, HttpReplyLimitsTest,
    ::testing::Values(EndlessReply{"StatusLine", "HTTP/1.1 200 ", "x"},
                      EndlessReply{"Header", "HTTP/1.1 200 OK\r\n", "a: b\r\n"},
                      EndlessReply{"HeaderLine", "HTTP/1.1 200 OK\r\na:", "x"},
                      EndlessReply{"Body", "HTTP/1.1 200 OK\r\n\r\n", "x"},
                      EndlessReply{"ChunkLine", Chunked, "1"},
                      EndlessReply{"Chunks", Chunked, "1\r\nx\r\n"},
                      EndlessReply{"Trailers", LastChunk, "a: b\r\n"}),
    [](const auto &Info) { return std::string(Info.param.Name); });

} // namespace
} // namespace snipeshunt
