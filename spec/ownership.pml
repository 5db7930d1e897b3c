/*
 * Authority over one worker and one task. Two daemons share a lease row in a store; the worker keeps the highest
 * fencing token and a lease on what it runs. Orders may be lost, carried out late, or answered without the answer
 * arriving. A daemon may be suspended at any moment, and the worker may be unreachable for one of them.
 *
 * Time is a counter of ticks. A daemon orders only while its lease is valid by its own view; the worker's lease
 * on a run ends at an instant that the order names. The safety property: the task never runs twice at once, and
 * never starts again after its end was stored.
 *
 * Broken variants, each rejected by the check: NO_FENCE (the worker ignores tokens), NO_GATE (a successor starts
 * the task without adopting every worker), ACK_FIRST (an end is acknowledged before it is stored), RELATIVE (the
 * lease of a run counts from the arrival of the order).
 */
#define TTL 2        /* validity of the daemon's lease */
#define TAKEOVER 3   /* time that a candidate sees the row unchanged */
#define TASK_LEASE 3 /* lease on a run from the order */
#define END 8        /* ticks explored */
#define WORKERS 2
#define NONE 255

byte now = 0;
byte epoch = 1;                 /* the lease row; daemon 0 holds it at first */
byte renewed = 0;               /* tick of its last write */
bool doneStored = false;

byte token[WORKERS];            /* highest token seen */
bool runs[WORKERS];             /* the task runs there */
byte runUntil[WORKERS];
bool endListed[WORKERS];        /* an end is kept until acknowledged */
bool wasDone = false;

/* one order under way to each worker: it may arrive late or never */
bool inFlight[WORKERS];
byte orderToken[WORKERS];
byte orderUntil[WORKERS];

byte myEpoch[2];
byte sentAt[2];                 /* when the last renewal was sent */
byte adopted[2];                /* bit set of adopted workers */
byte startedAt[2];              /* when this daemon took over */
bool mayRun[2];                 /* the leader believes that the task runs or may run */

#define VALID(d) (myEpoch[d] != 0 && now - sentAt[d] < TTL)

inline start (d, w) {
  if
  :: !inFlight[w] ->
     inFlight[w] = true;
     orderToken[w] = myEpoch[d];
     orderUntil[w] = now + TASK_LEASE;
     mayRun[d] = true
  :: else
  fi
}

inline arrive (w) {
  inFlight[w] = false;
  if
#ifdef NO_FENCE
  :: (orderUntil[w] > now) ->
#else
#ifdef RELATIVE
  :: (orderToken[w] >= token[w]) ->
#else
  :: (orderToken[w] >= token[w] && orderUntil[w] > now) ->
#endif
#endif
     token[w] = orderToken[w];
     if
     :: !runs[w] && !endListed[w] ->
        assert(!runs[1 - w]);
        assert(!doneStored);
        runs[w] = true;
#ifdef RELATIVE
        runUntil[w] = now + TASK_LEASE
#else
        runUntil[w] = orderUntil[w]
#endif
     :: else
     fi
  :: else
  fi
}

proctype daemon (byte d) {
  byte w;
  byte seen = NONE;
  byte seenAt = 0;
  do
  :: now >= END -> break
  :: atomic { /* renew, or learn that another one holds the row */
       now < END && myEpoch[d] != 0 && myEpoch[d] == epoch ->
       renewed = now; sentAt[d] = now
     }
  :: atomic { now < END && myEpoch[d] != 0 && myEpoch[d] != epoch -> myEpoch[d] = 0; seen = NONE }
  :: atomic { /* observe */
       now < END && myEpoch[d] == 0 ->
       if
       :: seen != renewed -> seen = renewed; seenAt = now
       :: seen == renewed && (epoch == 0 || now - seenAt >= TAKEOVER) ->
          epoch++;
          renewed = now; sentAt[d] = now; startedAt[d] = now;
          myEpoch[d] = epoch; adopted[d] = 0; mayRun[d] = false
       :: else
       fi
     }
  :: atomic { /* adopt a worker: its list is final, as older orders are fenced */
       now < END && VALID(d) ->
       if :: w = 0 :: w = 1 fi;
       if
       :: token[w] <= myEpoch[d] ->
          token[w] = myEpoch[d];
          adopted[d] = adopted[d] | (1 << w);
          if
          :: runs[w] -> mayRun[d] = true
          :: else
          fi
       :: else
       fi
     }
  :: atomic { /* start the task where it is known not to run */
       now < END && VALID(d) && !doneStored && !mayRun[d] &&
#ifndef NO_GATE
       (epoch == 1 || adopted[d] == 3 || now - startedAt[d] > TASK_LEASE) && !endListed[0] && !endListed[1] &&
#endif
       (adopted[d] != 0) ->
       if
       :: (adopted[d] & 1) -> start(d, 0)
       :: (adopted[d] & 2) -> start(d, 1)
       fi
     }
  :: atomic { /* store an end, then acknowledge it */
       now < END && VALID(d) ->
       if :: w = 0 :: w = 1 fi;
       if
       :: endListed[w] && (adopted[d] & (1 << w)) ->
#ifdef ACK_FIRST
          endListed[w] = false;
          if :: doneStored = true :: mayRun[d] = false fi
#else
          doneStored = true;
          if :: endListed[w] = false :: skip fi
#endif
       :: else
       fi
     }
  od
}

proctype worker (byte w) {
  do
  :: now >= END -> break
  :: atomic { now < END && inFlight[w] -> arrive(w) }
  :: atomic { now < END && inFlight[w] -> inFlight[w] = false } /* lost */
  :: atomic { now < END && runs[w] && runUntil[w] > now -> /* the task ends as done */
       assert(!wasDone);
       wasDone = true; runs[w] = false; endListed[w] = true }
  od
}

active proctype clock () {
  do
  :: atomic {
       now < END ->
       now++;
       if :: runs[0] && runUntil[0] <= now -> runs[0] = false :: else fi;
       if :: runs[1] && runUntil[1] <= now -> runs[1] = false :: else fi
     }
  :: now >= END -> break
  od
}

init {
  atomic { myEpoch[0] = 1; run daemon(0); run daemon(1); run worker(0); run worker(1) }
}
