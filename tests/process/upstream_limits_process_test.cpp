/// \file Upstreams whose answers have no end, against one instance. Checked are
/// only facts that don't depend on the machine's speed.
#include "../support/endless_server.h"
#include "crowd.h"
#include "fleet/fleet.h"
#include "soak/link_proxy.h"
#include "standins/cell_fleet.h"

namespace snipeshunt {
namespace {

// Long, so that a loaded machine does not fail a test.
constexpr Duration ServeLimit = std::chrono::seconds(60);
// Of seven upstreams, these answer without end.
constexpr size_t EndlessUpstreams = 6;
// Jobs that are submitted meanwhile.
constexpr int Jobs = 30;

/// Repeats \p Rest in each answer of six upstreams, and expects that the
/// instance stays within its memory and that the seventh runs jobs.
void expectInstanceServesBeside(const std::string &Rest) {
  CellFleetOptions Options;
  Options.BinaryDir = BINARY_DIR;
  Options.Instances = 1;
  Options.Runners = EndlessUpstreams + 1;
  CellFleet F(Options);
  testing::EndlessServer Server(F.linkIp(), "HTTP/1.1 200 OK\r\n", Rest,
                                /*MaxBytes=*/256 << 20);
  LinkProxy Proxy;
  Result<size_t> Link = Proxy.open(F.linkIp());
  ASSERT_FALSE(failed(Link));
  std::vector<Address> Announced(EndlessUpstreams, Server.address());
  Announced.push_back(Proxy.address(valueOf(Link)));
  F.setRunnerLinks(Announced);
  ASSERT_FALSE(failed(F.startPlatform()));
  ASSERT_TRUE(Fleet::waitUntil([&] { return !F.runnerAddresses().empty(); },
                               ServeLimit));
  Proxy.setTarget(valueOf(Link), F.runnerAddresses().back());
  ASSERT_FALSE(failed(F.startInstance(0)));
  ASSERT_TRUE(F.waitUntilReady()) << F.allLogs();
  int Done = 0;
  EXPECT_TRUE(Fleet::waitUntil(
      [&] {
        std::string Id = std::to_string(1000000000000000 + Done);
        HttpReply Reply = F.submit(0, Id, /*Tasks=*/1, /*WorkMs=*/5);
        Done += Reply.Status == 200 && reportsDone(Reply.Body) ? 1 : 0;
        return Done == Jobs;
      },
      ServeLimit))
      << F.allLogs();
  expectWithinMemory(F.process(0));
}

// Guards against headers without end, which were read until the call's
// time-out.
TEST(UpstreamLimitsProcessTest, EndlessHeaders) {
  expectInstanceServesBeside("a: b\r\n");
}

// Guards against bodies without end.
TEST(UpstreamLimitsProcessTest, EndlessBodies) {
  expectInstanceServesBeside("\r\n");
}

} // namespace
} // namespace snipeshunt
