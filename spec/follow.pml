/*
 * How entries follow the view: deltas, old reads, hints of peers, and what is
 * told to be in force everywhere. Each change adds one bit to the contracts.
 *
 * property view_keeps: An accepted contract change never reverts (an entry's view).
 * property view_whole: An entry at a revision has every change up to it.
 * property in_force_truthful: What is told in force is in force on every entry that routes.
 * liveness reaches_every_entry: An accepted contract change is in force everywhere (in the end; the seconds are measured, not modelled).
 *
 * config two-entries: -DENTRIES=2 -DLAST=3
 *
 * mutation monotonic_view (two-entries) breaks view_keeps: an older read is put in force
 * mutation contiguous (two-entries) breaks view_whole: the entry takes the revision from the counter and the deltas from another, older read
 * mutation in_force_members (two-entries) breaks in_force_truthful: the members are not checked to be the newest
 * mutation in_force_acknowledged (two-entries) breaks in_force_truthful: told when committed
 * mutation register_current (two-entries) breaks in_force_truthful: registerEntry does not check that the entry's view is the newest
 * mutation poll (two-entries) breaks reaches_every_entry: entries rely on hints of their peers
 */
byte revision;
byte contracts[LAST + 1];

byte membership;
bool member[ENTRIES];
byte ack[ENTRIES];
byte view[ENTRIES];
byte inForce[ENTRIES];  /* contracts that the entry uses */
byte toldInForce;       /* highest revision told in force */

proctype operator() {
	do
	:: atomic { revision < LAST ->
		revision++;
		contracts[revision] = contracts[revision - 1] | (1 << (revision - 1))
	}
	:: revision == LAST -> break
	od
}

inline applyRevision(r, value) {
	if
	:: true &&
#ifndef MUTATE_monotonic_view
		r > view[me] &&
#endif
		true ->
		assert((value & inForce[me]) == inForce[me]); // view_keeps
		view[me] = r;
		inForce[me] = value;
		assert(inForce[me] == contracts[view[me]]) // view_whole
	:: else
	fi
}

inline registerEntry() {
	member[me] = true;
	ack[me] = view[me];
	membership++;
	assert(view[me] >= toldInForce) // in_force_truthful
}

/* Reads that may be old: of the store, or a peer's answer. */
proctype follower(byte me) {
	byte r, counter;
	do
	:: atomic { /* a read, perhaps an old one */
		select(r: 0 .. revision);
#ifdef MUTATE_contiguous
		select(counter: 0 .. revision);
		applyRevision(counter, contracts[r]);
		counter = 0;
#else
		applyRevision(r, contracts[r]);
#endif
		r = 0
	}
	:: atomic {
#ifndef MUTATE_register_current
		view[me] == revision &&
#endif
		!member[me] -> registerEntry()
	}
	:: atomic { member[me] && ack[me] < view[me] -> ack[me] = view[me] } /* acknowledgeRevision */
	od
}

#ifndef MUTATE_poll
/* The poll that reads the newest revision in the end. */
proctype poller(byte me) {
	do
	:: atomic { view[me] < revision -> applyRevision(revision, contracts[revision]) }
	od
}
#endif

/* Tells that a revision is in force everywhere. */
proctype watcher() {
	byte r, e, seenMembership, members;

	do
	:: atomic { /* reads the members, perhaps before the change */
		seenMembership = membership;
		for (e : 0 .. ENTRIES - 1) {
			if
			:: member[e] -> members = members | (1 << e)
			:: else
			fi
		}
		e = 0
	}
	atomic { revision > toldInForce -> r = revision }
	do
	:: atomic { e < ENTRIES && (!(members & (1 << e)) ||
#ifdef MUTATE_in_force_acknowledged
		true ||
#endif
		ack[e] >= r) -> e++ }
	:: atomic { e == ENTRIES ->
		e = 0;
		if
		::
#ifndef MUTATE_in_force_members
			membership == seenMembership &&
#endif
			r > toldInForce ->
			toldInForce = r;
			for (e : 0 .. ENTRIES - 1) {
				assert(!member[e] || view[e] >= toldInForce) // in_force_truthful
			}
		:: else
		fi;
		e = 0; r = 0; members = 0; seenMembership = 0;
		break
	}
	od
	od
}

#define FOLLOWED (view[0] == LAST && view[1] == LAST)
ltl reaches_every_entry { <> FOLLOWED }

init {
	byte n;
	atomic {
		run operator();
		for (n : 0 .. ENTRIES - 1) {
			run follower(n);
#ifndef MUTATE_poll
			run poller(n)
#endif
		}
		run watcher();
		n = 0
	}
}
