/*
 * A worker that restarts under its id. One leader starts one task on one of two workers; a second leader, which knows
 * only the roster and the registry, may take over once. The first worker may restart once, at any moment. Its next life
 * has no runs, has seen no fencing token, and its clock begins anew. The first leader may send a start to it twice. Calls, that is starts and the heartbeats that extend
 * leases, may be carried out until LATE ticks after they were sent, or be lost. A stray call, one that was sent to the
 * former life and is carried out by the next one, has a deadline far ahead on the clock there and makes the lease as long
 * as a worker grants. A lease applies to all that runs on the worker and is never shortened. Heartbeats that extend no
 * lease are answered within their tick or have no effect.
 *
 * The roster row of a worker names a life, the time at which its leases have expired if it is unreachable, and the end of
 * the lease that stray calls may give it. Starts and extensions need a row that names the life as reachable. The registry
 * shows a restart at any time after it, a report of the next life at any time too. A life that is down for a while needs
 * no state of its own: it allows less than one that runs on and doesn't answer.
 *
 * Assumptions:
 * - A restart is shown by the registry or by a report before the leases of the former life have expired. A leader that has
 *   not seen it therefore waits, and what was sent to a life whose leases have expired is carried out by no later one
 *   (LATER_RESTART drops the second half).
 * - A start that an answer under a higher token has proved not to run on the former life isn't carried out by the next one,
 *   nor is the second send of a start whose run has ended there (FENCED_START drops this).
 * - The former life answers no call after the restart, so that its leader takes it for lost at most NOTICE ticks later; one
 *   answer to a heartbeat that has left it before may come later.
 *   The registry of a new leader shows what that of its predecessor has shown, and only one leader sends calls.
 * Safety property: the task never runs twice at the same time.
 *
 * Broken variants, each of which the check must reject: LOSE_ALL (a restart proves that an unanswered start was not
 * executed), ANSWER_SETTLES (the answer to a start proves which life executed it), SAME_TOKEN (the next life is adopted
 * with the token of the unanswered start), SHORT_LEASE (the lease in the unanswered start bounds its run on the next
 * life), ROSTER_BORN (to a new leader, a restart proves that the worker has no runs of its predecessor), SUCCESSOR_SHORT
 * (a new leader counts with ordinary leases for each life that the roster lists, whatever is recorded), FROM_RESTART (the
 * longest lease is counted from when the restart was learned and one call more, also once the life is adopted),
 * ADOPT_SHORT (from the adoption of a life on only the leader's own leases count), REGISTERED_ONLY (a new leader waits for
 * the leases of stray calls if the registry shows the restart, but not if only a report does), LATE_ANSWER (an answer to a
 * heartbeat that was sent before the start was confirmed proves that the run has ended), SUCCESSOR_COPY (a new leader takes
 * a run that it has found for lost with its life, though its predecessor may have sent the start twice), and those that
 * drop an assumption.
 */
#define WORKERS 2
#define FIRST 0
#define NEXT 1
#define NONE 2
#define RUN_LEASE 1  /* ticks of the lease that calls state */
#define MAX_LEASE 2  /* ticks of the longest lease that a worker grants */
#define LATE 2       /* ticks after which a call is still carried out */
#define CALL_TICKS 1 /* ticks for which the sender keeps a call open */
#define NOTICE 1     /* ticks after a restart in which calls are still sent to the former life */
#ifndef MAX_TICKS
#define MAX_TICKS 8
#endif
#define MAX_STARTS 2 /* starts explored */

byte now = 0;
byte starts = 0;
byte w = 0;

/* state of the workers; times are the first tick at which something no longer holds, 0 if there is nothing */
bit life[WORKERS];
byte noticedBy = 0; /* tick by which the leader has taken the former life for lost */
byte leaseUntil[WORKERS];
byte highestToken[WORKERS];
bool running[WORKERS];

/* the latest start to each worker, and the latest heartbeat that extends the leases of the first, until they have an effect */
bool startSent[WORKERS];
bit startLife[WORKERS];
byte startToken[WORKERS];
byte startSentAt[WORKERS];
bool copySent = false;     /* a start to the former life was sent twice and has been executed once */
byte copyToken = 0;
byte copySentAt = 0;
bool extensionSent = false;
bit extensionLife = FIRST;
byte extensionToken = 0;
byte extensionSentAt = 0;

/* an answer of the former life to a heartbeat, on its way to the leader */
bool answerLeft = false;
byte answerToken = 0;
bool answerLists = false;
bool answerFollowsStart = false; /* the heartbeat was sent after the start was confirmed */

/* the roster row of each worker */
bit rowLife[WORKERS];
byte rowLapse[WORKERS];
byte rowStray[WORKERS];

/* state of the leader */
bool tookOver = false;
byte strayMemberUntil = 0; /* end of the stray leases that calls of the predecessor may give */
byte token[WORKERS];
bit knownLife[WORKERS];
bool isDead[WORKERS];      /* a report has shown that the known life has ended; the registry doesn't show the next one yet */
bool adopted[WORKERS];
bool hasReported[WORKERS]; /* this leader has adopted the known life before */
bool runsKnown[WORKERS];   /* this leader knows the runs of its predecessor on the worker */
byte memberUntil[WORKERS]; /* end of the leases under which such runs may be active */
byte ownUntil[WORKERS];    /* end of the ordinary leases */
byte strayUntil[WORKERS];  /* end of the stray lease */
byte runOn = NONE;         /* worker on which the task runs or may run */
byte runToken = 0;
bool isUnlisted = false;   /* no report of a known life has listed that run yet */
bool mayHaveCopy = false;  /* a start of that run may have been sent twice without an answer to both */
byte earlierCallsUntil = 0; /* first tick at which no call of the predecessor is carried out any more */
bool isConfirmed = false;  /* the start of that run was answered, by whichever life */

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define IS_UNNOTICED(v) (life[v] != knownLife[v] && !isDead[v])
#define HOLDS_BACK(v) (!runsKnown[v] && (now < memberUntil[v] || IS_UNNOTICED(v)))
#define IS_ACTIVE(v) (rowLife[v] == knownLife[v] && rowLapse[v] == 0)
#define IS_STRAY_RECORDED(v) (strayUntil[v] <= now + RUN_LEASE || rowStray[v] >= strayUntil[v])
#define MAY_START (starts < MAX_STARTS && runOn == NONE && !HOLDS_BACK(0) && !HOLDS_BACK(1))
#define CAN_START(v) (adopted[v] && IS_ACTIVE(v) && IS_STRAY_RECORDED(v))
#define CAN_EXTEND(v) (adopted[v] && IS_ACTIVE(v))
#define CAN_ANSWER(v) (!isDead[v] && highestToken[v] <= token[v])
#define HAVE_LEASES_EXPIRED (runOn != NONE && !adopted[runOn] && now >= ownUntil[runOn] && now >= strayUntil[runOn] && !IS_UNNOTICED(runOn))

/* Workers */

inline forget_start () {
  startSent[w] = false; startLife[w] = FIRST; startToken[w] = 0; startSentAt[w] = 0
}

inline forget_extension () {
  extensionSent = false; extensionLife = FIRST; extensionToken = 0; extensionSentAt = 0
}

inline forget_copy () {
  copySent = false; copyToken = 0; copySentAt = 0
}

/* The next life carries out the second send of a start that the former one has executed. */
inline receive_copy () {
  if
  :: copyToken >= highestToken[w] ->
     highestToken[w] = copyToken;
     assert(!running[0] && !running[1]);
     running[w] = true;
     leaseUntil[w] = now + MAX_LEASE
  :: else
  fi;
  forget_copy()
}

inline receive_start () {
  if
  :: startToken[w] >= highestToken[w] && (startLife[w] != life[w] || startSentAt[w] + RUN_LEASE > now) ->
     highestToken[w] = startToken[w];
     assert(!running[0] && !running[1]);
     running[w] = true;
     leaseUntil[w] = MAX(leaseUntil[w], (startLife[w] != life[w] -> now + MAX_LEASE : startSentAt[w] + RUN_LEASE))
  :: else
  fi;
  forget_start()
}

inline receive_extension () {
  if
  :: extensionToken >= highestToken[w] && (extensionLife != life[w] || extensionSentAt + RUN_LEASE > now) ->
     highestToken[w] = extensionToken;
     leaseUntil[w] = MAX(leaseUntil[w], (extensionLife != life[w] -> now + MAX_LEASE : extensionSentAt + RUN_LEASE))
  :: else
  fi;
  forget_extension()
}

inline restart () {
  life[w] = NEXT; noticedBy = now + NOTICE + 1;
  running[w] = false; leaseUntil[w] = 0; highestToken[w] = 0
}

/* Assumptions: the calls that are not carried out any more */

inline assume_start_gone () {
#ifndef FENCED_START
  if
  :: startSent[w] && startToken[w] < highestToken[w] -> forget_start()
  :: else
  fi;
  if
  :: w == 0 && life[w] == FIRST && !running[w] -> forget_copy()
  :: else
  fi
#else
  skip
#endif
}

inline assume_calls_gone () {
#ifndef LATER_RESTART
  if
  :: life[w] == FIRST ->
     forget_start();
     if
     :: w == 0 -> forget_extension(); forget_copy()
     :: else
     fi
  :: else
  fi
#else
  skip
#endif
}

/* Leaders */

inline forget_run () {
  runOn = NONE; isUnlisted = false; runToken = 0; isConfirmed = false; mayHaveCopy = false
}

inline forget_answer () {
  answerLeft = false; answerToken = 0; answerLists = false; answerFollowsStart = false
}

inline start () {
  /* Runs of the predecessor count as gone. */
  if
  :: !runsKnown[1 - w] -> w = 1 - w; assume_calls_gone(); w = 1 - w
  :: else
  fi;
  startSent[w] = true; startLife[w] = knownLife[w]; startToken[w] = token[w]; startSentAt[w] = now;
  runOn = w; runToken = token[w]; isUnlisted = true; isConfirmed = false; mayHaveCopy = false; starts++; ownUntil[w] = now + RUN_LEASE;
  answerFollowsStart = false
}

inline extend () {
  extensionSent = true; extensionLife = knownLife[w]; extensionToken = token[w]; extensionSentAt = now;
  ownUntil[w] = now + RUN_LEASE
}

/* A call is not answered; a start that may still be executed is fenced by a higher token. */
inline lose () {
  adopted[w] = false;
  if
  :: runOn == w && isUnlisted && runToken == token[w] -> token[w]++
  :: else
  fi
}

inline learn_restart () {
  adopted[w] = false;
  forget_answer();
#ifdef FROM_RESTART
  strayUntil[w] = MAX(strayUntil[w], now + CALL_TICKS + MAX_LEASE);
#else
#ifndef SHORT_LEASE
  strayUntil[w] = now + LATE + MAX_LEASE;
#endif
#endif
  if
#ifdef LOSE_ALL
  :: runOn == w -> forget_run()
#else
  :: runOn == w && !isUnlisted && !mayHaveCopy -> forget_run()
  :: runOn == w && !isUnlisted && mayHaveCopy -> isUnlisted = true
#endif
  :: else
  fi
}

inline expect_predecessors_runs () {
  if
  :: !runsKnown[w] && memberUntil[w] < strayMemberUntil -> memberUntil[w] = strayMemberUntil
  :: else
  fi
}

/* The registry shows the next life. */
inline connect () {
  learn_restart();
  isDead[w] = false; knownLife[w] = NEXT; hasReported[w] = false; ownUntil[w] = now + RUN_LEASE;
#ifndef SAME_TOKEN
  token[w]++;
#endif
  expect_predecessors_runs()
}

inline adopt () {
  assume_start_gone();
  adopted[w] = true; runsKnown[w] = true; memberUntil[w] = 0;
  if
  :: !hasReported[w] ->
     hasReported[w] = true;
#ifdef ADOPT_SHORT
     strayUntil[w] = 0
#else
#ifndef FROM_RESTART
     strayUntil[w] = MIN(strayUntil[w], now + MAX_LEASE)
#endif
#endif
  :: else
  fi;
  if
  :: w == 0 -> strayMemberUntil = 0
  :: else
  fi
}

/* A heartbeat that extends no lease is answered. */
inline answer () {
  highestToken[w] = token[w];
  if
  :: IS_UNNOTICED(w) ->
     learn_restart(); isDead[w] = true;
#ifndef REGISTERED_ONLY
     expect_predecessors_runs()
#endif
  :: else ->
     if
     :: running[w] ->
#ifndef SUCCESSOR_COPY
        if
        :: runOn == NONE && earlierCallsUntil != 0 -> mayHaveCopy = true
        :: else
        fi;
#endif
        runOn = w; isUnlisted = false; runToken = 0
     :: !running[w] && runOn == w && isUnlisted && runToken >= token[w] -> skip /* may still arrive */
     :: !running[w] && runOn == w && !(isUnlisted && runToken >= token[w]) -> forget_run()
     :: else
     fi;
     adopt()
  fi
}

/* The former life answers a heartbeat, and the answer is held up. */
inline send_answer () {
  highestToken[w] = token[w];
  assume_start_gone();
  answerLeft = true; answerToken = token[w]; answerLists = running[w]; answerFollowsStart = (runOn == w && isConfirmed)
}

inline receive_answer () {
  if
  :: !answerLists && runOn == w && isUnlisted && runToken < answerToken && !isConfirmed -> forget_run()
#ifdef LATE_ANSWER
  :: !answerLists && runOn == w && isConfirmed -> forget_run()
#else
  :: !answerLists && runOn == w && isConfirmed && answerFollowsStart -> forget_run()
#endif
  :: else
  fi;
  forget_answer()
}

inline write_active_row () {
  rowLife[w] = knownLife[w]; rowLapse[w] = 0; rowStray[w] = (strayUntil[w] > now + RUN_LEASE -> strayUntil[w] : 0)
}

inline write_unreachable_row () {
  rowLife[w] = knownLife[w]; rowStray[w] = 0;
  rowLapse[w] = (tookOver -> 1 : MAX(MAX(ownUntil[w], strayUntil[w]), 1)) /* nobody reads the time after the takeover */
}

inline take_over (isNextShown) {
  tookOver = true; forget_run(); forget_answer(); strayMemberUntil = now + LATE + MAX_LEASE; earlierCallsUntil = now + LATE + 1;
  if
  :: isNextShown -> knownLife[0] = NEXT
  :: else
  fi;
  w = 0;
  do
  :: w < WORKERS ->
     token[w] = 10; adopted[w] = false; hasReported[w] = false; runsKnown[w] = false; isDead[w] = false;
     ownUntil[w] = now + RUN_LEASE;
     if
     :: rowLife[w] != knownLife[w] ->
#ifdef ROSTER_BORN
        runsKnown[w] = true; memberUntil[w] = 0;
#else
        memberUntil[w] = strayMemberUntil;
#endif
        strayUntil[w] = strayMemberUntil
     :: else ->
#ifdef SUCCESSOR_SHORT
        strayUntil[w] = 0; memberUntil[w] = now + RUN_LEASE
#else
        strayUntil[w] = MAX(rowLapse[w], rowStray[w]);
        memberUntil[w] = (rowLapse[w] != 0 -> rowLapse[w] : MAX(now + RUN_LEASE, rowStray[w]))
#endif
     fi;
     rowLapse[w] = (rowLapse[w] != 0 -> 1 : 0);
     w++
  :: else -> break
  od
}

inline zero_if_past (time) {
  if
  :: time <= now -> time = 0
  :: else
  fi
}

inline expire () {
  if
  :: leaseUntil[w] <= now -> leaseUntil[w] = 0; running[w] = false
  :: else
  fi;
  if
  :: startSent[w] && startSentAt[w] + (startLife[w] == FIRST && w == 0 -> LATE + 1 : RUN_LEASE) <= now -> forget_start()
  :: else
  fi;
  if
  :: w == 0 ->
     zero_if_past(earlierCallsUntil);
     if
     :: copySent && copySentAt + LATE + 1 <= now -> forget_copy()
     :: else
     fi;
     if
     :: extensionSent && extensionSentAt + (extensionLife == FIRST -> LATE + 1 : RUN_LEASE) <= now -> forget_extension()
     :: else
     fi;
     if
     :: IS_UNNOTICED(w) && now >= noticedBy -> adopted[w] = false
     :: else
     fi;
     zero_if_past(noticedBy);
     zero_if_past(strayMemberUntil)
  :: else
  fi;
  zero_if_past(ownUntil[w]);
  zero_if_past(strayUntil[w]);
  zero_if_past(memberUntil[w]);
  zero_if_past(rowStray[w]);
  if
  :: rowLapse[w] != 0 && rowLapse[w] <= now -> rowLapse[w] = 1
  :: else
  fi
}

init {
  d_step {
    token[0] = 1; token[1] = 1;
    adopted[0] = true; adopted[1] = true; hasReported[0] = true; hasReported[1] = true;
    runsKnown[0] = true; runsKnown[1] = true
  };
  do
  :: now >= MAX_TICKS -> break
  :: d_step { now < MAX_TICKS -> now++; w = 0; expire(); w = 1; expire(); w = 0 }

  /* workers; a call that is lost is never carried out, or replaced by the next one */
  :: d_step { now < MAX_TICKS && startSent[0] -> w = 0; receive_start(); w = 0 }
  :: d_step { now < MAX_TICKS && startSent[1] -> w = 1; receive_start(); w = 0 }
  :: d_step {
       now < MAX_TICKS && !tookOver && runOn == 0 && runToken == startToken[0] && startSent[0] && life[0] == FIRST && startToken[0] >= highestToken[0] && startSentAt[0] + RUN_LEASE > now ->
       copySent = true; copyToken = startToken[0]; copySentAt = startSentAt[0]; mayHaveCopy = true;
       w = 0; receive_start(); w = 0
     }
  :: d_step { now < MAX_TICKS && copySent && life[0] == NEXT -> w = 0; receive_copy(); w = 0 }
  :: d_step { now < MAX_TICKS && extensionSent -> w = 0; receive_extension(); w = 0 }
  :: d_step { now < MAX_TICKS && life[0] == FIRST -> w = 0; restart(); w = 0 }

  /* leader */
  :: d_step { now < MAX_TICKS && MAY_START && CAN_START(0) -> w = 0; start(); w = 0 }
  :: d_step { now < MAX_TICKS && MAY_START && CAN_START(1) -> w = 1; start(); w = 0 }
  :: d_step { now < MAX_TICKS && CAN_EXTEND(0) -> w = 0; extend(); w = 0 }
  :: d_step { now < MAX_TICKS && adopted[0] -> w = 0; lose(); w = 0 }
  :: d_step { now < MAX_TICKS && adopted[1] -> w = 1; lose(); w = 0 }
  :: d_step { now < MAX_TICKS && CAN_ANSWER(0) -> w = 0; answer(); w = 0 }
  :: d_step { now < MAX_TICKS && CAN_ANSWER(1) -> w = 1; answer(); w = 0 }
  :: d_step { now < MAX_TICKS && runOn == 0 && isUnlisted && running[0] && !startSent[0] && !isConfirmed -> isConfirmed = true }
  :: d_step { now < MAX_TICKS && CAN_ANSWER(0) && life[0] == FIRST && !answerLeft -> w = 0; send_answer(); w = 0 }
  :: d_step { now < MAX_TICKS && answerLeft && knownLife[0] == FIRST && !isDead[0] && answerToken == token[0] -> w = 0; receive_answer(); w = 0 }
  :: d_step { now < MAX_TICKS && life[0] != knownLife[0] -> w = 0; connect(); w = 0 }
  :: d_step { now < MAX_TICKS && HAVE_LEASES_EXPIRED -> w = runOn; assume_calls_gone(); forget_run(); w = 0 }
  :: d_step { now < MAX_TICKS && (adopted[0] || !isDead[0]) -> w = 0; write_active_row(); w = 0 }
  :: d_step { now < MAX_TICKS && !adopted[0] -> w = 0; write_unreachable_row(); w = 0 }
  :: d_step { now < MAX_TICKS && !tookOver -> take_over(false); w = 0 }
  :: d_step { now < MAX_TICKS && !tookOver && life[0] == NEXT -> take_over(true); w = 0 }
#ifdef ANSWER_SETTLES
  :: d_step { now < MAX_TICKS && runOn != NONE && isUnlisted && running[runOn] && !startSent[runOn] -> isUnlisted = false; runToken = 0 }
#endif
  od
}
