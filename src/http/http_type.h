/// \file HTTP requests, replies and failures, independent of libevent.
#ifndef SNIPESHUNT_HTTP_HTTP_TYPE_H
#define SNIPESHUNT_HTTP_HTTP_TYPE_H

#include "core/clock.h"
#include "core/id_type.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace snipeshunt {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A request that the server received.
struct HttpRequest {
  RequestId Id;                             ///< Argument of `reply`.
  std::string Method;                       ///< For instance `PUT`.
  std::string Path;                         ///< Decoded, without the query.
  std::map<std::string, std::string> Query; ///< Decoded parameters.
  HttpHeaders Headers;                      ///< Names and values as received.
  std::string Body;                         ///< Complete body.
  std::string RemoteIp;                     ///< IP of the client.

  /// Returns the value of header \p Name, which is compared without regard to
  /// case, or an empty string.
  std::string header(std::string_view Name) const;
};

/// A reply that was received or is to be sent.
struct HttpReply {
  int Status = 200; ///< HTTP status code.
  std::string Body;
  std::string ContentType = "application/json"; ///< Used only when sending.
  HttpHeaders Headers; ///< Without `Content-Type` when sending.
  /// The call was sent with `HttpCall::OtherBody`. Unused when sending.
  bool OtherBodySent = false;
};

/// A process of a server, and which connections are known to lead to it. An
/// open connection never leads to another process than at first, so it is
/// enough to know the process once.
struct HttpProcess {
  /// Identifies the process. Connections on which a check with the same value
  /// was passed, or `HttpCall::ProcessOf` has returned it, lead to it.
  int64_t Process = 0;
  /// Connections that have been open since then, or longer, lead to it.
  SteadyTime KnownAt{};
};

/// Restricts a call to connections that lead to one process of the server.
struct HttpCheck : HttpProcess {
  /// POST request that is sent before the call on all other connections.
  std::string Path;
  std::string Body;
  /// Returns true if the process is the one that has sent this reply to the
  /// request. Otherwise the call is not sent.
  std::function<bool(const HttpReply &)> Accepts;
};

/// The body of a call on connections that are not known to lead to the process.
struct HttpOtherBody : HttpProcess {
  std::string Body;
};

/// A request to send.
struct HttpCall {
  Address Target; ///< Server to connect to.
  std::string Method = "GET";
  std::string Path = "/"; ///< Encoded, with the query.
  std::string Body;
  /// Sent in addition to `Host` and, with a body, `Content-Type`.
  HttpHeaders Headers;
  /// Time until the call fails, from when a connection takes it. Time in which
  /// the process was too busy to read the reply does not count, nor does the
  /// time in which the reply arrives; the call lasts at most twice as long.
  Duration Timeout = std::chrono::seconds(5);
  /// Receives the parts of the reply's body as they arrive. They are then not
  /// in the reply. Used for replies that have no end, such as watches.
  std::function<void(std::string_view)> OnChunk;
  /// Which process of the server may receive the call; any if it is unset. The
  /// time-out includes that of the check.
  std::optional<HttpCheck> Check;
  /// Sent in place of `Body` on connections that are not known to lead to
  /// `OtherBody->Process`.
  std::optional<HttpOtherBody> OtherBody;
  /// Returns the process that has sent the reply, if the reply states it. Used
  /// only while the process that a connection leads to is not known.
  std::function<std::optional<int64_t>(const HttpReply &)> ProcessOf;
};

/// Why a call has no reply.
struct HttpFailure {
  /// No byte of the request was written to a connection, so the other side
  /// can't have received it.
  bool NothingSent = false;
  std::string Message; ///< What happened.
  /// When the call was sent, if it got no reply within `HttpCall::Timeout`.
  std::optional<SteadyTime> UnansweredSince;
  /// The connection could not be opened, and this was known before the timeout.
  bool ConnectionRefused = false;
  /// Time for which the written request waited until the other side closed the
  /// connection; unset if the call ended in another way.
  std::optional<Duration> LostAfter;
  /// The reply to the check of the call, if it was not accepted.
  std::optional<HttpReply> CheckReply;
};

using HttpOutcome = std::variant<HttpReply, HttpFailure>;

} // namespace snipeshunt

#endif // SNIPESHUNT_HTTP_HTTP_TYPE_H
