/// \file Server of tests whose answers have no end.
#ifndef SNIPESHUNT_TESTS_SUPPORT_ENDLESS_SERVER_H
#define SNIPESHUNT_TESTS_SUPPORT_ENDLESS_SERVER_H

#include "core/id_type.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <map>
#include <string>
#include <string_view>
#include <thread>

namespace snipeshunt::testing {

/// Sends each client the same bytes, whatever it sends, in a thread of its own.
class EndlessServer {
public:
  /// Sends \p Begin, then repeats \p Rest until \p MaxBytes are sent on a
  /// connection, which then stays open.
  EndlessServer(const std::string &Ip, std::string Begin, std::string_view Rest,
                size_t MaxBytes)
      : Begin(std::move(Begin)), MaxBytes(MaxBytes) {
    while (Block.size() < BlockSize)
      Block += Rest;
    sockaddr_in At{};
    At.sin_family = AF_INET;
    inet_pton(AF_INET, Ip.c_str(), &At.sin_addr);
    socklen_t Size = sizeof(At);
    (void)bind(Listener, reinterpret_cast<sockaddr *>(&At), Size);
    listen(Listener, SOMAXCONN);
    getsockname(Listener, reinterpret_cast<sockaddr *>(&At), &Size);
    Bound.Value = Ip + ":" + std::to_string(ntohs(At.sin_port));
    Thread = std::thread([this] { run(); });
  }
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;
  ~EndlessServer() {
    Stopping = true;
    Thread.join();
    for (const auto &[Client, Sent] : Clients)
      close(Client);
    close(Listener);
  }

  const Address &address() const { return Bound; }

private:
  static constexpr size_t BlockSize = 64 << 10;

  void run() {
    while (!Stopping) {
      std::vector<pollfd> Events{{Listener, POLLIN, 0}};
      for (const auto &[Client, Sent] : Clients)
        Events.push_back(
            {Client, static_cast<short>(Sent < MaxBytes ? POLLOUT : 0), 0});
      poll(Events.data(), Events.size(), /*timeout=*/20);
      if (Events[0].revents)
        Clients.emplace(
            accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC),
            0);
      for (size_t I = 1; I < Events.size(); ++I)
        if (Events[I].revents)
          serve(Events[I].fd);
    }
  }

  void serve(int Client) {
    size_t &Sent = Clients[Client];
    std::string_view Next = Sent < Begin.size()
                                ? std::string_view(Begin).substr(Sent)
                                : std::string_view(Block).substr(
                                      (Sent - Begin.size()) % Block.size());
    ssize_t Count = send(Client, Next.data(), Next.size(), MSG_NOSIGNAL);
    if (Count > 0) {
      Sent += static_cast<size_t>(Count);
      return;
    }
    close(Client);
    Clients.erase(Client);
  }

  std::string Begin;
  std::string Block;
  size_t MaxBytes;
  int Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  Address Bound;
  std::map<int, size_t> Clients; ///< Bytes sent, by socket.
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace snipeshunt::testing

#endif // SNIPESHUNT_TESTS_SUPPORT_ENDLESS_SERVER_H
