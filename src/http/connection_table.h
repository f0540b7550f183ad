/// \file Incoming connections of HTTP servers, and limits on what they hold.
#ifndef SNIPESHUNT_HTTP_CONNECTION_TABLE_H
#define SNIPESHUNT_HTTP_CONNECTION_TABLE_H

#include "http/descriptor_func.h"
#include "http/event_loop.h"
#include "http/http_type.h"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <list>

struct bufferevent;
struct evbuffer_cb_entry;
struct evhttp_connection;
struct evhttp_request;

namespace snipeshunt {

class HttpServer;

/// Limits over all connections of a table. The defaults are those of a process
/// on a machine of 120 MB that has one server.
struct ConnectionLimits {
  /// Connections beyond which the one that has been without a request for the
  /// longest time is closed for each new one.
  size_t MaxConnections = connectionDescriptors() / 2;
  /// Bytes that all connections together may hold. Beyond this, connections
  /// that hold more than an equal share of it are closed, and requests that do
  /// are rejected. Those below their share are served, so that up to
  /// twice this value can be held.
  size_t MaxBytes = 24 << 20;
};

/// What limits have ended.
struct ConnectionCounts {
  uint64_t HeaderTimeouts = 0; ///< Closed because a header took too long.
  uint64_t OutOfRoom = 0;      ///< Closed for newer connections.
  uint64_t OutOfMemory = 0;    ///< Closed because they held too many bytes.
  uint64_t Rejected = 0;       ///< Requests rejected for their size.
};

/// Finds the end of a header in the bytes as they arrive.
class HeaderScan {
public:
  /// Scans further bytes. Returns the number of lines that end in them, up to
  /// the end of the header.
  size_t add(const char *Bytes, size_t Size);
  /// Returns true if the empty line after the header has been seen.
  bool done() const { return Done; }

private:
  size_t LineLength = 0; ///< Bytes of the last line so far.
  char LineStart = 0;    ///< Its first byte.
  bool Done = false;
};

/// A connection of an `HttpServer`.
struct HttpConnection {
  using List = std::list<HttpConnection *>;

  HttpServer *Server = nullptr;
  evhttp_connection *Connection = nullptr;
  bufferevent *Buffers = nullptr;
  evbuffer_cb_entry *InputCallback = nullptr;
  evhttp_request *Request = nullptr; ///< Not yet answered; null if none is.
  RequestId Id;                      ///< Of that request.
  HeaderScan Scan;                   ///< Of the next request's header.
  uint64_t HeaderTick = 0; ///< When that header began; 0 outside of a header.
  size_t Held = 0;         ///< Estimate of the memory that it occupies.
  bool Limited = false;    ///< Little is read beyond the request.
  bool Writing = false;    ///< The answer has not been written.
  bool Dropped = false;    ///< Will be closed; nothing more is read.
  List *Owner = nullptr;   ///< List of the table that it is in.
  List::iterator Position; ///< In that list.
};

/// The connections of one or more servers, which share limits. Must outlive the
/// servers.
class ConnectionTable {
public:
  ConnectionTable(EventLoop &Loop, ConnectionLimits Limits);
  ConnectionTable(const ConnectionTable &) = delete;
  ConnectionTable &operator=(const ConnectionTable &) = delete;

  /// Adds a connection without a request. Closes another one if there is no
  /// room for it.
  void add(HttpConnection &C);
  void remove(HttpConnection &C);
  /// Records that \p C has a request that is to be answered. It is not closed
  /// by a limit until `setWaiting`.
  void setBusy(HttpConnection &C);
  /// Records that the request of \p C has been answered.
  void setWaiting(HttpConnection &C);
  /// Records that \p C, which has no request, will be closed.
  void setDropped(HttpConnection &C);
  /// Replaces the bytes that \p C holds.
  void setHeld(HttpConnection &C, size_t Bytes) {
    TotalHeld += Bytes - C.Held;
    C.Held = Bytes;
  }
  /// Closes connections while all hold too much. Called after `setHeld` with a
  /// higher value for \p C.
  void enforceBytes(HttpConnection &C) {
    if (TotalHeld + DroppedHeld > Limits.MaxBytes)
      closeAboveShare(C);
  }
  /// Closes \p C, which holds more than any request needs.
  void closeForMemory(HttpConnection &C);
  /// Returns true if a request that holds \p Bytes more must be rejected.
  bool mustReject(size_t Bytes) const {
    return Bytes > share() && TotalHeld + Bytes > Limits.MaxBytes;
  }
  /// Records the begin of a header.
  void beginHeader(HttpConnection &C);
  /// Records the end of a header; does nothing outside of one.
  void endHeader(HttpConnection &C);
  /// Returns true while no connection should be accepted: there is no room, and
  /// nearly all connections have a request.
  bool full() const {
    return Count >= Limits.MaxConnections && Waiting.size() <= minWaiting();
  }

  size_t connections() const { return Count; }
  size_t bytes() const { return TotalHeld; }
  const ConnectionLimits &limits() const { return Limits; }
  /// Takes effect with the next connection or the next bytes.
  void setLimits(const ConnectionLimits &New) { Limits = New; }
  const ConnectionCounts &counts() const { return Counts; }
  /// Records that a request was rejected after `mustReject`.
  void countRejected() { ++Counts.Rejected; }
  /// Emitted periodically, for servers that wait until there is room.
  sigc::signal<void()> Checked;

private:
  /// Bytes that each connection may hold even if all together hold too many.
  size_t share() const { return Limits.MaxBytes / (Count > 0 ? Count : 1); }
  /// Connections without a request that are not closed for new ones, because
  /// their request may be on its way.
  size_t minWaiting() const;
  void moveTo(HttpConnection::List &To, HttpConnection &C);
  void closeAboveShare(HttpConnection &Last);
  /// Closes connections whose header takes too long.
  void checkHeaders();

  ConnectionLimits Limits;
  /// Connections without an unanswered request, by the time of the last answer
  /// or of their begin.
  HttpConnection::List Waiting;
  HttpConnection::List Others; ///< All other connections.
  size_t Count = 0;            ///< Of all connections.
  size_t TotalHeld = 0;        ///< Held by all connections.
  size_t DroppedHeld = 0;      ///< Held by dropped ones, which are not counted.
  size_t OpenHeaders = 0;      ///< Connections with a `HeaderTick`.
  uint64_t Tick = 1;           ///< Number of the current check.
  ConnectionCounts Counts;
  Timer CheckTimer;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_HTTP_CONNECTION_TABLE_H
