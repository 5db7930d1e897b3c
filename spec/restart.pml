/*
 * A worker that restarts under its id. One leader at a time starts one task on one of two workers; a second leader may
 * take over once. A start request may stay unanswered, arrive late or be lost. Each worker may restart once: its new
 * incarnation has no runs, has seen no fencing token, and its clock begins anew, so that the deadline in a request to
 * the earlier incarnation lies in the future and only bounds the lease by MAX_LEASE from its arrival.
 *
 * Assumptions: a request to an earlier incarnation reaches the next one only while its sender keeps the call open, and
 * a worker needs longer to restart than a call stays open. A request that reaches the next incarnation was therefore
 * sent after the earlier one had ended.
 * Safety property: the task never runs twice at the same time.
 *
 * Broken variants, each of which the check must reject: LOSE_ALL (a restart proves that an unanswered start was not
 * executed), ANSWER_SETTLES (the answer to a start proves which incarnation executed it), SAME_TOKEN (the new incarnation is adopted with the token of the unanswered start), SHORT_LEASE (the lease
 * in the unanswered start bounds its run on the new incarnation), ROSTER_BORN (to a new leader, a restart proves that
 * the worker has no runs of its predecessor).
 */
#define WORKERS 2
#define FIRST 0
#define DOWN 1
#define SECOND 2
#define NONE 2
#define RUN_LEASE 2  /* ticks of the lease that a start request states */
#define MAX_LEASE 3  /* ticks of the longest lease that a worker grants */
#define CALL_TICKS 1 /* ticks for which the sender keeps a call open */
#ifndef MAX_TICKS
#define MAX_TICKS 8
#endif

#define MAX_STARTS 2 /* starts explored */

byte now = 0;
byte starts = 0;

/* state of the workers */
byte incarnation[WORKERS];     /* FIRST, DOWN or SECOND */
byte downSince[WORKERS];
byte highestToken[WORKERS];
bool running[WORKERS];
byte runExpiresAt[WORKERS];

/* at most one unanswered start request to each worker */
bool startInFlight[WORKERS];
bool startToEarlier[WORKERS]; /* sent to the incarnation before the restart */
byte startToken[WORKERS];
byte startSentAt[WORKERS];

/* state of the leader */
bool tookOver = false;
byte token[WORKERS];
bool adopted[WORKERS];
bool knowsRestart[WORKERS];
bool runsKnown[WORKERS];      /* this leader knows the runs of its predecessor on the worker */
byte unknownUntil[WORKERS];   /* last tick at which a run that the leader doesn't know may be active */
byte runOn = NONE;            /* worker on which the task runs or may run */
byte runToken = 0;
bool isUnlisted = false;      /* no report of a known incarnation has listed that run yet */

inline extend (w, tick) {
  if
  :: unknownUntil[w] < tick -> unknownUntil[w] = tick
  :: else
  fi
}

inline learn_restart (w) {
  knowsRestart[w] = true;
  adopted[w] = false;
#ifndef SAME_TOKEN
  token[w]++;
#endif
#ifdef LOSE_ALL
  if
  :: runOn == w -> runOn = NONE
  :: else
  fi
#else
  if
  :: runOn == w && !isUnlisted -> runOn = NONE
  :: else
  fi;
#ifndef SHORT_LEASE
  extend(w, now + CALL_TICKS + MAX_LEASE)
#endif
#endif
}

inline forget_start (w) {
  startInFlight[w] = false; startToEarlier[w] = false; startToken[w] = 0; startSentAt[w] = 0
}

inline receive_start (w) {
  if
  :: startToken[w] >= highestToken[w] && (startToEarlier[w] || startSentAt[w] + RUN_LEASE > now) ->
     highestToken[w] = startToken[w];
     assert(!running[1 - w]);
     running[w] = true;
     if
     :: startToEarlier[w] -> runExpiresAt[w] = now + MAX_LEASE
     :: else -> runExpiresAt[w] = startSentAt[w] + RUN_LEASE
     fi
  :: else
  fi;
  forget_start(w)
}

#define IS_UNNOTICED(w) (incarnation[w] == SECOND && !knowsRestart[w]) /* although the registry shows the restart */
#define HOLDS_BACK(w) (!runsKnown[w] && (now <= unknownUntil[w] || IS_UNNOTICED(w)))

proctype leader () {
  byte w;
  do
  :: now >= MAX_TICKS -> break
  :: atomic { /* start the task where no other run of it can be active */
       now < MAX_TICKS && starts < MAX_STARTS && runOn == NONE && !HOLDS_BACK(0) && !HOLDS_BACK(1) ->
       if :: w = 0 :: w = 1 fi;
       if
       :: adopted[w] && !startInFlight[w] ->
          startInFlight[w] = true; startToEarlier[w] = (incarnation[w] != FIRST && !knowsRestart[w]);
          startToken[w] = token[w]; startSentAt[w] = now;
          runOn = w; runToken = token[w]; isUnlisted = true; starts++; extend(w, now + RUN_LEASE)
       :: else
       fi;
       w = 0
     }
#ifdef ANSWER_SETTLES
  :: atomic { /* the answer to the start arrives; it does not name the incarnation */
       now < MAX_TICKS && runOn != NONE && isUnlisted && running[runOn] && !startInFlight[runOn] ->
       isUnlisted = false
     }
#endif
  :: atomic { /* give the call up and adopt the worker again with a higher token */
       now < MAX_TICKS && runOn != NONE && isUnlisted && adopted[runOn] && token[runOn] == runToken ->
       adopted[runOn] = false; token[runOn]++
     }
  :: atomic { /* a heartbeat fences older requests; the runs that its answer lists are all there are */
       now < MAX_TICKS ->
       if :: w = 0 :: w = 1 fi;
       if
       :: incarnation[w] != DOWN && highestToken[w] <= token[w] ->
          highestToken[w] = token[w];
          if
          :: IS_UNNOTICED(w) -> learn_restart(w)
          :: else ->
             if
             :: running[w] ->
                adopted[w] = true; runsKnown[w] = true; runOn = w; isUnlisted = false
#ifndef SAME_TOKEN
             :: !running[w] && runOn == w && isUnlisted && runToken >= token[w] -> skip /* may still arrive */
#endif
             :: else ->
                adopted[w] = true; runsKnown[w] = true;
                if
                :: runOn == w -> runOn = NONE
                :: else
                fi
             fi
          fi
       :: else
       fi;
       w = 0
     }
  :: atomic { /* the registry shows the restart */
       now < MAX_TICKS ->
       if :: w = 0 :: w = 1 fi;
       if
       :: IS_UNNOTICED(w) -> learn_restart(w)
       :: else
       fi;
       w = 0
     }
  :: atomic { /* the worker is unreachable, and its leases have expired */
       now < MAX_TICKS && runOn != NONE && now > unknownUntil[runOn] && !IS_UNNOTICED(runOn) ->
       adopted[runOn] = false; runOn = NONE
     }
  :: atomic { /* another daemon takes over; it knows the workers from the roster and the registry */
       now < MAX_TICKS && !tookOver ->
       tookOver = true; runOn = NONE; isUnlisted = false;
       w = 0;
       do
       :: w < WORKERS ->
          token[w] = 10; adopted[w] = false; runsKnown[w] = false; unknownUntil[w] = now + RUN_LEASE;
          if
          :: IS_UNNOTICED(w) ->
             knowsRestart[w] = true;
#ifdef ROSTER_BORN
             runsKnown[w] = true
#else
             unknownUntil[w] = now + CALL_TICKS + MAX_LEASE
#endif
          :: incarnation[w] == SECOND && knowsRestart[w] -> extend(w, now + CALL_TICKS + MAX_LEASE)
          :: else
          fi;
          w++
       :: else -> break
       od;
       w = 0
     }
  od
}

proctype worker (byte w) {
  do
  :: now >= MAX_TICKS -> break
  :: atomic { now < MAX_TICKS && incarnation[w] != DOWN && startInFlight[w] -> receive_start(w) }
  :: atomic { now < MAX_TICKS && startInFlight[w] -> forget_start(w) }
  :: atomic { /* crash; the calls that are open now are closed before the restart */
       now < MAX_TICKS && incarnation[w] == FIRST ->
       incarnation[w] = DOWN; downSince[w] = now;
       running[w] = false; runExpiresAt[w] = 0; highestToken[w] = 0; forget_start(w)
     }
  :: atomic { /* restart under the same id */
       now < MAX_TICKS && incarnation[w] == DOWN && now - downSince[w] > CALL_TICKS ->
       incarnation[w] = SECOND; downSince[w] = 0
     }
  od
}

inline expire (w) {
  if
  :: running[w] && runExpiresAt[w] <= now -> running[w] = false; runExpiresAt[w] = 0
  :: else
  fi;
  if
  :: startInFlight[w] && startToEarlier[w] && startSentAt[w] + CALL_TICKS < now -> forget_start(w)
  :: else
  fi;
  if
  :: unknownUntil[w] < now -> unknownUntil[w] = 0
  :: else
  fi
}

proctype clock () {
  do
  :: atomic { now < MAX_TICKS -> now++; expire(0); expire(1) }
  :: now >= MAX_TICKS -> break
  od
}

init {
  atomic {
    token[0] = 1; token[1] = 1;
    adopted[0] = true; adopted[1] = true; runsKnown[0] = true; runsKnown[1] = true;
    run worker(0); run worker(1); run leader(); run clock()
  }
}
