/*
 * View revision, acknowledgement, and moves of one instance between two pools.
 *
 * Entries register, read the view (reads may be old), route, acknowledge,
 * crash and come back with a new incarnation, or stop gracefully. Movers read
 * the member rows, pause, and commit later; any of them may be killed between
 * two steps. A pause is any delay between two steps of a process.
 * Messages to the store stay in a bag for ever: one may be delivered never,
 * once or often, late and in any order.
 *
 * property one_pool: Each instance belongs to exactly one pool at any moment.
 * property no_work_after_drain: An upstream that is leaving receives no new work.
 * property drain_cuts_nothing: Every planned stop cuts off no request in flight.
 * property revision_grows: An accepted contract change never reverts (here: in an entry's view).
 *
 * config two-entries: -DENTRIES=2 -DMOVERS=1 -DLIVES=2 -DLAST_REVISION=4
 * config one-entry: -DENTRIES=1 -DMOVERS=1 -DLIVES=2 -DLAST_REVISION=4
 * config two-movers-one-life: -DENTRIES=1 -DMOVERS=2 -DLIVES=1 -DLAST_REVISION=4
 * config two-movers: -DENTRIES=1 -DMOVERS=2 -DLIVES=2 -DLAST_REVISION=4
 *
 * mutation register_first (one-entry) breaks no_work_after_drain: an entry routes before its member row is written
 * mutation register_current (one-entry) breaks no_work_after_drain: registerEntry does not check that the entry's view is the newest
 * mutation member_version (two-entries) breaks one_pool: finishDrain is not conditional on the membership version
 * mutation version_read_first (two-entries) breaks one_pool: the mover reads the member rows before the membership version
 * mutation wait_for_ack (one-entry) breaks one_pool: finishDrain without waiting
 * mutation ack_after_applied (one-entry) breaks one_pool: acknowledges on receipt, before the routers use it
 * mutation ack_in_flight (one-entry) breaks drain_cuts_nothing: acknowledges with requests in flight
 * mutation ack_picked (one-entry) breaks one_pool: a request routed but not yet sent does not hold back the acknowledgement
 * mutation monotonic_view (one-entry) breaks revision_grows: an older read is put in force
 * mutation dropped_counts (one-entry) breaks one_pool: an entry that the list has dropped counts as acknowledged
 * mutation forget_incarnation (one-entry) breaks one_pool: forgetEntry is not conditional on the incarnation
 * mutation end_incarnation (one-entry) breaks one_pool: removal of a member row is not conditional on the incarnation
 * mutation end_in_flight (one-entry) breaks drain_cuts_nothing: a graceful stop removes its row with requests in flight
 * mutation epoch (two-movers-one-life) breaks one_pool: finishDrain is not conditional on the instance's epoch
 */

/* The instance's state at each revision; a commit appends one. */
#define SERVING 0
#define DRAINING 1
#define AWAY 2
#define STATE(r) (history[r] % 3)
#define POOL(r) (history[r] / 3)
byte history[LAST_REVISION + 1];
byte revision;

/* Member rows, and the version of the one membership row. */
byte membership;
byte rowLife[ENTRIES];  /* incarnation that registered; 0: no row */
byte rowAck[ENTRIES];   /* revision in force at that entry */

/* Messages on their way to the store, or delivered and perhaps yet again. */
byte endSent[ENTRIES];  /* bit l: removal of the row of life l */

/* What is true of the processes; no process reads it but through a guard. */
bool up[ENTRIES];
byte life[ENTRIES];
byte running[2];  /* requests at the executor, by the pool they were sent for */

inline commit(state) {
	revision++;
	history[revision] = state
}

inline startDrain(epoch) {
	commit(POOL(epoch) * 3 + DRAINING)
}

inline finishDrain(epoch) {
	assert(running[0] + running[1] == 0); // drain_cuts_nothing
	commit(POOL(epoch) * 3 + AWAY)
}

inline commitMove(epoch) {
	commit((1 - POOL(epoch)) * 3 + SERVING)
}

/* Guards: the member row is written in the same transaction as the
 * membership version, and only if the entry's view is the newest. */
inline registerEntry() {
	rowLife[me] = life[me];
	rowAck[me] = view;
	membership++;
	registered = true
}

inline applyRevision(r) {
#ifndef MUTATE_monotonic_view
	if
	:: r > view -> view = r
	:: else
	fi
#else
	view = r
#endif
}

inline sendRequest(pool) {
	running[pool]++;
	assert(POOL(revision) == pool && running[1 - pool] == 0); // one_pool
	assert(STATE(revision) != AWAY) // no_work_after_drain
}

inline forgetLife() {
	up[me] = false;
	registered = false;
	picked = false;
	sent = false;
	pickedAt = 0;
	view = 0;
	seen = 0
}

proctype entry(byte me) {
	byte view;       /* revision in force in this entry's routers */
	byte seen;       /* the last revision that was in force */
	byte pickedAt;   /* revision by which the request in flight was routed */
	byte r;
	bool registered, picked, sent;

	do
	/* a second entry has one life, to keep the search small */
	:: atomic { !up[me] && life[me] < (me == 0 -> LIVES : 1) ->
		up[me] = true;
		life[me]++
	}
	:: atomic { up[me] -> /* a read of the store, perhaps an old one */
		select(r: 0 .. revision);
		applyRevision(r);
		r = 0;
		assert(view >= seen); // revision_grows
		seen = view
	}
	:: atomic {
#ifndef MUTATE_register_current
		view == revision &&
#endif
		up[me] && !registered -> registerEntry()
	}
	:: atomic {
#ifndef MUTATE_register_first
		registered &&
#endif
		up[me] && !picked && STATE(view) == SERVING -> picked = true;
		pickedAt = view
	}
	:: atomic { picked && !sent ->
		sent = true;
		sendRequest(POOL(pickedAt))
	}
	:: atomic { sent ->
		running[POOL(pickedAt)]--;
		sent = false;
		picked = false;
		pickedAt = 0
	}
#ifdef MUTATE_ack_after_applied
	/* acknowledges what it has received but not yet put in force */
	:: atomic { registered && !picked && rowLife[me] == life[me] ->
		rowAck[me] = revision
	}
#endif
	:: atomic { /* acknowledgeRevision: in force, and no request in flight
	             * that was routed by an older one */
#if defined(MUTATE_ack_picked)
		(!sent || pickedAt == view) &&
#elif !defined(MUTATE_ack_in_flight)
		(!picked || pickedAt == view) &&
#endif
		registered && rowLife[me] == life[me] && view > rowAck[me] ->
		rowAck[me] = view
	}
	:: atomic { up[me] -> /* crash: its connections close */
		if
		:: sent -> running[POOL(pickedAt)]--
		:: else
		fi;
		forgetLife()
	}
	:: atomic { /* graceful stop; the removal of its row may arrive late */
#ifndef MUTATE_end_in_flight
		!picked &&
#endif
		registered -> endSent[me] = endSent[me] | (1 << life[me]);
#ifdef MUTATE_end_in_flight
		registered = false
#else
		forgetLife()
#endif
	}
	od
}

/* Delivers what is on its way to the store. */
proctype network() {
	byte e, l;
	do
	:: atomic {
		select(e: 0 .. ENTRIES - 1);
		select(l: 1 .. LIVES);
		if
		:: (endSent[e] & (1 << l)) &&
#ifndef MUTATE_end_incarnation
			rowLife[e] == l &&
#endif
			rowLife[e] != 0 -> rowLife[e] = 0;
			rowAck[e] = 0
		:: else
		fi;
		e = 0; l = 0
	}
	od
}

/* An operator who says that an entry is certainly gone (forgetEntry). */
proctype operator() {
	byte e, l;
	do
	:: atomic {
		select(e: 0 .. ENTRIES - 1);
		if
		::
#ifndef MUTATE_dropped_counts
			/* the list alone, which may drop a running entry, is no proof */
			(!up[e] || life[e] != rowLife[e]) &&
#endif
			rowLife[e] != 0 -> l = rowLife[e]
		:: else
		fi
	}
	atomic {
		if
		::
#ifndef MUTATE_forget_incarnation
			rowLife[e] == l &&
#endif
			l != 0 && rowLife[e] != 0 -> rowLife[e] = 0;
			rowAck[e] = 0
		:: else
		fi;
		e = 0; l = 0
	}
	od
}

proctype mover() {
	byte seenMembership; /* version of the membership row that was read */
	byte members;        /* bit e: entry e had a row */
	byte epoch;          /* revision of the instance row that was read */
	byte e;

again:
	atomic {
		seenMembership = 0; members = 0; e = 0; epoch = 0
	}
#ifndef MUTATE_version_read_first
	seenMembership = membership;
#endif
	do
	:: atomic { e < ENTRIES ->
		if
		:: rowLife[e] != 0 -> members = members | (1 << e)
		:: else
		fi;
		e++
	}
	:: atomic { e == ENTRIES -> e = 0; break }
	od;
#ifdef MUTATE_version_read_first
	seenMembership = membership;
#endif
	atomic {
		revision < LAST_REVISION -> epoch = revision
	}
	if
	:: atomic { STATE(epoch) == SERVING ->
		if
		:: revision == epoch -> startDrain(epoch); epoch = revision
		:: else -> goto again
		fi
	}
	:: STATE(epoch) == DRAINING
	:: STATE(epoch) == AWAY -> goto move
	fi;
#ifndef MUTATE_wait_for_ack
	do
	:: atomic { e < ENTRIES && (!(members & (1 << e)) || rowLife[e] == 0 ||
			rowAck[e] >= epoch) -> e++ }
	:: atomic { e == ENTRIES -> e = 0; break }
	:: goto again
	od;
#endif
	atomic {
		if
		::
#ifndef MUTATE_epoch
			revision == epoch &&
#endif
#ifndef MUTATE_member_version
			membership == seenMembership &&
#endif
			revision < LAST_REVISION -> finishDrain(epoch);
			epoch = revision
		:: else -> goto again
		fi
	}
move:
	atomic {
		if
		:: revision == epoch && revision < LAST_REVISION -> commitMove(epoch)
		:: else
		fi
	}
	goto again
}

init {
	byte e;
	atomic {
		for (e : 0 .. ENTRIES - 1) { run entry(e) }
		run network();
		run operator();
		for (e : 1 .. MOVERS) { run mover() }
		e = 0
	}
}
