/*
 * An entry S that starts while the table service is down and no peer answers:
 * it takes the view from the object store's snapshot and is not registered.
 * Before each read of the snapshot it puts a start marker (a new value each
 * time); a mover looks at the snapshot, then at the marker.
 *
 * The object store keeps the last put. A shard holder that was paused may put
 * its older snapshot at any time, without end. Time is counted in ticks; STALL
 * bounds the ticks between S's last check and its bytes on the wire.
 *
 * property unregistered_is_silent: Each instance belongs to exactly one pool at any moment (S does not route by the view before a drain that has finished).
 *
 * config one-start: -DISOLATION=2 -DSTALL=1
 *
 * mutation snapshot_shows_drain (one-start) breaks unregistered_is_silent: the mover does not look at the snapshot
 * mutation snapshot_by_token (one-start) breaks unregistered_is_silent: all holders put under one name
 * mutation snapshot_before_marker (one-start) breaks unregistered_is_silent: the mover looks at the marker first
 * mutation marker_wait (one-start) breaks unregistered_is_silent: the mover does not wait until S has stopped
 * mutation marker_before_read (one-start) breaks unregistered_is_silent: S reads the snapshot before it puts the marker
 * mutation snapshot_in_force (one-start) breaks unregistered_is_silent: S is confirmed by a newer snapshot without using it
 * mutation isolation (one-start) breaks unregistered_is_silent: S does not stop by itself
 */
#define WAIT (ISOLATION + STALL)
#define MAX_ASK 2
#define OLDEST (ISOLATION + MAX_ASK)
#define GROWN(age, most) (age < most -> age + 1 : age)

byte drain;  /* 1: startDrain has committed; 2: finishDrain has */

/* Snapshots by the holder's token: 0 before the drain, 1 shows it. */
byte snapshot[2];
#define NEWEST (snapshot[0] | snapshot[1])

byte markerAge = WAIT;  /* ticks since the marker was last put */

/* S. */
bool asking, marked, answered;
byte askAge;
byte confirmedAge = OLDEST;
byte view;
bool started;
byte answer;            /* the snapshot that it has read */
bool checked;           /* a request between the check and the wire */
byte checkedView;
byte stallAge;

proctype ticks() {
	do
	:: d_step {
		(!checked || stallAge < STALL) && (!asking || askAge < MAX_ASK) ->
		markerAge = GROWN(markerAge, WAIT);
		confirmedAge = GROWN(confirmedAge, OLDEST);
		askAge = askAge + asking;
		stallAge = (checked && stallAge < STALL -> stallAge + 1 : stallAge)
	}
	od
}

proctype holders() {
	do
	:: d_step { drain >= 1 && snapshot[1] == 0 -> snapshot[1] = 1 }
	/* the earlier holder, which was paused */
#ifndef MUTATE_snapshot_by_token
	:: d_step { snapshot[0] == 0 -> snapshot[0] = 0 }
#else
	:: d_step { snapshot[1] == 1 -> snapshot[1] = 0 }
#endif
	od
}

proctype entry() {
	do
	:: d_step { !asking -> asking = true; askAge = 0 }
#ifndef MUTATE_marker_before_read
	:: d_step { asking && !marked -> marked = true; markerAge = 0 }
	:: d_step { asking && marked && !answered -> answered = true; answer = NEWEST }
#else
	:: d_step { asking && !answered -> answered = true; answer = NEWEST }
	:: d_step { asking && answered && !marked -> marked = true; markerAge = 0 }
#endif
	:: d_step { asking && marked && answered -> /* confirmed from the question on */
#ifdef MUTATE_snapshot_in_force
		view = (started -> view : answer);
#else
		view = (view > answer -> view : answer); /* applyRevision */
#endif
		started = true;
		confirmedAge = (askAge < confirmedAge -> askAge : confirmedAge);
		asking = false; marked = false; answered = false; askAge = 0; answer = 0
	}
	:: d_step { asking -> /* no answer */
		asking = false; marked = false; answered = false; askAge = 0; answer = 0
	}
	:: d_step {
#ifndef MUTATE_isolation
		confirmedAge < ISOLATION &&
#endif
		started && !checked -> checked = true; checkedView = view; stallAge = 0
	}
	:: d_step { checked ->
		assert(checkedView == 1 || drain < 2); // unregistered_is_silent
		checked = false; checkedView = 0; stallAge = 0
	}
	:: d_step { started && !checked -> /* a new life */
		started = false; view = 0; confirmedAge = OLDEST;
		asking = false; marked = false; answered = false; askAge = 0; answer = 0
	}
	od
}

proctype mover() {
	drain = 1; /* startDrain */
again:
#ifndef MUTATE_snapshot_before_marker
#ifndef MUTATE_snapshot_shows_drain
	NEWEST == 1;
#endif
#ifndef MUTATE_marker_wait
	if
	:: markerAge >= WAIT
	:: else -> goto again
	fi;
#endif
#else
	markerAge >= WAIT;
	NEWEST == 1;
#endif
	drain = 2 /* finishDrain, perhaps after a pause */
}

init {
	atomic {
		run ticks();
		run holders();
		run entry();
		run mover()
	}
}
