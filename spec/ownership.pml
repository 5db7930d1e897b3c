/*
 * Ownership of workers and of one task. Two daemons compete for a lease row in a store. Each worker keeps the highest
 * fencing token that it has seen and a lease for each run. A start request may be lost, arrive late, or be carried
 * out without its response arriving. A daemon may be suspended at any moment, and a worker may be unreachable for one
 * of the daemons.
 *
 * Time is a counter of ticks. A daemon sends requests only while it believes its lease to be valid. The worker's lease
 * on a run expires at a time that the start request states. Safety property: the task never runs twice at the same
 * time, never starts again after its finish has been stored, and finishes at most once.
 *
 * Broken variants, each of which the check must reject: NO_FENCE (the worker ignores fencing tokens), NO_GATE (a new
 * leader starts the task without having adopted every worker), ACK_FIRST (a finish is acknowledged before it is
 * stored), RELATIVE (the lease on a run is counted from the arrival of the start request).
 */
#define LEASE_TTL 2      /* ticks that a daemon's lease is valid after its renewal was sent */
#define TAKEOVER_DELAY 3 /* ticks without a renewal after which another daemon takes the lease over */
#define TASK_LEASE_TTL 3 /* ticks that the lease on a run is valid after the start request was sent */
#ifndef MAX_TICKS
#define MAX_TICKS 7      /* ticks explored */
#endif
#define WORKERS 2
#define NOT_OBSERVED 255

byte now = 0;

/* state in the store */
byte epoch = 1;                /* epoch in the lease row; daemon 0 holds the lease at first */
byte leaseRenewedAt = 0;       /* tick of the last write to the lease row */
bool finishStored = false;

/* state of the workers */
byte highestToken[WORKERS];    /* highest fencing token seen */
bool running[WORKERS];         /* the task runs on this worker */
byte runExpiresAt[WORKERS];
bool finishUnacked[WORKERS];   /* a finished run is reported until it is acknowledged */
bool taskFinished = false;

/* at most one start request in flight to each worker; it may arrive late or never */
bool startInFlight[WORKERS];
byte startToken[WORKERS];
byte startExpiresAt[WORKERS];

/* state of the daemons */
byte heldEpoch[2];             /* epoch of the lease that the daemon believes to hold; 0 for none */
byte renewalSentAt[2];         /* tick at which the last renewal was sent */
byte adoptedMask[2];           /* bit set of adopted workers */
byte leaderSince[2];           /* tick at which the daemon took the lease over */
bool mayBeRunning[2];          /* the daemon knows or must assume that the task is running */

#define LEASE_VALID(d) (heldEpoch[d] != 0 && now - renewalSentAt[d] < LEASE_TTL)

inline send_start (d, w) {
  if
  :: !startInFlight[w] ->
     startInFlight[w] = true;
     startToken[w] = heldEpoch[d];
     startExpiresAt[w] = now + TASK_LEASE_TTL;
     mayBeRunning[d] = true
  :: else
  fi
}

inline receive_start (w) {
  startInFlight[w] = false;
  if
#ifdef NO_FENCE
  :: (startExpiresAt[w] > now) ->
#else
#ifdef RELATIVE
  :: (startToken[w] >= highestToken[w]) ->
#else
  :: (startToken[w] >= highestToken[w] && startExpiresAt[w] > now) ->
#endif
#endif
     highestToken[w] = startToken[w];
     if
     :: !running[w] && !finishUnacked[w] ->
        assert(!running[1 - w]);
        assert(!finishStored);
        running[w] = true;
#ifdef RELATIVE
        runExpiresAt[w] = now + TASK_LEASE_TTL
#else
        runExpiresAt[w] = startExpiresAt[w]
#endif
     :: else
     fi
  :: else
  fi
}

proctype daemon (byte d) {
  byte w;
  byte observedRenewal = NOT_OBSERVED;
  byte observedAt = 0;
  do
  :: now >= MAX_TICKS -> break
  :: atomic { /* renew the lease */
       now < MAX_TICKS && heldEpoch[d] != 0 && heldEpoch[d] == epoch ->
       leaseRenewedAt = now; renewalSentAt[d] = now
     }
  :: atomic { /* learn that the other daemon holds the lease */
       now < MAX_TICKS && heldEpoch[d] != 0 && heldEpoch[d] != epoch ->
       heldEpoch[d] = 0; observedRenewal = NOT_OBSERVED
     }
  :: atomic { /* watch the lease row; take it over once it is unchanged for TAKEOVER_DELAY */
       now < MAX_TICKS && heldEpoch[d] == 0 ->
       if
       :: observedRenewal != leaseRenewedAt -> observedRenewal = leaseRenewedAt; observedAt = now
       :: observedRenewal == leaseRenewedAt && (epoch == 0 || now - observedAt >= TAKEOVER_DELAY) ->
          epoch++;
          leaseRenewedAt = now; renewalSentAt[d] = now; leaderSince[d] = now;
          heldEpoch[d] = epoch; adoptedMask[d] = 0; mayBeRunning[d] = false
       :: else
       fi
     }
  :: atomic { /* adopt a worker: the raised token fences older requests, so the runs it reports are final */
       now < MAX_TICKS && LEASE_VALID(d) ->
       if :: w = 0 :: w = 1 fi;
       if
       :: highestToken[w] <= heldEpoch[d] ->
          highestToken[w] = heldEpoch[d];
          adoptedMask[d] = adoptedMask[d] | (1 << w);
          if
          :: running[w] -> mayBeRunning[d] = true
          :: else
          fi
       :: else
       fi
     }
  :: atomic { /* start the task on an adopted worker, unless it may be running; a leader after the first must have
                 adopted every worker or waited until all leases on runs have expired */
       now < MAX_TICKS && LEASE_VALID(d) && !finishStored && !mayBeRunning[d] &&
#ifndef NO_GATE
       (epoch == 1 || adoptedMask[d] == 3 || now - leaderSince[d] > TASK_LEASE_TTL) && !finishUnacked[0] && !finishUnacked[1] &&
#endif
       (adoptedMask[d] != 0) ->
       if
       :: (adoptedMask[d] & 1) -> send_start(d, 0)
       :: (adoptedMask[d] & 2) -> send_start(d, 1)
       fi
     }
  :: atomic { /* store a finish, then acknowledge it */
       now < MAX_TICKS && LEASE_VALID(d) ->
       if :: w = 0 :: w = 1 fi;
       if
       :: finishUnacked[w] && (adoptedMask[d] & (1 << w)) ->
#ifdef ACK_FIRST
          finishUnacked[w] = false;
          if :: finishStored = true :: mayBeRunning[d] = false fi
#else
          finishStored = true;
          if :: finishUnacked[w] = false :: skip fi
#endif
       :: else
       fi
     }
  od
}

proctype worker (byte w) {
  do
  :: now >= MAX_TICKS -> break
  :: atomic { now < MAX_TICKS && startInFlight[w] -> receive_start(w) }
  :: atomic { now < MAX_TICKS && startInFlight[w] -> startInFlight[w] = false } /* the request is lost */
  :: atomic { now < MAX_TICKS && running[w] && runExpiresAt[w] > now -> /* the task finishes */
       assert(!taskFinished);
       taskFinished = true; running[w] = false; finishUnacked[w] = true }
  od
}

active proctype clock () {
  do
  :: atomic {
       now < MAX_TICKS ->
       now++;
       if :: running[0] && runExpiresAt[0] <= now -> running[0] = false :: else fi;
       if :: running[1] && runExpiresAt[1] <= now -> running[1] = false :: else fi
     }
  :: now >= MAX_TICKS -> break
  od
}

init {
  atomic { heldEpoch[0] = 1; run daemon(0); run daemon(1); run worker(0); run worker(1) }
}
