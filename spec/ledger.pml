/*
 * Budget ledgers: planners that race, a mover, unplanned loss, reboots.
 *
 * Two pools with one service and one ledger each; every ledger allows one
 * executor away. Both instances begin in pool 0. Writes stay in the network:
 * delivered never, late or again; so does the call that reboots an instance.
 * A planner may be paused or killed between two steps; any planner goes on
 * from the rows. What a planner sees of an instance's life may be old.
 *
 * property budget_kept: No service's availability budget is overspent, even during a maintenance wave (instances down by plan, or whose row does not serve).
 * property loss_first: No service's availability budget is overspent (known loss counts before any plan).
 * property ledger_matches: Each instance belongs to exactly one pool (it is booked in that pool's ledger only, and away there exactly while its row does not serve).
 *
 * config two-planners: -DPLANNERS=2 -DMOVERS=0 -DLOSS=0 -DMAX_EPOCH=4
 * config loss: -DPLANNERS=1 -DMOVERS=0 -DLOSS=1 -DMAX_EPOCH=4
 * config mover: -DPLANNERS=1 -DMOVERS=1 -DLOSS=0 -DMAX_EPOCH=3
 *
 * mutation ledger_version (two-planners) breaks budget_kept: reserveAway is not conditional on the ledger's version
 * mutation one_transaction (two-planners) breaks budget_kept: the instance is written first and the ledger after it
 * mutation give_back_epoch (two-planners) breaks budget_kept: giveBack is not conditional on the versions that were read
 * mutation give_back_new_life (two-planners) breaks budget_kept: giveBack accepts the life that was listed before the reboot
 * mutation reboot_incarnation (two-planners) breaks budget_kept: the reboot does not name the life that it is meant for
 * mutation reboot_after_commit (two-planners) breaks budget_kept: reboots before the reservation is known to be committed
 * mutation loss_counts (loss) breaks loss_first: what is lost is not counted
 * mutation recovery_row (loss) breaks ledger_matches: markRecovered does not look at the instance's row
 * mutation move_counts (mover) breaks budget_kept: a move drains the instance without reserving
 * mutation move_ledgers (mover) breaks ledger_matches: commitMove leaves the instance in the old pool's ledger
 */
#define INSTANCES 2
#define MAX_AWAY 1
#define LIVES 2
#define MAX_LEDGER 8 /* versions of a ledger that losses may make */

/* Entries of a ledger. */
#define NONE 0
#define SERVING 1
#define BOOKED_AWAY 2
#define LOST 3

/* Instance rows. */
byte epoch[INSTANCES];
byte pool[INSTANCES];
bool away[INSTANCES];       /* the row says draining or away */
byte lifeBefore[INSTANCES]; /* life that was listed when it was taken */

/* Ledger rows, one a pool; version of each row. */
byte ledger[2 * INSTANCES];
byte ledgerVersion[2];
#define BOOKED(p, i) ledger[(p) * INSTANCES + (i)]

/* The instances themselves. */
byte life[INSTANCES];
bool down[INSTANCES];
bool downByPlan[INSTANCES];
byte rebootSent[INSTANCES]; /* bit l: a reboot meant for life l is in the network */

#define OFF(p, i) (pool[i] == p && (away[i] || downByPlan[i]))
#define BOOKED_OFF(p, i) (BOOKED(p, i) == BOOKED_AWAY || BOOKED(p, i) == LOST)
#define COUNT_OFF(p) (OFF(p, 0) + OFF(p, 1))
#define COUNT_BOOKED(p) (BOOKED_OFF(p, 0) + BOOKED_OFF(p, 1))
#define MATCHES(i) (BOOKED(1 - pool[i], i) == NONE && BOOKED(pool[i], i) != NONE && ((BOOKED(pool[i], i) == SERVING && !away[i]) || (BOOKED(pool[i], i) == BOOKED_AWAY && away[i]) || BOOKED(pool[i], i) == LOST))

inline check() {
	assert(COUNT_OFF(0) <= MAX_AWAY && COUNT_OFF(1) <= MAX_AWAY); // budget_kept
	assert(MATCHES(0) && MATCHES(1)) // ledger_matches
}

/* Takes instance i away; e and v are the versions that were read. */
inline reserveAway(i, e, v) {
	if
	::
#ifndef MUTATE_ledger_version
		ledgerVersion[pool[i]] == v &&
#endif
		epoch[i] == e && e < MAX_EPOCH ->
		assert(COUNT_BOOKED(pool[i]) < MAX_AWAY); // loss_first
		epoch[i]++;
		away[i] = true;
		lifeBefore[i] = life[i];
#ifndef MUTATE_one_transaction
		BOOKED(pool[i], i) = BOOKED_AWAY;
		ledgerVersion[pool[i]]++;
#endif
		check()
	:: else
	fi
}

inline giveBack(i, e, v) {
	if
	::
#ifndef MUTATE_give_back_epoch
		epoch[i] == e && ledgerVersion[pool[i]] == v &&
#endif
		away[i] && epoch[i] < MAX_EPOCH ->
		epoch[i]++;
		away[i] = false;
		BOOKED(pool[i], i) = SERVING;
		ledgerVersion[pool[i]]++;
		check()
	:: else
	fi
}

proctype planner() {
	byte i;
	byte e, v;   /* versions that were read */
	byte kind;   /* the write that is in the network: 1 reserve, 2 give back */

	do
	:: atomic { /* reads, and decides by what was read */
		e = 0; v = 0; kind = 0;
		select(i: 0 .. INSTANCES - 1);
		if
		:: !away[i] && BOOKED(pool[i], i) == SERVING &&
#ifdef MUTATE_loss_counts
			(BOOKED(pool[i], 0) == BOOKED_AWAY) + (BOOKED(pool[i], 1) == BOOKED_AWAY) < MAX_AWAY &&
#else
			COUNT_BOOKED(pool[i]) < MAX_AWAY &&
#endif
			true -> kind = 1
		:: away[i] && !down[i] &&
#ifndef MUTATE_give_back_new_life
			life[i] != lifeBefore[i] &&
#endif
			true -> kind = 2
		:: else
		fi;
		if
		:: kind != 0 -> e = epoch[i]; v = ledgerVersion[pool[i]]
		:: else -> i = 0
		fi
	}
	:: atomic { kind == 1 -> reserveAway(i, e, v) } /* at once, late or again */
	:: atomic { kind == 2 -> giveBack(i, e, v) }
	:: atomic { /* the row is seen away: reboot, and perhaps again */
		kind == 0 ->
		select(i: 0 .. INSTANCES - 1);
		if
		:: away[i] && life[i] == lifeBefore[i] ->
			rebootSent[i] = rebootSent[i] | (1 << life[i])
		:: else
		fi;
		i = 0
	}
#ifdef MUTATE_reboot_after_commit
	:: atomic { kind == 1 -> rebootSent[i] = rebootSent[i] | (1 << life[i]) }
#endif
	od
}

/* The platform: reboots, and unplanned loss. */
proctype platform() {
	byte i, l;
	do
	:: atomic {
		select(i: 0 .. INSTANCES - 1);
		select(l: 0 .. LIVES - 1);
		if
		:: (rebootSent[i] & (1 << l)) &&
#ifndef MUTATE_reboot_incarnation
			l == life[i] &&
#endif
			!down[i] && life[i] < LIVES ->
			down[i] = true;
			downByPlan[i] = true;
			check()
		:: down[i] ->
			down[i] = false;
			downByPlan[i] = false;
			life[i]++
#if LOSS
		:: !down[i] && life[i] < LIVES -> down[i] = true
#endif
		:: else
		fi;
		i = 0; l = 0
	}
	od
}

#if LOSS
/* Books what the lagging list shows as lost, or live again. */
proctype watcher() {
	byte i;
	do
	:: atomic { /* the list may be old: a live instance may be booked as lost */
		select(i: 0 .. INSTANCES - 1);
		if
		:: ledgerVersion[pool[i]] < MAX_LEDGER && (BOOKED(pool[i], i) == SERVING ||
			BOOKED(pool[i], i) == BOOKED_AWAY) ->
			BOOKED(pool[i], i) = LOST; /* markLost, convertAwayToLost */
			ledgerVersion[pool[i]]++;
			check()
		:: BOOKED(pool[i], i) == LOST && !down[i] && ledgerVersion[pool[i]] < MAX_LEDGER &&
#ifndef MUTATE_recovery_row
			!away[i] &&
#endif
			true ->
			BOOKED(pool[i], i) = SERVING; /* markRecovered */
			ledgerVersion[pool[i]]++;
			check()
		:: else
		fi;
		i = 0
	}
	od
}
#endif

#if MOVERS
/* Moves an instance to the other pool; it needs no reboot. */
proctype mover() {
	byte i, e, v, w;
	do
	:: atomic {
		e = 0; v = 0; w = 0;
		select(i: 0 .. INSTANCES - 1);
		if
		:: !away[i] && COUNT_BOOKED(pool[i]) < MAX_AWAY ->
			e = epoch[i]; v = ledgerVersion[pool[i]]
		:: else -> goto skipped
		fi
	}
	atomic { /* startDrain */
		if
#ifdef MUTATE_move_counts
		:: epoch[i] == e && e < MAX_EPOCH -> epoch[i]++; away[i] = true;
			check()
#else
		:: true -> reserveAway(i, e, v)
#endif
		:: true -> goto skipped /* killed */
		fi;
		if
		:: epoch[i] == e + 1 && away[i] -> e = epoch[i]
		:: else -> goto skipped
		fi
	}
	/* every entry has acknowledged: see ownership.pml */
	atomic { v = ledgerVersion[pool[i]]; w = ledgerVersion[1 - pool[i]] }
	atomic { /* commitMove */
		if
		:: epoch[i] == e && e < MAX_EPOCH && ledgerVersion[pool[i]] == v && ledgerVersion[1 - pool[i]] == w && life[i] == lifeBefore[i] && !down[i] && rebootSent[i] == 0 ->
			epoch[i]++;
#ifndef MUTATE_move_ledgers
			BOOKED(pool[i], i) = NONE;
			BOOKED(1 - pool[i], i) = SERVING;
#endif
			ledgerVersion[0]++;
			ledgerVersion[1]++;
			away[i] = false;
			pool[i] = 1 - pool[i];
			check()
		:: else
		fi
	}
skipped:
	atomic { i = 0; e = 0; v = 0; w = 0 }
	od
}
#endif

init {
	byte n;
	atomic {
		for (n : 0 .. INSTANCES - 1) { BOOKED(0, n) = SERVING }
		run platform();
		for (n : 1 .. PLANNERS) { run planner() }
#if MOVERS
		run mover();
#endif
#if LOSS
		run watcher();
#endif
		n = 0
	}
}
