/* Model of the handover protocol (src/handover): one task, two receivers that
 * may be replaced by new incarnations, and a network that loses, duplicates,
 * reorders and delays messages without bound. A message that was sent stays in
 * the network for ever and may arrive any number of times.
 *
 * Checked: the task starts at most once, in all reachable states.
 *
 * Each mechanism can be disabled by a macro; the check must then fail:
 *   NO_DEDUP        a receiver accepts a batch that it has already received
 *   NO_FLOOR        a receiver discards settled batches but accepts late copies
 *   NO_TOMBSTONE    a receiver does not record a revoke that arrives before its
 *                   handover
 *   NO_INCARNATION  a receiver accepts batches for an earlier process
 *   EAGER_REPLACE   the home hands the task over again without proof that the
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
#define ABOVE_FLOOR(r, s) ((s) >= lowestBatch[r])
#endif
#ifdef NO_DEDUP
#define IS_NEW(b) (batch[b] != Tombstone && batch[b] != Revoked)
#else
#define IS_NEW(b) (batch[b] == None)
#endif

mtype = { None, Queued, Running, Ended, Revoked, Tombstone };
mtype = { Waiting, HandedOver, Settled };

/* Messages that were sent, per batch. */
bit handoverSent[TOTAL];
bit revokeSent[TOTAL];
bit finishedSent[TOTAL];
bit notStartedSent[TOTAL];
bit revokedSent[TOTAL];

/* Home. */
mtype home = Waiting;
byte openBatch;                          /* index of the batch with the task */
byte nextBatch[RECEIVERS * INCARNATIONS]; /* per receiver incarnation */

/* Receivers. */
byte incarnation[RECEIVERS];
byte lowestBatch[RECEIVERS];        /* floor: lower batches are discarded */
mtype batch[TOTAL] = None;

byte started = 0;

inline start(b) {
  batch[b] = Running;
  started++;
  assert(started <= 1)
}

inline handOverTo(r, k) {
  openBatch = AT(r, k, nextBatch[(r) * INCARNATIONS + (k)]);
  nextBatch[(r) * INCARNATIONS + (k)]++;
  handoverSent[openBatch] = 1;
  home = HandedOver
}

inline raiseFloor(r, k, s) {
  if
  :: lowestBatch[r] < (s) ->
     lowestBatch[r] = (s);
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
  /* Hands the waiting task over to an incarnation that it has heard from, which
   * may have been replaced since. */
  :: atomic { home == Waiting ->
       select(r : 0 .. RECEIVERS - 1);
       select(k : 0 .. INCARNATIONS - 1);
       if
       :: k <= incarnation[r] && nextBatch[r * INCARNATIONS + k] < BATCHES ->
          handOverTo(r, k)
       :: else
       fi;
       r = 0; k = 0 }
  :: atomic { home == HandedOver && !revokeSent[openBatch] ->
       revokeSent[openBatch] = 1 }
  :: atomic { home == HandedOver && finishedSent[openBatch] ->
       openBatch = 0; home = Settled }
  :: atomic { home == HandedOver && notStartedSent[openBatch] ->
       openBatch = 0; home = Waiting }
  :: atomic { home == HandedOver && revokedSent[openBatch] ->
       openBatch = 0; home = Waiting }
  /* The receiver is considered dead: the task may have started, so the job
   * fails. */
  :: atomic { home == HandedOver ->
       openBatch = 0;
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
          :: ABOVE_FLOOR(r, s) && IS_NEW(AT(r, k, s)) ->
             batch[AT(r, k, s)] = Queued
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
       :: revokeSent[AT(r, k, s)] && s >= lowestBatch[r] ->
          if
          :: batch[AT(r, k, s)] == None ->
#ifndef NO_TOMBSTONE
             batch[AT(r, k, s)] = Tombstone;
#endif
             revokedSent[AT(r, k, s)] = 1
          :: batch[AT(r, k, s)] == Queued ->
             batch[AT(r, k, s)] = Revoked;
             revokedSent[AT(r, k, s)] = 1
          :: else
          fi
       :: else
       fi;
       s = 0; k = 0 }
  /* A queued task starts, or is returned because its start deadline has passed;
   * a running task ends. */
  :: atomic {
       select(s : 0 .. BATCHES - 1);
       select(k : 0 .. INCARNATIONS - 1);
       if
       :: batch[AT(r, k, s)] == Queued -> start(AT(r, k, s))
       :: batch[AT(r, k, s)] == Queued ->
          batch[AT(r, k, s)] = Ended;
          notStartedSent[AT(r, k, s)] = 1
       :: batch[AT(r, k, s)] == Running ->
          batch[AT(r, k, s)] = Ended;
          finishedSent[AT(r, k, s)] = 1
       :: else
       fi;
       s = 0; k = 0 }
  /* The process stops and another one starts at its address. */
  :: atomic { incarnation[r] < INCARNATIONS - 1 ->
       incarnation[r]++;
       lowestBatch[r] = 0;
       /* The state of the former process is lost. */
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
