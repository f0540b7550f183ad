/// \file Relay for connections between the processes of a case. Each argument
/// is LISTEN=TARGET. The command `silence` on standard input makes the open
/// connections silent for good, their ends included; new ones work.
#include "fleet.hpp"

using namespace review;

namespace {

struct Route {
  int Listener = -1;
  Endpoint Target;
};

struct Link {
  int Ends[2] = {-1, -1};
  bool Silent = false;
};

/// Moves what has arrived at one end of \p L to the other. Returns false if the
/// link has ended.
bool move(Link &L, int From) {
  char Buffer[16384];
  ssize_t Size = recv(L.Ends[From], Buffer, sizeof(Buffer), 0);
  if (L.Silent) {
    if (Size <= 0) {
      // The other end does not learn of it.
      close(L.Ends[From]);
      L.Ends[From] = -1;
    }
    return true;
  }
  for (ssize_t At = 0; At < Size;) {
    ssize_t Sent = send(L.Ends[1 - From], Buffer + At,
                        static_cast<size_t>(Size - At), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    At += Sent;
  }
  return Size > 0;
}

} // namespace

int main(int Argc, char **Argv) {
  std::vector<Route> Routes;
  for (int I = 1; I < Argc; ++I) {
    std::string Text = Argv[I];
    size_t Equals = Text.find('=');
    Endpoint Listen = Text.substr(0, Equals);
    Route R;
    R.Listener = listenOn(Listen.substr(0, Listen.find(':')),
                          ntohs(socketAddress(Listen).sin_port));
    R.Target = Text.substr(Equals + 1);
    if (R.Listener < 0)
      return 2;
    Routes.push_back(R);
  }
  std::vector<Link> Links;
  for (;;) {
    std::vector<pollfd> Polled = {{STDIN_FILENO, POLLIN, 0}};
    for (const Route &R : Routes)
      Polled.push_back({R.Listener, POLLIN, 0});
    for (const Link &L : Links)
      for (int End : L.Ends)
        Polled.push_back({End, POLLIN, 0});
    if (poll(Polled.data(), Polled.size(), -1) < 0)
      return 2;
    size_t At = 1 + Routes.size();
    for (Link &L : Links) {
      bool Open = true;
      for (int I = 0; I < 2; ++I)
        if (Polled[At++].revents && Open)
          Open = move(L, I);
      if (Open)
        continue;
      for (int &End : L.Ends) {
        close(End);
        End = -1;
      }
    }
    for (size_t I = 0; I < Routes.size(); ++I) {
      if (!Polled[1 + I].revents)
        continue;
      Link L;
      L.Ends[0] = accept4(Routes[I].Listener, nullptr, nullptr, SOCK_CLOEXEC);
      L.Ends[1] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in A = socketAddress(Routes[I].Target);
      if (connect(L.Ends[1], reinterpret_cast<sockaddr *>(&A), sizeof(A)) ==
          0) {
        Links.push_back(L);
        continue;
      }
      linger Now{1, 0};
      setsockopt(L.Ends[0], SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
      close(L.Ends[0]);
      close(L.Ends[1]);
    }
    if (Polled[0].revents) {
      char Buffer[256];
      if (read(STDIN_FILENO, Buffer, sizeof(Buffer)) <= 0)
        return 0;
      for (Link &L : Links)
        L.Silent = true;
    }
    for (size_t I = 0; I < Links.size();)
      if (Links[I].Ends[0] < 0 && Links[I].Ends[1] < 0)
        Links.erase(Links.begin() + static_cast<long>(I));
      else
        ++I;
  }
}
