/* Model of the stop of a job whose entry instance has failed (src/sender,
 * platform/upstream_client): one sender, one upstream, and the sender's
 * connections for orders, any of which may have fallen silent before the stop.
 * Times are in milliseconds after the last ping was sent, which is at the
 * latest when the caller's connection breaks.
 *
 * Checked: the run has ended, with a reserve, when the caller's next submission
 * may be started, whichever connections are silent and however late the ticks.
 *
 * Each mechanism can be disabled by a macro; the check must then fail:
 *   NO_CLOSE   a time-out leaves the other idle connections open
 *   NO_REPEAT  a stop without an answer is not repeated at once
 */
#define HOP 3             /* between data centres; also to an upstream */
#define ENTRY_TIMEOUT 1000
#define TICK 20           /* period of the sender's ticks */
#define ORDER_TIMEOUT 150
#define LATE_READ 5       /* time-out put off after a delay of the sender */
#define RETRY_INTERVAL 200
#define STOP 50           /* `stop_timeout_ms` */
#define RETRY 1300        /* `retry_ms` */
#define RESERVE 50        /* for timers and processing that are late */
#define CONNECTIONS 3

mtype = { Closed, Works, Silent };
mtype connection[CONNECTIONS];
int now;
int stopSent;
byte timeOuts;

inline waitForTick() {
  select(late : 0 .. TICK);
  now = now + late
}

active proctype Sender() {
  byte i, used;
  int late;
  for (i : 0 .. CONNECTIONS - 1) {
    if
    :: connection[i] = Closed
    :: connection[i] = Works
    :: connection[i] = Silent
    fi
  }
  now = HOP + ENTRY_TIMEOUT;
  waitForTick();
  do
  :: /* Any idle connection is used, a new one if there is none. Other orders may
      * have taken the rest. */
     select(used : 0 .. CONNECTIONS - 1);
     if
     :: connection[used] != Silent -> break
     :: else
     fi;
     stopSent = now;
     now = now + ORDER_TIMEOUT + LATE_READ;
     timeOuts++;
#ifdef NO_CLOSE
     connection[used] = Closed;
#else
     for (i : 0 .. CONNECTIONS - 1) {
       if
       :: connection[i] == Silent -> connection[i] = Closed
       :: else
       fi
     }
#endif
#ifdef NO_REPEAT
     now = stopSent + RETRY_INTERVAL;
     waitForTick()
#else
     if
     :: timeOuts > 1 ->
        now = stopSent + RETRY_INTERVAL;
        waitForTick()
     :: else
     fi
#endif
  od;
  /* The handshake of a new connection, the order, and the stop itself. */
  now = now + 2 * HOP + HOP + STOP;
  assert(now + RESERVE <= RETRY)
}
