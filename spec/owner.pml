/*
 * The owner of a service: one task, two executors, owners one after another.
 *
 * An owner takes the lease row, reads what is stored, looks at the executors
 * and starts the task. It may be paused anywhere and go on later, also after
 * the next owner has taken the lease. Starts and flushes stay in the network:
 * they may be carried out late or never, and their replies may be lost. An
 * executor may be out of reach of any owner at any time, and the registry may
 * drop it while it runs on. That a flush checks the lease row too only tells a
 * deposed owner so: the row of the last flush alone keeps it from harm. `expire` is the end of all leases granted on an
 * executor so far: starts under way are too late from then on.
 *
 * A dark executor is marked in the store, by a flush: nothing is granted there
 * from then on until a flush without the mark is stored. `mark over` is the end
 * of all that was granted before the mark, which the next owner may count on.
 *
 * An owner knows an executor's clock by a reading, which gets old while nothing
 * runs there. By the slowest clock that the reading allows, a lease lasts no
 * longer than `bound over`: the time for which the next owner waits once the one
 * before grants no more. By a faster clock it may outlast that, if the reading is
 * old and the executor's clock slow.
 *
 * property one_run: No work doubled: a task never runs on two executors at once.
 * property done_is_final: No work doubled: a task whose end was acknowledged, by an executor whose lease had not lapsed since, is not started again.
 * property ack_is_stored: No work lost: an end that an executor forgets is in the store.
 *
 * config two-owners: -DOWNERS=2 -DSTARTS0=2 -DSTARTS1=1 -DFLUSHES0=2 -DFLUSHES1=1
 * config late-ack: -DOWNERS=2 -DSTARTS0=2 -DSTARTS1=0 -DFLUSHES0=0 -DFLUSHES1=1
 * config one-executor: -DOWNERS=2 -DSTARTS0=1 -DSTARTS1=1 -DFLUSHES0=2 -DFLUSHES1=1 -DONE_EXECUTOR
 * config marks: -DOWNERS=2 -DSTARTS0=1 -DSTARTS1=1 -DFLUSHES0=2 -DFLUSHES1=0 -DMARKS
 * config idle: -DOWNERS=2 -DSTARTS0=1 -DSTARTS1=1 -DFLUSHES0=1 -DFLUSHES1=0 -DIDLE
 *
 * mutation fence_on_look (two-owners) breaks one_run: a look does not raise the executor's fencing token
 * mutation resolve_all (two-owners) breaks one_run: starts before each executor of the roster has answered or expired
 * mutation bar_unanswered (two-owners) breaks one_run: a start without an answer counts as not carried out
 * mutation unlisted_is_gone (two-owners) breaks one_run: an executor that the registry drops counts as empty
 * mutation silent_until_expiry (two-owners) breaks one_run: a silent executor's run is given up before its lease is over
 * mutation store_before_ack (two-owners) breaks ack_is_stored: an end is acknowledged when it is seen
 * mutation resolve_before_ack (late-ack) breaks done_is_final: acknowledges while an executor that the owner before may use has not answered
 * mutation flush_checks_flush (one-executor) breaks ack_is_stored: a flush does not check the row of the last flush
 * mutation read_after_lease (one-executor) breaks done_is_final: the rows are read before the lease is taken
 * mutation unmark_before_grant (marks) breaks one_run: an executor that answers again is granted something before its mark is taken back in the store
 * mutation no_grant_while_marked (marks) breaks one_run: a lease is renewed on an executor whose mark was sent
 * mutation flush_checks_lease (marks) breaks one_run: a deposed owner takes back a mark
 * mutation slowest_clock (idle) breaks one_run: a lease is computed from a clock that a slow one lags behind by more the older its reading is
 * mutation grants_end (idle) breaks one_run: an owner grants leases on while the next one counts the time since it stopped
 */
#define EXECUTORS 2
/* Starts and flushes of the first and of the second owner. */
#define STARTS(o) (o == 0 -> STARTS0 : STARTS1)
#define FLUSHES(o) (o == 0 -> FLUSHES0 : FLUSHES1)

/* The store. */
byte leaseToken;     /* token of the owner in the lease row; 0 is none */
byte flushVersion;   /* version of the row that each flush rewrites */
bool doneStored;

/* Executors. A run number is token * 4 + n. */
byte fence[EXECUTORS];
byte running[EXECUTORS];  /* run number, or 0 */
byte barred[EXECUTORS];   /* runs up to this one are refused */
bool endDone[EXECUTORS];  /* an end `done` is listed */
bool isGone[EXECUTORS];   /* all leases there have come to an end */
bool acked;               /* an end `done` was acknowledged */

/* In the network, by owner: run ordered on an executor, or 0. */
byte startSent[4];        /* index owner * 2 + executor */
/* Flushes in the network: 0, or 1 + the flush version they need. */
byte flushSent[4];        /* index owner * 2 + number */
bool flushDone[4];

#ifdef MARKS
/* Executor 0 may be marked as dark. */
bool isMarked;       /* in the store */
bool isMarkTaken;    /* the time of the one mark was taken */
bool isMarkOver;     /* what was granted before the mark has come to an end */
bool grantedSince;   /* something was granted after that time */
bool flushMark[4];   /* a flush with the mark */
bool flushStored[4];
#define MARKED 1
#define ANSWERS 2    /* it answers, and its mark may be in the store */
/* The first owner starts on executor 0, the second on the other one. */
#define GRANT(e) (e == me && mark * (1 - e) == 0)
#else
#define GRANT(e) true
#endif

#ifdef IDLE
bool isReadingOld;       /* nothing was read of the executors' clocks for long */
bool isGrantingOver;     /* the first owner grants no more */
bool isBoundOver;        /* since then the longest lease by the bound has ended */
bool isLong[EXECUTORS];  /* a lease there lasts longer than the bound says */
#ifdef MUTATE_slowest_clock
#define LONG_GRANT isReadingOld
#else
#define LONG_GRANT false
#endif
#ifdef MUTATE_grants_end
#define MAY_GRANT true
#else
#define MAY_GRANT (me == 1 || !isGrantingOver)
#endif
#else
#define MAY_GRANT true
#endif

/* What an owner knows of an executor. */
#define UNRESOLVED 0
#define FREE 1
#define MAY_RUN 2   /* ordered or seen there */

/* An executor. */
inline pick(e) {
	if
	:: e = 0
#ifndef ONE_EXECUTOR
	:: e = 1
#endif
	fi
}

inline runStart(o, e) {
	if
	:: o + 1 >= fence[e] && startSent[o * 2 + e] > barred[e] && running[e] == 0 ->
		fence[e] = o + 1;
		running[e] = startSent[o * 2 + e];
		assert(running[1 - e] == 0); // one_run
		assert(!acked) // done_is_final
	:: else
	fi
}

inline runFlush(i, o) {
	if
#ifdef MUTATE_flush_checks_flush
	:: leaseToken == o + 1 ->
#elif defined(MUTATE_flush_checks_lease)
	:: flushSent[i] == flushVersion + 1 ->
#else
	:: leaseToken == o + 1 && flushSent[i] == flushVersion + 1 ->
#endif
		flushVersion++;
		doneStored = flushDone[i];
#ifdef MARKS
		flushStored[i] = true;
		isMarked = flushMark[i];
#endif
		assert(!acked || doneStored) // ack_is_stored
	:: else
	fi
}

/* Delivers orders late, ends runs and leases. */
proctype world() {
	byte o, e;
	do
	:: atomic {
		if :: o = 0 :: o = 1 fi;
		if :: e = 0 :: e = 1 fi;
		if
		:: startSent[o * 2 + e] != 0 -> runStart(o, e)
		:: flushSent[o * 2 + e] != 0 -> runFlush(o * 2 + e, o)
#ifndef MARKS /* ends are in the other configurations */
		:: running[e] != 0 -> /* the task is done */
			barred[e] = running[e];
			running[e] = 0;
			endDone[e] = true
#endif
		:: else
		fi;
		o = 0;
		e = 0
	}
	:: atomic { /* all leases on an executor end; orders under way are late */
		pick(e);
		if
		:: !isGone[e] ->
			running[e] = 0;
			isGone[e] = true;
			startSent[e] = 0;
#if OWNERS > 1
			startSent[2 + e] = 0
#endif
		:: else
		fi;
		e = 0
	}
#ifdef IDLE
	:: atomic { !isReadingOld -> isReadingOld = true }
	:: atomic { !isGrantingOver -> isGrantingOver = true }
	:: atomic { /* all leases of the first owner end that the bound covers */
		isGrantingOver && !isBoundOver ->
		isBoundOver = true;
		if
		:: !isLong[0] -> startSent[0] = 0; running[0] = (running[0] < 8 -> 0 : running[0])
		:: isLong[0]
		fi;
		if
		:: !isLong[1] -> startSent[1] = 0; running[1] = (running[1] < 8 -> 0 : running[1])
		:: isLong[1]
		fi
	}
#endif
#ifdef MARKS
	:: atomic { /* what was granted on executor 0 before its mark ends */
		isMarkTaken && !isMarkOver ->
		isMarkOver = true;
		if
		:: !grantedSince ->
			running[0] = 0;
			startSent[0] = 0;
			startSent[2] = 0
		:: grantedSince
		fi
	}
#endif
	od
}

/* A look that is answered: the fencing token is raised, the lists are read. */
inline look(e) {
	atomic {
		fence[e] <= me + 1;
#ifndef MUTATE_fence_on_look
		fence[e] = me + 1;
#endif
#ifdef MARKS
		if
#ifdef MUTATE_unmark_before_grant
		:: e == 0 && mark == MARKED -> mark = 0
#else
		:: e == 0 && mark == MARKED -> mark = ANSWERS
#endif
		:: else
		fi;
#endif
		if
		:: endDone[e] -> seen = true; known[e] = FREE
		:: !endDone[e] && running[e] != 0 -> known[e] = MAY_RUN
		:: !endDone[e] && running[e] == 0 && known[e] == UNRESOLVED -> known[e] = FREE
		:: !endDone[e] && running[e] == 0 && known[e] != UNRESOLVED -> skip
		fi
	}
}

/* A stop that is answered: the run ends, and can never begin later. */
inline bar(e) {
	atomic {
		fence[e] <= me + 1 && known[e] == MAY_RUN && started > 0;
		fence[e] = me + 1;
		if
		:: endDone[e] -> seen = true
		:: !endDone[e] -> running[e] = 0
		fi;
		if
		:: barred[e] < (me + 1) * 4 + started -> barred[e] = (me + 1) * 4 + started
		:: barred[e] >= (me + 1) * 4 + started -> skip
		fi;
		known[e] = FREE
	}
}

proctype owner(byte me) {
	byte known[EXECUTORS];
	byte started;   /* starts ordered */
	byte flushes;   /* flushes sent */
	byte version;   /* flush version that is known */
	bool seen;      /* the task is known to be done */
	bool stored;    /* and that is known to be stored */
	byte e;
#ifdef MARKS
	byte mark;      /* MARKED, ANSWERS or 0 */
	byte unmark;    /* number of the first flush after it answered, plus 1 */
	bool wasMarked; /* the mark that was read */
#endif

#ifdef ONE_EXECUTOR
	known[1] = FREE;
#endif
#ifdef MARKS
	known[1] = (me == 0 -> FREE : UNRESOLVED);
#endif
#ifdef MUTATE_read_after_lease
	atomic { seen = doneStored; stored = doneStored; version = flushVersion };
	atomic { leaseToken == me -> leaseToken = me + 1 };
#else
	atomic { leaseToken == me -> leaseToken = me + 1 };
	atomic { seen = doneStored; stored = doneStored; version = flushVersion
#ifdef MARKS
		; wasMarked = isMarked; mark = (isMarked -> MARKED : 0)
#endif
	};
#endif
	do
	:: look(0)
#ifdef MARKS
	:: me == 1 -> look(1)
#elif !defined(ONE_EXECUTOR)
	:: look(1)
#endif
#ifndef MARKS
	:: bar(0)
#ifndef ONE_EXECUTOR
	:: bar(1)
#endif
#endif
#ifdef MUTATE_bar_unanswered
	:: known[0] == MAY_RUN && started > 0 -> known[0] = FREE
#endif
#ifdef MUTATE_unlisted_is_gone
	:: known[0] != FREE -> known[0] = FREE
#endif
	:: atomic { /* the leases there are over */
		pick(e);
		if
#ifdef MUTATE_silent_until_expiry
		:: known[e] == MAY_RUN -> known[e] = FREE
#else
		:: isGone[e] -> known[e] = FREE
#ifdef IDLE
		:: me == 1 && isBoundOver && known[e] == UNRESOLVED -> known[e] = FREE
#endif
#ifdef MARKS
		:: e == 0 && wasMarked && isMarkOver && known[0] == UNRESOLVED -> known[0] = FREE
#endif
#endif
		:: else
		fi;
		e = 0
	}
	:: atomic { /* order a start */
		pick(e);
		if
#ifdef MUTATE_resolve_all
		:: !seen && known[e] == FREE && known[1 - e] != MAY_RUN && started < STARTS(me) && !isGone[e] && GRANT(e) && MAY_GRANT ->
#else
		:: !seen && known[0] == FREE && known[1] == FREE && started < STARTS(me) && !isGone[e] && GRANT(e) && MAY_GRANT ->
#endif
			started++;
			known[e] = MAY_RUN;
			startSent[me * 2 + e] = (me + 1) * 4 + started;
#ifdef IDLE
			isLong[e] = isLong[e] || LONG_GRANT;
#endif
#ifdef MARKS
			grantedSince = grantedSince || (e == 0 && isMarkTaken)
#endif
		:: else
		fi;
		e = 0
	}
	:: atomic { /* send a flush */
		flushes < FLUSHES(me) ->
		flushSent[me * 2 + flushes] = version + 1;
		flushDone[me * 2 + flushes] = seen;
#ifdef MARKS
		if /* it is found dark, or still is */
		:: mark == 0 && !isMarkTaken -> mark = MARKED
		:: mark != ANSWERS
		:: mark == ANSWERS && unmark == 0 -> unmark = flushes + 1
		fi;
		flushMark[me * 2 + flushes] = (mark == MARKED);
		isMarkTaken = isMarkTaken || mark == MARKED;
#endif
		flushes++
	}
	:: atomic { /* the answer to a flush, or the row read back */
		leaseToken == me + 1;
		version = flushVersion;
		stored = doneStored
	}
#ifdef MARKS
	:: atomic { /* the mark is taken back in the store */
		mark == ANSWERS && unmark > 0 && flushStored[me * 2 + unmark - 1] ->
		mark = 0;
		unmark = 0
	}
	:: atomic { /* renew the lease of what runs on executor 0 */
#ifdef MUTATE_no_grant_while_marked
		me == 0 && known[0] == MAY_RUN && running[0] != 0 && fence[0] <= me + 1 && !isGone[0] ->
#else
		me == 0 && known[0] == MAY_RUN && running[0] != 0 && fence[0] <= me + 1 && !isGone[0] && mark == 0 ->
#endif
		fence[0] = me + 1;
		grantedSince = grantedSince || isMarkTaken
	}
#endif
#ifndef MARKS
	:: atomic { /* acknowledge an end */
		pick(e);
		if
#ifdef MUTATE_store_before_ack
		:: endDone[e] && seen && fence[e] <= me + 1 && known[0] != UNRESOLVED && known[1] != UNRESOLVED ->
#else
#ifdef MUTATE_resolve_before_ack
		:: endDone[e] && stored && fence[e] <= me + 1 ->
#else
		:: endDone[e] && stored && fence[e] <= me + 1 && known[0] != UNRESOLVED && known[1] != UNRESOLVED ->
#endif
#endif
			endDone[e] = false;
			acked = acked || !isGone[e];
			assert(doneStored) // ack_is_stored
		:: else
		fi;
		e = 0
	}
#endif
	:: break /* it crashes, or learns that it is deposed */
	od
}

init {
	atomic {
		run world();
		run owner(0);
#if OWNERS > 1
		run owner(1)
#endif
	}
}
