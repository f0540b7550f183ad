/// \file HTTP server for tests that counts connections and can fall silent.
#ifndef SNIPESHUNT_TESTS_SUPPORT_COUNTING_SERVER_H
#define SNIPESHUNT_TESTS_SUPPORT_COUNTING_SERVER_H

#include "core/id_type.h"
#include "http/event_loop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <arpa/inet.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snipeshunt::testing {

/// Answers each request with an empty body, and counts connections. A request
/// that contains `/lost` gets no answer, one that contains `/late` gets it with
/// `answerLate`.
class CountingServer {
public:
  explicit CountingServer(EventLoop &Loop) : Loop(Loop) {
    sockaddr_in Local{};
    Local.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &Local.sin_addr);
    Listener = evconnlistener_new_bind(
        Loop.base(), handleAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, -1,
        reinterpret_cast<sockaddr *>(&Local), sizeof(Local));
  }
  CountingServer(const CountingServer &) = delete;
  CountingServer &operator=(const CountingServer &) = delete;
  ~CountingServer() {
    for (bufferevent *C : Connections)
      bufferevent_free(C);
    evconnlistener_free(Listener);
  }

  Address endpoint() const {
    sockaddr_in Local{};
    socklen_t Size = sizeof(Local);
    getsockname(evconnlistener_get_fd(Listener),
                reinterpret_cast<sockaddr *>(&Local), &Size);
    return {"127.0.0.1:" + std::to_string(ntohs(Local.sin_port))};
  }
  size_t accepted() const { return Connections.size(); }
  size_t requests() const { return Requests; }
  /// Makes the open connections silent; new ones work.
  void silence() {
    for (bufferevent *C : Connections)
      bufferevent_disable(C, EV_READ);
  }
  void answerLate() {
    for (bufferevent *C : std::exchange(Late, {}))
      answer(C);
  }

private:
  static void answer(bufferevent *C) {
    constexpr std::string_view Reply =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    bufferevent_write(C, Reply.data(), Reply.size());
  }
  static void handleAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                           int, void *Arg) {
    auto *Self = static_cast<CountingServer *>(Arg);
    bufferevent *C = bufferevent_socket_new(Self->Loop.base(), Socket,
                                            BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(C, handleRead, nullptr, nullptr, Self);
    bufferevent_enable(C, EV_READ | EV_WRITE);
    Self->Connections.push_back(C);
  }
  /// A request without a body arrives in one piece over loopback.
  static void handleRead(bufferevent *C, void *Arg) {
    auto *Self = static_cast<CountingServer *>(Arg);
    ++Self->Requests;
    evbuffer *Input = bufferevent_get_input(C);
    std::string Text(evbuffer_get_length(Input), '\0');
    evbuffer_remove(Input, Text.data(), Text.size());
    if (Text.find("/late") != std::string::npos)
      Self->Late.push_back(C);
    else if (Text.find("/lost") == std::string::npos)
      answer(C);
  }

  EventLoop &Loop;
  evconnlistener *Listener;
  std::vector<bufferevent *> Connections;
  std::vector<bufferevent *> Late; ///< Connections of `/late` requests.
  size_t Requests = 0;
};

} // namespace snipeshunt::testing

#endif // SNIPESHUNT_TESTS_SUPPORT_COUNTING_SERVER_H
