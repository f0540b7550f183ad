/// \file Clients of a soak test that send what no well-behaved client sends.
#include "soak/hostile_clients.h"

#include "core/scope_guard.h"
#include "http/http_address.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <random>

namespace snipeshunt {

namespace {

// All clients together stay below the connections that an instance accepts at a
// time. Otherwise idle connections of ordinary callers are closed, which may
// cost them an answer.
constexpr size_t MaxConnections = 16;
// Longest attack.
constexpr std::chrono::milliseconds MaxAttack{2500};
// Most that a client sends in one attack, on all connections.
constexpr size_t MaxAttackBytes = 64 << 20;
// Size of what is sent at once. A process under attack reads it in many turns.
constexpr size_t BlockSize = 128 << 10;

/// Returns a request whose body has its length stated.
std::string request(const std::string &Method, const std::string &Path,
                    const std::string &Body, const std::string &Headers = "") {
  return Method + " " + Path + " HTTP/1.1\r\nHost: jobs.example\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string jobBody(const std::string &Spec, size_t Tasks) {
  return R"({"spec":"work_ms=100 )" + Spec +
         R"(","best_effort":true,"steps":[{"count":)" + std::to_string(Tasks) +
         R"(,"cpu":)" + std::to_string(HostileTaskCpuMillis) +
         R"(,"estimate_ms":100}]})";
}

/// What a client sends on its connections: `Begin`, then `Rest` again and
/// again.
struct Attack {
  std::string Begin;
  std::string Rest;
};

/// One kind of attack. `Make` gets an unused job id and a random number.
struct AttackKind {
  const char *Name;
  Attack (*Make)(const std::string &Id, uint64_t Draw);
};

const std::string HeaderBegin = "GET /jobs/ HTTP/1.1\r\nHost: jobs.example\r\n";
const std::string ChunkedBegin =
    "POST /jobs/eeee000000000000 HTTP/1.1\r\nHost: jobs.example\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

const std::array AttackKinds{
    AttackKind{"ready",
               [](const std::string &, uint64_t) -> Attack {
                 return {"", request("GET", "/snipeshunt/ready", "")};
               }},
    AttackKind{"metrics",
               [](const std::string &, uint64_t) -> Attack {
                 return {"", request("GET", "/metrics", "")};
               }},
    AttackKind{"no_route",
               [](const std::string &, uint64_t) -> Attack {
                 return {"", request("GET", "/nowhere", "")};
               }},
    AttackKind{"query",
               [](const std::string &Id, uint64_t) -> Attack {
                 return {"", request("GET", "/jobs/" + Id, "")};
               }},
    AttackKind{"cancel",
               [](const std::string &Id, uint64_t) -> Attack {
                 return {"", request("DELETE", "/jobs/" + Id, "")};
               }},
    AttackKind{"malformed_job",
               [](const std::string &Id, uint64_t) -> Attack {
                 return {"", request("POST", "/jobs/" + Id, "{\"steps\":[")};
               }},
    AttackKind{
        "nested_json",
        [](const std::string &Id, uint64_t) -> Attack {
          return {"", request("POST", "/jobs/" + Id, std::string(100000, '['))};
        }},
    AttackKind{"long_id",
               [](const std::string &Id, uint64_t) -> Attack {
                 return {"", request("POST", "/jobs/" + std::string(12000, 'e'),
                                     jobBody(Id, 1))};
               }},
    AttackKind{
        "many_tasks",
        [](const std::string &Id, uint64_t) -> Attack {
          return {request("POST", "/jobs/" + Id, jobBody("", 10000)), ""};
        }},
    AttackKind{"small_tasks",
               [](const std::string &Id, uint64_t) -> Attack {
                 return {request("POST", "/jobs/" + Id,
                                 jobBody(std::string(3900, 'x'), 200)),
                         ""};
               }},
    AttackKind{"large_spec",
               [](const std::string &Id, uint64_t) -> Attack {
                 return {request("POST", "/jobs/" + Id,
                                 jobBody(std::string(250000, 'x'), 100)),
                         ""};
               }},
    AttackKind{"header_lines",
               [](const std::string &, uint64_t) -> Attack {
                 return {HeaderBegin, "a:b\r\n"};
               }},
    AttackKind{"slow_header",
               [](const std::string &, uint64_t) -> Attack {
                 return {HeaderBegin + "a: ", ""};
               }},
    AttackKind{"large_body",
               [](const std::string &Id, uint64_t) -> Attack {
                 return {"POST /jobs/" + Id +
                             " HTTP/1.1\r\nHost: jobs.example\r\n"
                             "Content-Length: 262144\r\n\r\n",
                         std::string(1000, 'x')};
               }},
    AttackKind{"chunk_line",
               [](const std::string &, uint64_t) -> Attack {
                 return {ChunkedBegin, "1"};
               }},
    AttackKind{"chunks",
               [](const std::string &, uint64_t) -> Attack {
                 return {ChunkedBegin, "1\r\nx\r\n"};
               }},
    AttackKind{"random",
               [](const std::string &, uint64_t Draw) -> Attack {
                 std::mt19937_64 Random(Draw);
                 std::string Bytes(4096, '\0');
                 for (char &Byte : Bytes)
                   Byte = static_cast<char>(Random());
                 return {"", Bytes};
               }},
    AttackKind{"idle",
               [](const std::string &, uint64_t) -> Attack {
                 return {"", ""};
               }},
};

/// A connection of an attack.
struct Connection {
  int Socket = -1;
  size_t Sent = 0;
  std::string Begin; ///< With an id of its own.
};

} // namespace

class HostileClients::Client {
public:
  Client(const CellFleet &F, size_t Number, uint64_t Seed)
      : F(F), Number(Number), Random(Seed) {}

  void run(const std::atomic<bool> &Stopping) {
    while (!Stopping)
      attack(Stopping);
  }

  std::array<size_t, AttackKinds.size()> Counts{};

private:
  std::string nextId() {
    char Id[17];
    snprintf(Id, sizeof(Id), "%s%04zx%08zx", HostileIdPrefix.data(), Number,
             ++Ids);
    return Id;
  }

  Address target() {
    size_t I = Random() % F.instances();
    switch (Random() % 6) {
    case 0:
      return F.readiness(I);
    case 1:
      return F.metricsAddress(I);
    default:
      return F.front(I);
    }
  }

  void attack(const std::atomic<bool> &Stopping) {
    size_t Kind = Random() % AttackKinds.size();
    ++Counts[Kind];
    bool Reads = Random() % 2 == 0;
    bool Resets = Random() % 2 == 0;
    uint64_t Draw = Random();
    Attack What = AttackKinds[Kind].Make(nextId(), Draw);
    Block.clear();
    while (!What.Rest.empty() && Block.size() < BlockSize)
      Block += What.Rest;
    HostPort To = valueOf(parseAddress(target()));
    std::vector<Connection> Open(1 + Random() % MaxConnections);
    for (Connection &C : Open) {
      C.Begin = AttackKinds[Kind].Make(nextId(), Draw).Begin;
      C.Socket = connectTo(To);
    }
    ScopeGuard Close([&] {
      for (const Connection &C : Open)
        closeSocket(C.Socket, Resets);
    });
    auto End = std::chrono::steady_clock::now() +
               std::chrono::milliseconds(100 + Random() % MaxAttack.count());
    size_t Total = 0;
    while (!Stopping && std::chrono::steady_clock::now() < End)
      Total += exchange(Open, Reads, Total < MaxAttackBytes);
  }

  static int connectTo(const HostPort &To) {
    int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_port = htons(To.Port);
    inet_pton(AF_INET, To.Host.c_str(), &At.sin_addr);
    // A refused connection shows when the client sends.
    (void)connect(Socket, reinterpret_cast<sockaddr *>(&At), sizeof(At));
    return Socket;
  }

  static void closeSocket(int Socket, bool Reset) {
    linger Abort{1, 0};
    if (Reset)
      setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
    close(Socket);
  }

  /// Sends and reads what the sockets take and have. Returns the bytes sent.
  size_t exchange(std::vector<Connection> &Open, bool Reads, bool Sends) {
    std::vector<pollfd> Events;
    for (const Connection &C : Open) {
      bool HasMore = C.Sent < C.Begin.size() || !Block.empty();
      Events.push_back({C.Socket,
                        static_cast<short>((Reads ? POLLIN : 0) |
                                           (Sends && HasMore ? POLLOUT : 0)),
                        0});
    }
    poll(Events.data(), Events.size(), /*timeout=*/50);
    size_t Sent = 0;
    bool AnyRead = false;
    for (size_t I = 0; I < Open.size(); ++I) {
      if (Events[I].revents & POLLIN)
        AnyRead |= discard(Open[I].Socket);
      if (Events[I].revents & POLLOUT)
        Sent += sendSome(Open[I]);
    }
    // Connections that were closed would have `poll` return at once for ever.
    if (!AnyRead && Sent == 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    return Sent;
  }

  static bool discard(int Socket) {
    char Bytes[16 << 10];
    return recv(Socket, Bytes, sizeof(Bytes), 0) > 0;
  }

  size_t sendSome(Connection &C) const {
    std::string_view Next =
        C.Sent < C.Begin.size()
            ? std::string_view(C.Begin).substr(C.Sent)
            : std::string_view(Block).substr(
                  Block.empty() ? 0 : (C.Sent - C.Begin.size()) % Block.size());
    ssize_t Count = send(C.Socket, Next.data(), Next.size(), MSG_NOSIGNAL);
    if (Count <= 0)
      return 0;
    C.Sent += static_cast<size_t>(Count);
    return static_cast<size_t>(Count);
  }

  const CellFleet &F;
  size_t Number;
  std::mt19937_64 Random;
  size_t Ids = 0;
  std::string Block; ///< What the present attack repeats.
};

HostileClients::HostileClients(const CellFleet &Target, size_t Count,
                               uint64_t Seed) {
  for (size_t I = 0; I < Count; ++I)
    // The factor keeps the seeds of consecutive runs distinct.
    All.push_back(std::make_unique<Client>(Target, I, Seed * 1000033 + I));
  for (const std::unique_ptr<Client> &One : All)
    Threads.emplace_back([this, &One] { One->run(Stopping); });
}

HostileClients::~HostileClients() { stop(); }

void HostileClients::stop() {
  Stopping = true;
  for (std::thread &T : Threads)
    T.join();
  Threads.clear();
}

std::string HostileClients::report() const {
  std::string Text = "attacks:";
  for (size_t Kind = 0; Kind < AttackKinds.size(); ++Kind) {
    size_t Count = 0;
    for (const std::unique_ptr<Client> &One : All)
      Count += One->Counts[Kind];
    Text +=
        std::string(" ") + AttackKinds[Kind].Name + "=" + std::to_string(Count);
  }
  return Text + "\n";
}

} // namespace snipeshunt
