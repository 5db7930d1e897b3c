/*
 * Ends of runs whose report is late. A leader gives a run on a worker a lease that ends at LEASE_END, and asks the worker
 * for reports. The worker lists the end of the run in its reports; an end counts as taken note of once it is listed,
 * unless the lease lapses before. A report arrives within MAX_DELAY ticks after it was asked for, or the request is lost.
 *
 * The leader may start the task elsewhere once the lease has lapsed, if it doesn't know of an end and no report that was
 * asked for before is outstanding. Safety property: the task doesn't start again after an end that was taken note of.
 *
 * Broken variants, each of which the check must reject: DROP_LATE (a report that is overdue is dropped), NO_WAIT (the
 * leader doesn't wait for outstanding reports).
 */
#define LEASE_END 3 /* tick at which the lease lapses */
#define OVERDUE 1   /* ticks after which the leader asks again */
#define MAX_DELAY 3 /* ticks within which a report arrives */
#ifndef MAX_TICKS
#define MAX_TICKS 8 /* ticks explored */
#endif
#define CALLS 2

byte now = 0;

/* state of the worker */
bool running = true;
bool ended = false;
bool noted = false;      /* the end is listed and the lease had not lapsed */

/* calls for a report */
bool isOpen[CALLS];      /* the leader waits for the report */
bool isMade[CALLS];      /* the worker has made the report */
bool listsEnd[CALLS];
byte sentAt[CALLS];

/* state of the leader */
bool knowsEnd = false;
bool hasRestarted = false;

/* a report from before the lease lapsed may still arrive */
#ifdef NO_WAIT
#define MAY_ARRIVE(c) false
#else
#define MAY_ARRIVE(c) (isOpen[c] && sentAt[c] <= LEASE_END)
#endif

proctype leader () {
  byte c;
  do
  :: now >= MAX_TICKS -> break
  :: atomic { /* ask for a report, if none was asked for that is not overdue */
       now < MAX_TICKS && !hasRestarted ->
       if :: c = 0 :: c = 1 fi;
       if
       :: !isOpen[c] && (!isOpen[1 - c] || now - sentAt[1 - c] >= OVERDUE) ->
          isOpen[c] = true; isMade[c] = false; listsEnd[c] = false; sentAt[c] = now
       :: else
       fi
     }
  :: atomic { /* a report arrives */
       now < MAX_TICKS ->
       if :: c = 0 :: c = 1 fi;
       if
       :: isOpen[c] && isMade[c] ->
          isOpen[c] = false;
#ifdef DROP_LATE
          if
          :: listsEnd[c] && now - sentAt[c] <= OVERDUE -> knowsEnd = true
          :: else
          fi
#else
          if
          :: listsEnd[c] -> knowsEnd = true
          :: else
          fi
#endif
       :: else
       fi
     }
  :: atomic { /* start the task elsewhere */
       now < MAX_TICKS && now > LEASE_END && !knowsEnd && !hasRestarted && !MAY_ARRIVE(0) && !MAY_ARRIVE(1) ->
       assert(!noted);
       hasRestarted = true
     }
  od
}

proctype worker () {
  byte c;
  do
  :: now >= MAX_TICKS -> break
  :: atomic { now < MAX_TICKS && running && now < LEASE_END -> running = false; ended = true }
  :: atomic { /* make a report */
       now < MAX_TICKS ->
       if :: c = 0 :: c = 1 fi;
       if
       :: isOpen[c] && !isMade[c] ->
          isMade[c] = true;
          if
          :: ended ->
             listsEnd[c] = true;
             if :: now < LEASE_END -> noted = true :: else fi
          :: else
          fi
       :: else
       fi
     }
  od
}

active proctype clock () {
  byte c;
  do
  :: atomic { /* a report that was made arrives in time; a request without a report is given up */
       now < MAX_TICKS &&
       !(isOpen[0] && isMade[0] && now - sentAt[0] >= MAX_DELAY) && !(isOpen[1] && isMade[1] && now - sentAt[1] >= MAX_DELAY) ->
       now++;
       if :: now == LEASE_END -> running = false :: else fi;
       for (c : 0 .. CALLS - 1) {
         if
         :: isOpen[c] && !isMade[c] && now - sentAt[c] > MAX_DELAY -> isOpen[c] = false
         :: else
         fi
       }
     }
  :: now >= MAX_TICKS -> break
  od
}

init {
  atomic { run leader(); run worker() }
}
