/*
 * A takeover from a leader that lives on, twice, and the notice of an admission that is late by any time. Daemons 1 and 0
 * lead by turns: epoch 1 and 3 are led by daemon 1, epoch 2 by daemon 0. One job of one task, one worker.
 *
 * A leader fences the store and then reads it, fences the worker by its token, reads changes of the store, and starts the
 * task if it knows the job and the worker has no run of it. Until the worker has seen a higher token, earlier leaders may
 * start tasks as well. No two runs may be active at once, and none may start after one is done.
 *
 * Variants: READ_BEFORE_FENCE reads the jobs before the store is fenced. ACK_UNKNOWN acknowledges the end of a job that the
 * leader doesn't have. TRUST_NOTICE adds the job of any notice, however old.
 */
mtype = { ABSENT, LIVE, MOVED };

/* The store: the row that admits the job, the outcome in its progress row, and the epoch that may write progress. */
mtype row = ABSENT;
bool isOutcomeStored = false;
byte fence = 1;
/* Epoch that holds the lease. */
byte lease = 1;
/* The worker: its fencing token, its run, and the end that it lists until it is acknowledged. */
byte token = 1;
bool isRunning = false;
bool isDone = false;
bool isAcknowledged = false;
/* Notices on their way, by daemon. They may arrive any number of times. */
bool isNoticeSent[2];

/* Reads the row of the job. A job that was read as moved has ended. */
inline readRow() {
  if
  :: row != ABSENT && !hasRead ->
    hasRead = true;
    if
    :: row == LIVE -> isKnown = true
    :: else
    fi
  :: else
  fi
}

/* A leader that finds the fence of a later one is deposed. */
inline fenceStore() {
  atomic {
    if
    :: fence < epoch -> fence = epoch
    :: else -> goto deposed
    fi
  }
}

proctype Leader(byte epoch) {
  bool isKnown = false;
  bool hasRead = false;
  bool hasEnded = false;

  if
  :: epoch > 1 ->
    atomic { lease == epoch - 1 -> lease = epoch }
#ifdef READ_BEFORE_FENCE
    atomic { readRow() }
    fenceStore();
#else
    fenceStore();
    atomic { readRow() }
#endif
    hasEnded = isKnown && isOutcomeStored;
    atomic {
      if
      :: token < epoch -> token = epoch
      :: else
      fi
    }
  :: else
  fi;

end:
  do
  :: atomic { row != ABSENT && !hasRead -> readRow() }
  :: atomic {
      isNoticeSent[epoch % 2] && !isKnown && !hasEnded ->
#ifdef TRUST_NOTICE
      isKnown = true
#else
      /* The row is older than what was read, so that the job has ended. */
      if
      :: !hasRead -> isKnown = true
      :: else
      fi
#endif
    }
  :: atomic {
      token == epoch && isKnown && !hasEnded && !isRunning && (!isDone || isAcknowledged) ->
      assert(!isDone);
      isRunning = true
    }
  :: atomic { token == epoch && fence == epoch && isDone && !isAcknowledged && isKnown && !hasEnded -> isOutcomeStored = true; hasEnded = true }
  :: atomic { token == epoch && isDone && !isAcknowledged && hasEnded -> isAcknowledged = true }
  :: atomic {
      token == epoch && isDone && !isAcknowledged && !isKnown ->
#ifndef ACK_UNKNOWN
      readRow();
#endif
      if
      :: !isKnown -> isAcknowledged = true
      :: else
      fi
    }
  :: atomic { hasEnded && row == LIVE -> row = MOVED }
  :: lease > epoch -> break
  od;

deposed:
  skip
}

proctype Worker() {
end:
  do
  :: atomic { isRunning -> isRunning = false; isDone = true }
  od
}

proctype Admission() {
  row = LIVE;
  if
  :: isNoticeSent[0] = true
  :: isNoticeSent[1] = true
  :: skip
  fi
}

init {
  atomic {
    run Worker();
    run Admission();
    run Leader(1);
    run Leader(2);
    run Leader(3)
  }
}
