/*
 * Starts of a task that crashes its worker, under leaders that die at any moment. The leader under which the job was
 * admitted starts the task without waiting for the row of the start; a later leader, and any leader once a crash is
 * known, sends a start only after its row is stored. A run of which a row is stored, or that a leader adopts, is counted
 * when its worker is back after the crash. With the first crash that a later leader counts it presumes one start that an
 * earlier leader died before storing.
 *
 * Safety property: the task is started at most MAX_STARTS times, whatever leaders die.
 *
 * Broken variants, each of which the check must reject: NO_PRESUMPTION (no unseen start is presumed), LATER_NO_WAIT
 * (later leaders don't wait for the row either), SUSPECT_NO_WAIT (nor does the first leader after a crash).
 */
#define MAX_STARTS 5
#ifndef MAX_DEATHS
#define MAX_DEATHS 5
#endif

/* the worker */
bool isRunning = false;
bool hasCrashed = false; /* and is not back yet */

/* the store */
byte storedCrashes = 0;  /* with the presumed start */
bool isRowStored = false; /* of the latest start, while no end of it is stored */

/* the leader */
bool isFirst = true;
byte crashes = 0;        /* counted, with the presumed start */
bool knowsRun = false;   /* the leader has started or adopted a run of which no end is known */
bool isPlanned = false;  /* a start waits for its row */
bool isRowStaged = false; /* the row of a start that was sent */
byte starts = 0;
byte deaths = 0;

#ifdef SUSPECT_NO_WAIT
#define WAITS_AS_SUSPECT false
#else
#define WAITS_AS_SUSPECT (crashes > 0)
#endif
#ifdef LATER_NO_WAIT
#define WAITS (WAITS_AS_SUSPECT)
#else
#define WAITS (WAITS_AS_SUSPECT || !isFirst)
#endif

inline send () {
  starts++;
  assert(starts <= MAX_STARTS);
  isRunning = true
}

inline count () {
  crashes++;
#ifndef NO_PRESUMPTION
  if
  :: crashes == 1 && !isFirst -> crashes++
  :: else
  fi;
#endif
  /* stored before the task may start again */
  storedCrashes = crashes;
  isRowStored = false;
  isRowStaged = false;
  knowsRun = false
}

active proctype cell () {
  do
  :: atomic { /* plan a start; a task with this many starts that may have crashed a worker is given up */
       !knowsRun && !isRowStored && !isPlanned && !(isRunning && isRowStored) && crashes < MAX_STARTS ->
       if
       :: WAITS -> isPlanned = true
       :: else ->
          if
          :: !isRunning && !hasCrashed -> send(); knowsRun = true; isRowStaged = true
          :: isRunning -> knowsRun = true; isRowStaged = true /* adopted */
          :: !isRunning && hasCrashed -> hasCrashed = false; send(); knowsRun = true; isRowStaged = true /* elsewhere: nobody knows of the crash */
          fi
       fi
     }
  :: atomic { /* the row of a planned start is stored, and the start is sent */
       isPlanned ->
       isPlanned = false;
       if
       :: isRunning -> knowsRun = true; isRowStored = true /* adopted meanwhile */
       :: else -> hasCrashed = false; isRowStored = true; knowsRun = true; send()
       fi
     }
  :: atomic { /* the row of a start that was sent is stored */
       isRowStaged -> isRowStaged = false; isRowStored = true
     }
  :: atomic { isRunning -> isRunning = false; hasCrashed = true }
  :: atomic { /* the worker is back: a run that the leader knows, or finds in the store, has crashed it */
       hasCrashed && (knowsRun || isRowStored) -> hasCrashed = false; count()
     }
  :: atomic { /* the leader dies; the next one reads the store */
       deaths < MAX_DEATHS ->
       deaths++;
       isFirst = false;
       crashes = storedCrashes;
       knowsRun = false;
       isPlanned = false;
       isRowStaged = false
     }
  :: break
  od
}
