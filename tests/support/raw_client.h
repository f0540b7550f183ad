/// \file Client of tests that sends any bytes.
#ifndef SNIPESHUNT_TESTS_SUPPORT_RAW_CLIENT_H
#define SNIPESHUNT_TESTS_SUPPORT_RAW_CLIENT_H

#include "http/http_address.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

namespace snipeshunt::testing {

/// A connection on which any bytes can be sent.
class RawClient {
public:
  explicit RawClient(const Address &Target)
      : Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    HostPort Parts = valueOf(parseAddress(Target));
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(Parts.Port);
    inet_pton(AF_INET, Parts.Host.c_str(), &To.sin_addr);
    EXPECT_EQ(connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To)),
              0);
  }
  RawClient(const RawClient &) = delete;
  RawClient &operator=(const RawClient &) = delete;
  ~RawClient() { close(Socket); }

  void send(std::string_view Bytes) const {
    EXPECT_EQ(write(Socket, Bytes.data(), Bytes.size()),
              static_cast<ssize_t>(Bytes.size()));
  }
  /// Returns the bytes that have arrived since the last call.
  std::string received() const {
    char Bytes[4096];
    ssize_t Count = recv(Socket, Bytes, sizeof(Bytes), MSG_DONTWAIT);
    return Count > 0 ? std::string(Bytes, static_cast<size_t>(Count))
                     : std::string();
  }
  /// Has the connection end with a reset.
  void resetOnClose() const {
    linger Abort{1, 0};
    setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
  }

private:
  int Socket;
};

} // namespace snipeshunt::testing

#endif // SNIPESHUNT_TESTS_SUPPORT_RAW_CLIENT_H
