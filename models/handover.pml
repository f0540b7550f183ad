/* Model of the handover protocol (src/handover): one task, two receivers that
 * may be replaced by new incarnations, and a network that loses, doubles,
 * reorders and delays every message without bound. A message that was sent
 * stays in the network for ever and may arrive any number of times.
 *
 * Checked: the task starts at most once, in all reachable states.
 *
 * Each mechanism can be left out by a macro; the check must then fail:
 *   NO_DEDUP        a receiver takes a batch that it knows again
 *   NO_FLOOR        a receiver forgets old batches but still takes them
 *   NO_TOMBSTONE    a revoke that comes before its handover is forgotten
 *   NO_INCARNATION  a receiver takes batches meant for an earlier process
 *   EAGER_REPLACE   the home gives the task away again without proof that the
 *                   first receiver has not started it
 */
#define RECEIVERS 2
#define INCARNATIONS 2
#define BATCHES 2
/* Index of a batch of one receiver incarnation. */
#define AT(r, k, s) ((r) * INCARNATIONS * BATCHES + (k) * BATCHES + (s))
#define TOTAL (RECEIVERS * INCARNATIONS * BATCHES)

#ifdef NO_INCARNATION
#define MEANT_FOR(r, k) ((k) <= incarnation[r])
#else
#define MEANT_FOR(r, k) ((k) == incarnation[r])
#endif
#ifdef NO_FLOOR
#define ABOVE_FLOOR(r, s) true
#else
#define ABOVE_FLOOR(r, s) ((s) >= lowest[r])
#endif
#ifdef NO_DEDUP
#define IS_NEW(b) (batch[b] != Tombstone && batch[b] != Revoked)
#else
#define IS_NEW(b) (batch[b] == None)
#endif

mtype = { None, Held, Running, Ended, Revoked, Tombstone };
mtype = { Waiting, Given, Settled };

/* Messages that were sent. */
bit handoverSent[TOTAL];
bit revokeSent[TOTAL];
bit finishedSent[TOTAL];
bit notStartedSent[TOTAL];
bit revokedSent[TOTAL];

/* Home. */
mtype home = Waiting;
byte given;                              /* index of the open batch */
byte nextBatch[RECEIVERS * INCARNATIONS]; /* per receiver incarnation */

/* Receivers. */
byte incarnation[RECEIVERS];
byte lowest[RECEIVERS];                  /* floor: batches below are forgotten */
mtype batch[TOTAL] = None;

byte started = 0;

inline start(b) {
  batch[b] = Running;
  started++;
  assert(started <= 1)
}

inline giveTo(r, k) {
  given = AT(r, k, nextBatch[(r) * INCARNATIONS + (k)]);
  nextBatch[(r) * INCARNATIONS + (k)]++;
  handoverSent[given] = 1;
  home = Given
}

inline raiseFloor(r, k, s) {
  if
  :: lowest[r] < (s) ->
     lowest[r] = (s);
     i = 0;
     do
     :: i < (s) -> batch[AT(r, k, i)] = None; i++
     :: else -> break
     od;
     i = 0
  :: else
  fi
}

proctype Home() {
  byte r, k;
end:
  do
  /* Gives the waiting task to an incarnation that it has heard of; it may be
   * out of date. */
  :: atomic { home == Waiting ->
       select(r : 0 .. RECEIVERS - 1);
       select(k : 0 .. INCARNATIONS - 1);
       if
       :: k <= incarnation[r] && nextBatch[r * INCARNATIONS + k] < BATCHES ->
          giveTo(r, k)
       :: else
       fi;
       r = 0; k = 0 }
  :: atomic { home == Given && !revokeSent[given] -> revokeSent[given] = 1 }
  :: atomic { home == Given && finishedSent[given] -> given = 0; home = Settled }
  :: atomic { home == Given && notStartedSent[given] -> given = 0; home = Waiting }
  :: atomic { home == Given && revokedSent[given] -> given = 0; home = Waiting }
  /* The receiver is lost: the task may have started, the job fails. */
  :: atomic { home == Given ->
       given = 0;
#ifdef EAGER_REPLACE
       home = Waiting
#else
       home = Settled
#endif
     }
  od
}

proctype Receiver(byte r) {
  byte s, k, i;
end:
  do
  /* A handover arrives, of any age, for this or an earlier incarnation. */
  :: atomic {
       select(s : 0 .. BATCHES - 1);
       select(k : 0 .. INCARNATIONS - 1);
       if
       :: handoverSent[AT(r, k, s)] && MEANT_FOR(r, k) ->
          /* Only one task exists, so all batches below this are settled. */
          raiseFloor(r, k, s);
          if
          :: ABOVE_FLOOR(r, s) && IS_NEW(AT(r, k, s)) -> batch[AT(r, k, s)] = Held
          :: batch[AT(r, k, s)] == Tombstone -> batch[AT(r, k, s)] = Revoked
          :: else
          fi
       :: else
       fi;
       s = 0; k = 0 }
  /* A revoke arrives. */
  :: atomic {
       select(s : 0 .. BATCHES - 1);
       k = incarnation[r];
       if
       :: revokeSent[AT(r, k, s)] && s >= lowest[r] ->
          if
          :: batch[AT(r, k, s)] == None ->
#ifndef NO_TOMBSTONE
             batch[AT(r, k, s)] = Tombstone;
#endif
             revokedSent[AT(r, k, s)] = 1
          :: batch[AT(r, k, s)] == Held ->
             batch[AT(r, k, s)] = Revoked;
             revokedSent[AT(r, k, s)] = 1
          :: else
          fi
       :: else
       fi;
       s = 0; k = 0 }
  /* A held task starts, or is returned because its time has passed. */
  :: atomic {
       select(s : 0 .. BATCHES - 1);
       select(k : 0 .. INCARNATIONS - 1);
       if
       :: batch[AT(r, k, s)] == Held -> start(AT(r, k, s))
       :: batch[AT(r, k, s)] == Held ->
          batch[AT(r, k, s)] = Ended;
          notStartedSent[AT(r, k, s)] = 1
       :: batch[AT(r, k, s)] == Running ->
          batch[AT(r, k, s)] = Ended;
          finishedSent[AT(r, k, s)] = 1
       :: else
       fi;
       s = 0; k = 0 }
  /* The process dies and another one takes its address. */
  :: atomic { incarnation[r] < INCARNATIONS - 1 ->
       incarnation[r]++;
       lowest[r] = 0;
       /* The memory of the former process is gone. */
       do
       :: i < BATCHES ->
          batch[AT(r, 0, i)] = None;
          batch[AT(r, 1, i)] = None;
          i++
       :: else -> break
       od;
       i = 0 }
  od
}

init {
  atomic {
    run Home();
    run Receiver(0);
    run Receiver(1)
  }
}
