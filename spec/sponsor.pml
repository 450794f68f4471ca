/*
 * An entry S that starts while the table service is down, with a registered
 * peer P as its sponsor: P acknowledges for S until S has registered itself.
 * Both may crash and come back with a new life; S starts with a view that may
 * be old. Time is counted in ticks; STALL bounds the ticks between S's last
 * check and its bytes on the wire.
 *
 * property sponsored_is_counted: Each instance belongs to exactly one pool at any moment (no drain finishes while a sponsored entry routes by the view before it).
 *
 * config one-sponsor: -DISOLATION=2 -DSTALL=1
 *
 * mutation slowest_counts (one-sponsor) breaks sponsored_is_counted: P acknowledges what is in force in P only
 * mutation refuses_older (one-sponsor) breaks sponsored_is_counted: P sponsors an entry whose view is older than what P has acknowledged
 * mutation same_life (one-sponsor) breaks sponsored_is_counted: a new life of S counts as sponsored already
 * mutation new_sponsor_waits (one-sponsor) breaks sponsored_is_counted: a new life of P acknowledges at once
 * mutation keeps_sponsored (one-sponsor) breaks sponsored_is_counted: P drops S before S has stopped by itself
 * mutation isolation (one-sponsor) breaks sponsored_is_counted: S does not stop by itself
 */
#define WAIT (ISOLATION + STALL)
#ifdef MUTATE_keeps_sponsored
#define DROP 1
#else
#define DROP WAIT
#endif
#ifdef MUTATE_new_sponsor_waits
#define HOLD 0
#else
#define HOLD WAIT
#endif
#define MAX_ASK 2
#define OLDEST (ISOLATION + MAX_ASK)
#define LIVES 2
#define GROWN(age, most) (age < most -> age + 1 : age)

byte drain;            /* 1: startDrain has committed; 2: finishDrain has */

/* P: its row, what it has told, and the entry that it sponsors. */
byte pLife = 1;
byte pView;
byte acked;            /* acknowledged revision in the row */
byte highest;          /* highest that this life has acknowledged */
byte upAge = HOLD;     /* since this life began */
byte known;            /* life of S that P sponsors; 0: none */
byte knownInForce;
byte knownAge;         /* since it last asked */

/* S. */
byte life = 1;
byte view;
bool asking, answered;
byte askAge, askInForce;
byte confirmedAge = OLDEST;
bool checked;          /* a request between the check and the wire */
byte checkedView;
byte stallAge;

proctype ticks() {
	do
	:: d_step {
		(!checked || stallAge < STALL) && (!asking || askAge < MAX_ASK) ->
		upAge = GROWN(upAge, HOLD);
		knownAge = (known != 0 -> GROWN(knownAge, WAIT) : 0);
		confirmedAge = GROWN(confirmedAge, OLDEST);
		askAge = askAge + asking;
		stallAge = (checked && stallAge < STALL -> stallAge + 1 : stallAge)
	}
	od
}

proctype sponsor() {
	do
	:: d_step { drain >= 1 && pView == 0 -> pView = 1 } /* applyRevision */
	:: d_step { /* acknowledgeRevision */
		true ->
#ifndef MUTATE_slowest_counts
		acked = (known != 0 && knownInForce < pView -> knownInForce : pView);
#else
		acked = pView;
#endif
		highest = (acked > highest -> acked : highest)
	}
	:: d_step { known != 0 && knownAge >= DROP ->
		known = 0; knownInForce = 0; knownAge = 0
	}
	:: d_step { /* the question of S arrives */
		asking && !answered &&
#ifndef MUTATE_refuses_older
#ifndef MUTATE_same_life
		((known == life) || askInForce >= highest) &&
#else
		((known != 0) || askInForce >= highest) &&
#endif
#endif
		true ->
		known = life;
		knownInForce = askInForce;
		knownAge = 0;
		answered = true
	}
	:: d_step { pLife < LIVES -> /* a new life: registers with the newest view */
		pLife++;
		pView = (drain >= 1);
		acked = pView;
		highest = acked;
		upAge = 0;
		known = 0; knownInForce = 0; knownAge = 0
	}
	od
}

proctype entry() {
	do
	:: d_step { !asking -> /* acknowledges what is in force, with what is in flight */
		asking = true;
		askInForce = (checked && checkedView < view -> checkedView : view)
	}
	:: d_step { asking && answered ->
		confirmedAge = (askAge < confirmedAge -> askAge : confirmedAge);
		asking = false; answered = false; askAge = 0; askInForce = 0
	}
	:: d_step { asking -> asking = false; answered = false; askAge = 0; askInForce = 0 }
	:: d_step { drain >= 1 && view == 0 -> view = 1 }
	:: d_step {
#ifndef MUTATE_isolation
		confirmedAge < ISOLATION &&
#endif
		!checked -> checked = true; checkedView = view; stallAge = 0
	}
	:: d_step { checked ->
		assert(checkedView == 1 || drain < 2); // sponsored_is_counted
		checked = false; checkedView = 0; stallAge = 0
	}
	:: d_step { life < LIVES -> /* crash, and a new life with an old view */
		life++;
		view = 0;
		asking = false; answered = false; askAge = 0; askInForce = 0;
		confirmedAge = OLDEST;
		checked = false; checkedView = 0; stallAge = 0
	}
	od
}

proctype mover() {
	drain = 1; /* startDrain */
	acked == 1 && upAge >= HOLD;
	drain = 2 /* finishDrain, perhaps after a pause */
}

init {
	atomic {
		run ticks();
		run sponsor();
		run entry();
		run mover()
	}
}
