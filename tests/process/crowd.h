/// \file Clients of process tests that send what no well-behaved client sends,
/// and what such a test checks of a process.
#ifndef SNIPESHUNT_TESTS_PROCESS_CROWD_H
#define SNIPESHUNT_TESTS_PROCESS_CROWD_H

#include "fleet/child_process.h"
#include "http/http_address.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <string>
#include <vector>

namespace snipeshunt {

/// Memory of the smallest machine, which an instance must not exceed.
inline constexpr size_t MaxResidentKb = 120 * 1024;
/// Descriptors that an instance has in the tests of the descriptor limit, and
/// those that have to stay free for peers, upstreams and the store.
inline constexpr size_t DescriptorLimit = 400;
inline constexpr size_t FreeDescriptors = 50;
/// More connections than the instance has descriptors.
inline constexpr size_t ManyClients = 600;
/// Clients that pipeline requests, and what each sends. Together it is more
/// than twice the memory of the smallest machine.
inline constexpr size_t PipeliningClients = 8;
inline constexpr size_t PipelinedBytes = 32 << 20;

/// Raises the descriptor limit of this process, whose clients need more than a
/// process usually has.
inline void raiseDescriptorLimit() {
  rlimit Own{};
  getrlimit(RLIMIT_NOFILE, &Own);
  Own.rlim_cur = std::min<rlim_t>(Own.rlim_max, 4096);
  setrlimit(RLIMIT_NOFILE, &Own);
}

/// Expects that \p Process runs and has never had more memory than the smallest
/// machine.
inline void expectWithinMemory(ChildProcess &Process) {
  EXPECT_FALSE(Process.wait(Duration::zero())) << "has ended";
  size_t Resident = Process.peakResidentKb();
  ::testing::Test::RecordProperty("peak_resident_kb",
                                  static_cast<int>(Resident));
  EXPECT_GT(Resident, 0u);
  EXPECT_LE(Resident, MaxResidentKb);
}

/// Expects that descriptors of \p Process are left for connections that it
/// opens, while it accepts those of the clients.
inline void expectDescriptorsFree(const ChildProcess &Process) {
  size_t Most = 0;
  for (int I = 0; I < 20; ++I) {
    Most = std::max(Most, Process.openDescriptors());
    usleep(50'000);
  }
  ::testing::Test::RecordProperty("open_descriptors", static_cast<int>(Most));
  EXPECT_LE(Most, DescriptorLimit - FreeDescriptors);
}

/// A number of clients of one address, which send and don't read.
class Crowd {
public:
  Crowd(const Address &Target, size_t Count) {
    HostPort Parts = valueOf(parseAddress(Target));
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(Parts.Port);
    inet_pton(AF_INET, Parts.Host.c_str(), &To.sin_addr);
    for (size_t I = 0; I < Count; ++I) {
      int Socket =
          socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      pollfd Client{Socket, POLLOUT, 0};
      // A connection that can't be accepted yet goes on by itself. Without a
      // pause, the system would drop those beyond the backlog for a second.
      if (connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0)
        poll(&Client, 1, ConnectMs);
      Clients.push_back(Client);
    }
    Sent.assign(Count, 0);
  }
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;
  ~Crowd() {
    for (const pollfd &C : Clients)
      close(C.fd);
  }

  /// Has each client send \p Total bytes, which repeat \p Text. Returns when
  /// all have sent them or no client can send any more.
  void send(const std::string &Text, size_t Total) {
    std::string Block;
    while (Block.size() < std::min<size_t>(Total, 256 << 10))
      Block += Text;
    send(std::vector<std::string>(1, Block), Text.size(), Total);
  }

  /// Has each client send one of \p Texts, which are of the same length.
  void sendEach(const std::vector<std::string> &Texts) {
    send(Texts, Texts[0].size(), Texts[0].size());
  }

  /// Returns true once the instance has closed all connections. Each client
  /// sends \p Byte, and \p Seconds limits the wait.
  bool trickleUntilClosed(char Byte, int Seconds) {
    size_t Open = Clients.size();
    for (int Round = 0; Open > 0 && Round < Seconds * 10; ++Round) {
      usleep(100'000);
      Open = 0;
      for (const pollfd &C : Clients)
        Open += ::send(C.fd, &Byte, 1, MSG_NOSIGNAL) == 1 ? 1 : 0;
    }
    return Open == 0;
  }

private:
  // Nothing more can be sent once no socket has taken a byte for this time.
  static constexpr int StalledMs = 1000;
  // Longest pause after each new connection.
  static constexpr int ConnectMs = 20;

  void send(const std::vector<std::string> &Blocks, size_t Period,
            size_t Total) {
    std::fill(Sent.begin(), Sent.end(), 0);
    std::vector<pollfd> Waiting = Clients;
    while (poll(Waiting.data(), Waiting.size(), StalledMs) > 0)
      for (size_t I = 0; I < Waiting.size(); ++I)
        if (Waiting[I].revents &&
            !sendSome(I, Blocks[I % Blocks.size()], Period, Total))
          Waiting[I].fd = -1;
  }

  /// Sends what the socket of client \p I takes. Returns false once there is
  /// nothing left or the connection has ended.
  bool sendSome(size_t I, const std::string &Block, size_t Period,
                size_t Total) {
    size_t Begin = Sent[I] % Period;
    size_t Size = std::min(Block.size() - Begin, Total - Sent[I]);
    ssize_t Count =
        ::send(Clients[I].fd, Block.data() + Begin, Size, MSG_NOSIGNAL);
    if (Count < 0)
      return errno == EAGAIN;
    Sent[I] += static_cast<size_t>(Count);
    return Sent[I] < Total;
  }

  std::vector<pollfd> Clients;
  std::vector<size_t> Sent; ///< Bytes, by client.
};

/// Returns a request without a body to \p Path.
inline std::string get(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: jobs.example\r\n\r\n";
}

} // namespace snipeshunt

#endif // SNIPESHUNT_TESTS_PROCESS_CROWD_H
