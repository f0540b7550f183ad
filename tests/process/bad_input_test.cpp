/// \file Invalid requests to all interfaces of an instance.
#include "core/json_func.h"
#include "fleet/fleet.h"
#include "http/http_address.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include <algorithm>

namespace snipeshunt {
namespace {

/// A raw TCP connection, for requests that an HTTP client can't send.
class RawConnection {
public:
  explicit RawConnection(const Address &Endpoint) {
    HostPort Parts = valueOf(parseAddress(Endpoint));
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(Parts.Port);
    inet_pton(AF_INET, Parts.Host.c_str(), &To.sin_addr);
    // Fails the test if the server neither answers nor closes the connection.
    timeval Limit{90, 0};
    setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
    setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
    Connected =
        connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To)) == 0;
  }
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;
  ~RawConnection() { close(Socket); }

  /// Returns false if the other side no longer accepts bytes.
  bool send(std::string_view Text) const {
    while (!Text.empty()) {
      ssize_t Sent = ::send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL);
      if (Sent <= 0)
        return false;
      Text.remove_prefix(static_cast<size_t>(Sent));
    }
    return true;
  }
  /// Reads until the connection is closed; \p Closed is false on time-out.
  std::string readAll(bool &Closed) const {
    std::string Text;
    char Part[4096];
    ssize_t Got = 0;
    while ((Got = recv(Socket, Part, sizeof(Part), 0)) > 0)
      Text.append(Part, static_cast<size_t>(Got));
    Closed = Got == 0 || errno == ECONNRESET;
    return Text;
  }

  bool Connected = false;

private:
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
};

std::string requestText(const std::string &Method, const std::string &Path,
                        const std::string &Body) {
  return Method + " " + Path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string takeTicket(const Address &Endpoint) {
  Result<std::string> Text = postText(Endpoint, "/v1/tickets?count=1", "");
  return failed(Text)
             ? ""
             : valueOf(parseJson(valueOf(Text)))["tickets"][0].asString();
}

/// Returns true if a valid job is completed.
bool serves(const Address &Endpoint) {
  HttpCall Call;
  Call.Target = Endpoint;
  Call.Method = "PUT";
  Call.Path = "/v1/jobs/" + takeTicket(Endpoint);
  Call.Body = R"({"team":"t","tasks":[{"kind":"a","payload":"run_ms=1"}]})";
  Call.Timeout = std::chrono::seconds(60);
  HttpOutcome Outcome = callOnce(std::move(Call));
  auto *Reply = std::get_if<HttpReply>(&Outcome);
  return Reply && Reply->Status == 200;
}

class BadInputTest : public testing::Test {
protected:
  BadInputTest() : F(options()) {}
  static FleetOptions options() {
    FleetOptions Options;
    Options.BinaryDir = BINARY_DIR;
    Options.InstancesPerCentre = 1;
    Options.UpstreamsPerCentre = 1;
    return Options;
  }
  void SetUp() override {
    Result<Ok> Started = F.start();
    ASSERT_FALSE(failed(Started)) << errorOf(Started).Message;
  }

  Fleet F;
};

struct BadRequest {
  const char *Method;
  std::string Path; ///< `{ticket}` is replaced by a new ticket.
  std::string Body;
  int Status;       ///< 0: any 4xx or 5xx, or a closed connection.
  const char *Kind; ///< `error.kind`, `rpc` for an error of JSON-RPC.
};

std::string jobWith(const std::string &Tasks) {
  return "{\"team\":\"t\",\"tasks\":[" + Tasks + "]}";
}

std::vector<BadRequest> badRequests() {
  const std::string Job = "/v1/jobs/{ticket}";
  const std::string Task = R"({"kind":"a","payload":"run_ms=1"})";
  std::string TooMany = Task;
  for (int I = 0; I < 200; ++I)
    TooMany += "," + Task;
  const std::string RpcPrefix = R"({"jsonrpc":"2.0","id":1,"method":)";
  return {
      {"PUT", Job, "", 400, "malformed_json"},
      {"PUT", Job, "{", 400, "malformed_json"},
      {"PUT", Job, std::string("\0\xff", 2), 400, "malformed_json"},
      {"PUT", Job, std::string(100000, '['), 400, "malformed_json"},
      {"PUT", Job, jobWith(Task) + "{}", 400, "malformed_json"},
      {"PUT", Job, R"({"team":"t","team":"u","tasks":[]})", 400,
       "malformed_json"},
      {"PUT", Job, "[]", 400, "invalid_field"},
      {"PUT", Job, "null", 400, "invalid_field"},
      {"PUT", Job, jobWith(""), 400, "invalid_field"},
      {"PUT", Job, jobWith("7"), 400, "invalid_field"},
      {"PUT", Job, jobWith(TooMany), 400, "invalid_field"},
      {"PUT", Job, R"({"team":7,"tasks":[]})", 400, "invalid_field"},
      {"PUT", Job, jobWith(R"({"kind":"a","payload":{}})"), 400,
       "invalid_field"},
      {"PUT", Job, jobWith(R"({"kind":"a","payload":"","colour":1})"), 400,
       "invalid_field"},
      {"PUT", Job, jobWith(R"({"kind":"a","payload":"","expected_ms":1e300})"),
       400, "invalid_field"},
      {"PUT", Job, jobWith(R"({"kind":"a","payload":"","accelerators":-1})"),
       400, "invalid_field"},
      {"PUT", Job, std::string((1 << 20) + 1, 'x'), 0, ""},
      {"PUT", "/v1/jobs/nonsense", jobWith(Task), 400, "ticket_invalid"},
      {"PUT", "/v1/jobs/", jobWith(Task), 400, "ticket_invalid"},
      {"PUT", "/v1/jobs/a.b.c.d.e.f.g", jobWith(Task), 400, "ticket_invalid"},
      {"PUT", Job + "0", jobWith(Task), 400, "ticket_invalid"},
      {"PUT", "/v1/jobs/" + std::string(8000, '.'), "", 400, "ticket_invalid"},
      {"GET", "/v1/jobs/%00%ff", "", 400, "ticket_invalid"},
      {"DELETE", "/v1/jobs/..%2f..", "", 400, "ticket_invalid"},
      {"POST", Job, jobWith(Task), 405, "method_not_allowed"},
      {"PATCH", Job, jobWith(Task), 0, ""},
      {"NONSENSE", "/", "", 0, ""},
      {"POST", "/v1/tickets?count=0", "", 400, "invalid_field"},
      {"POST", "/v1/tickets?count=101", "", 400, "invalid_field"},
      {"POST", "/v1/tickets?count=-1", "", 400, "invalid_field"},
      {"POST", "/v1/tickets?count=1x", "", 400, "invalid_field"},
      {"GET", "/v1/nothing", "", 404, "not_found"},
      {"GET", "/" + std::string(20000, 'a'), "", 0, ""},
      {"POST", "/rpc", "", 200, "rpc"},
      {"POST", "/rpc", "{", 200, "rpc"},
      {"POST", "/rpc", "[]", 200, "rpc"},
      {"POST", "/rpc", std::string(100000, '['), 200, "rpc"},
      {"POST", "/rpc", RpcPrefix + R"("nothing"})", 200, "rpc"},
      {"POST", "/rpc", RpcPrefix + R"("task.hand_over","params":[]})", 200,
       "rpc"},
      {"POST", "/rpc",
       RpcPrefix + R"("task.hand_over","params":{"message":{"home":"x"}}})",
       200, "rpc"},
      {"POST", "/rpc",
       RpcPrefix + R"("member.heartbeat","params":{"message":{"self":7}}})",
       200, "rpc"},
  };
}

/// Returns what is wrong with the answer; empty if it is the expected one.
std::string problemOf(const BadRequest &Row, const std::string &Text) {
  if (Row.Status == 0)
    return Text.empty() || Text.compare(0, 10, "HTTP/1.1 4") == 0 ||
                   Text.compare(0, 10, "HTTP/1.1 5") == 0
               ? ""
               : "not rejected";
  if (Text.compare(0, 13, "HTTP/1.1 " + std::to_string(Row.Status) + " ") != 0)
    return "wrong status";
  size_t End = Text.find("\r\n\r\n");
  Result<Json::Value> Body =
      parseJson(End == std::string::npos ? "" : Text.substr(End + 4));
  if (failed(Body) || !valueOf(Body).isObject())
    return "the body is not a JSON object";
  if (Row.Kind == std::string("rpc"))
    return valueOf(Body).isMember("error") ||
                   valueOf(Body)["result"].isMember("rpc_error")
               ? ""
               : "the body has no JSON-RPC error";
  const Json::Value &E = valueOf(Body)["error"];
  return E["kind"].asString() == Row.Kind && !E["remedy"].asString().empty()
             ? ""
             : "wrong error.kind, or no error.remedy";
}

// Guards against invalid requests that crash the process, are accepted as a
// job, or are rejected without a reason.
TEST_F(BadInputTest, EachBadRequestGetsATypedErrorAndServiceGoesOn) {
  Address Endpoint = F.instance(0);
  for (BadRequest &Row : badRequests()) {
    size_t At = Row.Path.find("{ticket}");
    if (At != std::string::npos)
      Row.Path.replace(At, 8, takeTicket(Endpoint));
    RawConnection Connection(Endpoint);
    ASSERT_TRUE(Connection.Connected);
    Connection.send(requestText(Row.Method, Row.Path, Row.Body));
    bool Closed = false;
    std::string Text = Connection.readAll(Closed);
    std::string Name = std::string(Row.Method) + " " + Row.Path.substr(0, 80) +
                       " " + Row.Body.substr(0, 80);
    EXPECT_TRUE(Closed) << Name;
    EXPECT_EQ(problemOf(Row, Text), "") << Name << "\n" << Text.substr(0, 600);
    ASSERT_TRUE(serves(Endpoint)) << "after " << Name;
  }
}

// Guards against headers of unbounded length that exhaust the memory.
TEST_F(BadInputTest, EndlessHeadersAreCutOff) {
  for (const char *Start : {"GET /", "GET / HTTP/1.1\r\nA: "}) {
    RawConnection Connection(F.instance(0));
    ASSERT_TRUE(Connection.send(Start));
    std::string Part(4096, 'a');
    int Parts = 0;
    while (Parts < 4096 && Connection.send(Part))
      ++Parts;
    EXPECT_LT(Parts, 4096) << Start;
  }
  EXPECT_TRUE(serves(F.instance(0)));
}

// Guards against incomplete requests that block others or stay open for ever.
TEST_F(BadInputTest, UnfinishedRequestsDoNotBlockOthersAndAreClosed) {
  std::vector<std::unique_ptr<RawConnection>> Open;
  for (int I = 0; I < 200; ++I) {
    Open.push_back(std::make_unique<RawConnection>(F.instance(0)));
    ASSERT_TRUE(Open.back()->send(
        I % 2 ? "PUT /v1/jobs/x HTTP/1.1\r\nContent-Length: 100\r\n\r\n{"
              : "GET /heal"));
  }
  EXPECT_TRUE(serves(F.instance(0)));
  for (size_t I : {0, 1}) {
    bool Closed = false;
    Open[I]->readAll(Closed);
    EXPECT_TRUE(Closed) << "connection " << I;
  }
  EXPECT_TRUE(serves(F.instance(0)));
}

} // namespace
} // namespace snipeshunt
