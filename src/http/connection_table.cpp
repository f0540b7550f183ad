/// \file Incoming connections of HTTP servers, and limits on what they hold.
#include "http/connection_table.h"

#include "http/http_server.h"

#include <algorithm>
#include <cstring>

namespace snipeshunt {

namespace {

// Period of the checks of header time-outs, which are late by at most this.
// Each check costs one wake-up.
constexpr std::chrono::milliseconds CheckPeriod{250};
// Largest `minWaiting`; about what is accepted between two turns of the loop.
constexpr size_t MaxMinWaiting = 32;

} // namespace

size_t HeaderScan::add(const char *Bytes, size_t Size) {
  size_t Lines = 0;
  const char *End = Bytes + Size;
  while (Bytes < End && !Done) {
    if (LineLength == 0)
      LineStart = *Bytes;
    const void *Found = memchr(Bytes, '\n', static_cast<size_t>(End - Bytes));
    if (!Found) {
      LineLength += static_cast<size_t>(End - Bytes);
      break;
    }
    const char *LineEnd = static_cast<const char *>(Found);
    LineLength += static_cast<size_t>(LineEnd - Bytes);
    Done = LineLength == 0 || (LineLength == 1 && LineStart == '\r');
    LineLength = 0;
    Bytes = LineEnd + 1;
    ++Lines;
  }
  return Lines;
}

ConnectionTable::ConnectionTable(EventLoop &Loop, ConnectionLimits Limits)
    : Limits(Limits), CheckTimer(Loop, [this] {
        checkHeaders();
        Checked.emit();
      }) {
  CheckTimer.startPeriodic(CheckPeriod);
}

size_t ConnectionTable::minWaiting() const {
  return std::min(MaxMinWaiting, Limits.MaxConnections / 4);
}

void ConnectionTable::moveTo(HttpConnection::List &To, HttpConnection &C) {
  To.splice(To.end(), *C.Owner, C.Position);
  C.Owner = &To;
}

void ConnectionTable::add(HttpConnection &C) {
  C.Owner = &Waiting;
  C.Position = Waiting.insert(Waiting.end(), &C);
  ++Count;
  // Dropped connections are counted until they are closed, so that one is
  // dropped for each new one.
  if (Count > Limits.MaxConnections && Waiting.size() > minWaiting() + 1) {
    ++Counts.OutOfRoom;
    Waiting.front()->Server->close(*Waiting.front());
  }
}

void ConnectionTable::remove(HttpConnection &C) {
  endHeader(C);
  (C.Dropped ? DroppedHeld : TotalHeld) -= C.Held;
  C.Owner->erase(C.Position);
  --Count;
}

void ConnectionTable::setBusy(HttpConnection &C) {
  endHeader(C);
  moveTo(Others, C);
}

void ConnectionTable::setWaiting(HttpConnection &C) { moveTo(Waiting, C); }

void ConnectionTable::setDropped(HttpConnection &C) {
  endHeader(C);
  TotalHeld -= C.Held;
  DroppedHeld += C.Held;
  C.Dropped = true;
  moveTo(Others, C);
}

void ConnectionTable::beginHeader(HttpConnection &C) {
  C.HeaderTick = Tick;
  ++OpenHeaders;
}

void ConnectionTable::endHeader(HttpConnection &C) {
  if (C.HeaderTick == 0)
    return;
  C.HeaderTick = 0;
  --OpenHeaders;
}

void ConnectionTable::closeAboveShare(HttpConnection &Last) {
  size_t Share = share();
  // The oldest come first: a request that is served arrives within
  // milliseconds.
  for (auto It = Waiting.begin();
       It != Waiting.end() && TotalHeld > Limits.MaxBytes;) {
    HttpConnection &C = **It++;
    if (C.Held <= Share)
      continue;
    closeForMemory(C);
  }
  // What was closed is freed only in the next turn of the event loop. Until
  // then the memory of further requests would add to it.
  if (!Last.Dropped && Last.Held > Share &&
      TotalHeld + DroppedHeld > Limits.MaxBytes)
    closeForMemory(Last);
}

void ConnectionTable::closeForMemory(HttpConnection &C) {
  // The connection of a request that is being served reads little.
  if (C.Owner != &Waiting)
    return;
  ++Counts.OutOfMemory;
  C.Server->close(C);
}

void ConnectionTable::checkHeaders() {
  ++Tick;
  if (OpenHeaders == 0)
    return;
  for (auto It = Waiting.begin(); It != Waiting.end();) {
    HttpConnection &C = **It++;
    // Checks are counted, not time, so that a pause of this process, in which
    // it reads nothing, is not taken for a slow client.
    if (C.HeaderTick == 0 || (Tick - C.HeaderTick - 1) * CheckPeriod <
                                 C.Server->limits().HeaderTimeout)
      continue;
    ++Counts.HeaderTimeouts;
    C.Server->close(C);
  }
}

} // namespace snipeshunt
