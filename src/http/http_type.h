/// \file Requests, replies and failures of HTTP, free of libevent's types.
#ifndef SNIPESHUNT_HTTP_HTTP_TYPE_H
#define SNIPESHUNT_HTTP_HTTP_TYPE_H

#include "core/clock.h"
#include "core/id_type.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace snipeshunt {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A request that the server received.
struct HttpRequest {
  RequestId Id;                             ///< Names the request in `reply`.
  std::string Method;                       ///< For instance `PUT`.
  std::string Path;                         ///< Decoded, without the query.
  std::map<std::string, std::string> Query; ///< Decoded parameters.
  HttpHeaders Headers;                      ///< As received.
  std::string Body;                         ///< Whole body.
  std::string RemoteIp;                     ///< Peer's address.

  /// Value of header \p Name, compared without case; empty when absent.
  std::string header(std::string_view Name) const;
};

/// An answer, sent or received.
struct HttpReply {
  int Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  HttpHeaders Headers;
};

/// A request to send.
struct HttpCall {
  Address Target;
  std::string Method = "GET";
  std::string Path = "/";
  std::string Body;
  HttpHeaders Headers;
  Duration Timeout = std::chrono::seconds(5);
  /// Gets the parts of the reply's body as they arrive; they are then missing
  /// from the reply. Used for replies that have no end, such as watches.
  std::function<void(std::string_view)> OnChunk;
};

/// A call without an answer.
struct HttpFailure {
  /// No byte of the request was handed to a connection, so the other side
  /// can't have seen it.
  bool NothingSent = false;
  std::string Message; ///< What happened.
  bool ConnectionRefused =
      false; ///< The connection could not be opened, at once.
};

using HttpOutcome = std::variant<HttpReply, HttpFailure>;

} // namespace snipeshunt

#endif // SNIPESHUNT_HTTP_HTTP_TYPE_H
