/// \file Case: a cancellation whose connection is reset is repeated at another
/// node. Checks the rule UNASKED.
#include "fleet.hpp"

using namespace review;

namespace {

// From the sheet of rawahel-ops.
constexpr int64_t CancelMs = 3000;
constexpr int64_t AckTimeoutMs = 4000;
constexpr int64_t RetryMs = 1300;
constexpr int64_t DeadlineMs = 30000;
constexpr char JobId[] = "5c0e7a21d94b36f8";

/// Forwards connections to a node, or resets each one after its first bytes.
class Ingress {
public:
  Ingress(const std::string &Ip, Endpoint Node, bool Resets)
      : Node(std::move(Node)), Resets(Resets) {
    Bound = freeAddresses(Ip, 1)[0];
    Listener = listenOn(Ip, ntohs(socketAddress(Bound).sin_port));
    Worker = std::thread([this] { serve(); });
  }
  ~Ingress() {
    Stopped = true;
    Worker.join();
    close(Listener);
  }
  const Endpoint &address() const { return Bound; }

private:
  void serve() {
    while (!Stopped) {
      pollfd P{Listener, POLLIN, 0};
      if (poll(&P, 1, 20) <= 0)
        continue;
      int Client = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Resets)
        reset(Client);
      else
        forward(Client);
      close(Client);
    }
  }

  static void reset(int Client) {
    char Buffer[4096];
    (void)!recv(Client, Buffer, sizeof(Buffer), 0);
    linger Now{1, 0};
    setsockopt(Client, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
  }

  void forward(int Client) {
    int Server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in A = socketAddress(Node);
    bool Open =
        connect(Server, reinterpret_cast<sockaddr *>(&A), sizeof(A)) == 0;
    while (Open && !Stopped) {
      pollfd P[2] = {{Client, POLLIN, 0}, {Server, POLLIN, 0}};
      if (poll(P, 2, 20) <= 0)
        continue;
      for (int I = 0; I < 2; ++I) {
        if (!P[I].revents)
          continue;
        char Buffer[4096];
        ssize_t Size = recv(P[I].fd, Buffer, sizeof(Buffer), 0);
        Open = Open && Size > 0 &&
               send(P[1 - I].fd, Buffer, static_cast<size_t>(Size),
                    MSG_NOSIGNAL) == Size;
      }
    }
    close(Server);
  }

  Endpoint Node;
  bool Resets;
  int Listener = -1;
  Endpoint Bound;
  std::atomic<bool> Stopped{false};
  std::thread Worker;
};

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 2)
    return CouldNotRun;
  Record Out;
  Fleet Instances(9, 3, std::vector<std::string>(8, "a"));
  if (!Instances.waitUntilReady())
    return CouldNotRun;
  sleepMs(3500);
  // Nodes 0 and 3 are in the client's zone.
  const int Taker = 0;
  const int Other = 3;
  Job J;
  J.Id = JobId;
  J.Tasks = 90;
  J.WorkMs = 1000;
  Answer Submitted;
  std::thread Caller([&] {
    Submitted = recorded(Out, "client", Instances.front(Taker), "POST", J.Id,
                         J.body(), DeadlineMs);
  });
  sleepMs(1000);
  Answer Cancelled;
  int64_t FirstSent = nowMs();
  {
    Ingress ToTaker(Instances.prefix() + "2", Instances.front(Taker),
                    withTrouble());
    Cancelled =
        recorded(Out, "client", ToTaker.address(), "DELETE", J.Id, "", 2000);
  }
  if (Cancelled.Status == 0) {
    sleepMs(RetryMs);
    Cancelled = recorded(Out, "client (retry at another node)",
                         Instances.front(Other), "DELETE", J.Id, "", 2000);
  }
  Caller.join();
  sleepMs(300);

  std::vector<RunEvent> Events = Instances.events();
  int Starts = 0;
  int Late = 0;
  int LateBySending = 0;
  for (const RunEvent &E : Events) {
    if (E.What != "start" || !E.isOf(J.Id))
      continue;
    ++Starts;
    Late += E.At > Cancelled.Ended + CancelMs;
    LateBySending += E.At > FirstSent + AckTimeoutMs + CancelMs;
  }
  bool Acknowledged = Cancelled.Status / 100 == 2 || Cancelled.Status == 410;
  bool Ran = Starts > 0 && Acknowledged;
  Verdict Result = !Ran ? CouldNotRun : Late > 0 ? Broken : Held;
  Out.write(std::string(Argv[1]) + "/record.txt", Events,
            "DELETE answered " + std::to_string(Cancelled.Status) +
                ", POST answered " + std::to_string(Submitted.Status) + " " +
                Submitted.Body + ", starts " + std::to_string(Starts) +
                ", of these later than cancel_ms after the answer to DELETE " +
                std::to_string(Late) +
                ", later than ack_timeout_ms + cancel_ms after its first "
                "sending " +
                std::to_string(LateBySending) + ": exit " +
                std::to_string(Result));
  return Result;
}
