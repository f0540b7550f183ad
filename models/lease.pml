/* Model of how long a run can go on without renewal (src/sender/lease_table.h,
 * src/cells/cell_cmd.cpp): an entry instance, the sender of its job, and the
 * upstream that runs it. Times are in units of 50 ms. No stop ever arrives; only
 * the end of the lease ends the run.
 *
 * At each step, the sender may freeze, once, and wake after any time; the entry
 * may freeze for good, and its caller leaves unnoticed at that moment; pings
 * may wait in the sender's socket; renewals may take any time to arrive, and a
 * new one is sent once the last has arrived.
 *
 * Checked: the run has ended (1) when its sender takes it for ended and may
 * start the task again, and (2) when the caller's next submission is started
 * elsewhere.
 *
 * Each mechanism can be disabled by a macro; the check must then fail:
 *   ROUNDED_DRIFT   the estimate of the upstream's clock is too high, so that a
 *                   lease ends later by EXCESS, at most max_hold_ms after the
 *                   arrival of its renewal
 *   NO_CONTACT      leases don't depend on the last contact with the entry
 *   NO_READ_BOUND   a ping that waited counts from when it is handled
 *   NO_START_CHECK  a task is started beside runs with a longer lease
 */
#define RETRY 26        /* `retry_ms`, 1,300 ms */
#define STOP 1          /* `stop_timeout_ms`, 50 ms */
#define CONTACT 24      /* `contactLease`, 1,210 ms; 10 ms are left to STOP */
#define LEASE 18        /* `longestLease`, 872 ms on a clock 2 % slow: 890 ms */
#define MAX_LEASE 21    /* `max_hold_ms` on that clock: 1,020 ms */
#define MARGIN 1        /* `stop_timeout_ms` and `LeaseExpiryReserve`, 60 ms */
#define PAUSE 3         /* `PauseThreshold`, 150 ms */
#define MAX_AGE 8       /* age of the last contact at the start: 0 or 400 ms */
#define EXCESS 12       /* 600 ms: 2 % of 30 s */
#define START 40        /* time of the start */
#define LAST_FREEZE 46  /* the entry has frozen by then */

byte now = START;
byte entryFroze;            /* 0: it is awake */
byte contact;               /* of the sender with the entry, as it knows */
byte lastTick, readBound, lateTick;
byte pingSent;              /* ping on its way or in the socket, 0: none */
byte leaseEnd;              /* on the upstream, in time of all others */
byte expiry;                /* when the sender takes the run for ended */
byte deadline;              /* of a renewal on its way, 0: none */
bool frozen;
byte freezes;

inline handlePing() {
  if
  :: pingSent != 0 && now > pingSent ->
#ifdef NO_READ_BOUND
     contact = now;
#else
     contact = (readBound > contact -> readBound : contact);
#endif
     pingSent = 0
  :: else
  fi
}

inline tick() {
  if
  :: now - lastTick >= PAUSE -> readBound = lastTick; lateTick = now
  :: now - lastTick < PAUSE && now - lateTick >= PAUSE -> readBound = lastTick
  :: else
  fi;
  lastTick = now
}

inline renew() {
  if
  :: contact + CONTACT - now < LEASE -> limit = contact + CONTACT
  :: else -> limit = now + LEASE
  fi;
#ifdef NO_CONTACT
  limit = now + LEASE;
#endif
  if
  :: limit > now ->
     expiry = (limit + MARGIN > expiry -> limit + MARGIN : expiry);
#ifdef ROUNDED_DRIFT
     limit = limit + EXCESS;
#endif
     deadline = limit
  :: else
  fi
}

inline arrive() {
  /* A renewal that comes after the end of the lease finds no run. */
  if
  :: now < leaseEnd ->
     limit = (deadline > now + MAX_LEASE -> now + MAX_LEASE : deadline);
     leaseEnd = (limit > leaseEnd -> limit : leaseEnd)
  :: else
  fi;
  deadline = 0
}

active proctype Fleet() {
  byte age, limit;
  if
  :: age = 0
  :: age = MAX_AGE
  fi;
  contact = START - age;
  /* The entry may have frozen since the last contact. */
  if
  :: entryFroze = contact
  :: entryFroze = START
  :: entryFroze = 0
  fi;
  lastTick = START; readBound = START - 1; lateTick = START - PAUSE;
  /* The lease that was granted for other runs of the upstream. */
  if
  :: limit = START
  :: limit = START + LEASE
  fi;
  leaseEnd = limit;
  expiry = leaseEnd + MARGIN;
#ifndef NO_START_CHECK
  if
  :: leaseEnd > contact + CONTACT -> goto done
  :: else
  fi;
#endif
  renew();
  if
  :: deadline != 0 -> arrive()
  :: else -> goto done
  fi;
  do
  :: entryFroze != 0 && now >= entryFroze + RETRY ->
     assert(leaseEnd + STOP <= now);
     break
  :: else -> atomic {
     now++;
     if
     :: entryFroze == 0 ->
        if
        :: now < LAST_FREEZE
        :: entryFroze = now
        fi
     :: else
     fi;
     /* More pings only make leases longer, and the oldest that waits counts. */
     if
     :: entryFroze == 0 && pingSent == 0 -> pingSent = now
     :: else
     fi;
     if
     :: deadline != 0 -> arrive()
     :: true
     fi;
     if
     :: !frozen && freezes < 1 -> frozen = true; freezes++
     :: frozen -> frozen = false
     :: true
     fi;
     if
     :: !frozen ->
        if
        :: true -> tick(); handlePing()
        :: true -> handlePing(); tick()
        :: now - lateTick < PAUSE -> tick() /* the socket is read later */
        fi;
        if
        :: now > expiry -> assert(leaseEnd + STOP <= now); goto done
        :: else
        fi;
        if
        :: deadline == 0 -> renew()
        :: else
        fi
     :: else
     fi }
  od;
done:
  skip
}
