/*
 * Contract changes: compare-and-set by racing operators, lost replies.
 *
 * A commit that was sent stays in the network: it may be delivered never, late
 * or again. Each change adds one bit to the contracts, so that a change which
 * is lost or reverted shows as a missing bit.
 *
 * property accepted_kept: An accepted contract change never reverts (the store).
 * property accepted_truthful: A change that is told accepted has been committed.
 * property refused_truthful: A change that is told refused is not and will not be committed.
 *
 * config three-operators: -DOPERATORS=3
 *
 * mutation if_match (three-operators) breaks accepted_kept: the commit is not conditional on the version that the operator has read
 * mutation repeat_commit (three-operators) breaks refused_truthful: after a lost reply the operator reads back, in place of sending the same commit again
 * mutation history_row (three-operators) breaks refused_truthful: the operation id is looked for in the contract's row only, where the next change overwrites it
 * mutation effect_unknown (three-operators) breaks accepted_truthful: a lost reply counts as accepted
 */
#define LAST 4  /* one revision an operator, and one that only a missing guard allows */

mtype = {untold, accepted, refused};

/* The store: the contracts' row at each revision, with the operation that
 * wrote it last, and the history rows, one an operation. */
byte revision;
byte contracts[LAST + 1];
byte lastOperation;
byte history;  /* bit op: the history row of op is there */
#define IN_HISTORY(op) ((history & (1 << op)) != 0)

/* Commits in the network. */
bool sent[OPERATORS];
byte expected[OPERATORS];  /* If-Match */
byte content[OPERATORS];

mtype told[OPERATORS];


inline commitChange(op) {
	if
	:: revision < LAST &&
#ifndef MUTATE_if_match
		expected[op] == revision &&
#endif
		true ->
		assert(told[op] != refused); // refused_truthful
		revision++;
		contracts[revision] = content[op];
		lastOperation = op + 1;
		history = history | (1 << op);
		assert((contracts[revision] & contracts[revision - 1]) == contracts[revision - 1]); // accepted_kept
		committed = true
	:: else -> committed = false
	fi
}

inline tell(op, what) {
	told[op] = what;
	assert(what != accepted || IN_HISTORY(op)); // accepted_truthful
	assert(what != refused || !IN_HISTORY(op)) // refused_truthful
}

proctype operator(byte me) {
	byte r;
	bool committed, found;

	atomic { /* a read, perhaps an old one */
		select(r: 0 .. revision);
		expected[me] = r;
		content[me] = contracts[r] | (1 << me);
		r = 0
	}
	sent[me] = true;
	do
	:: atomic { /* the reply arrives */
		commitChange(me);
		if
		:: committed -> tell(me, accepted)
		:: else ->
#ifndef MUTATE_history_row
			found = IN_HISTORY(me);
#else
			found = (lastOperation == me + 1);
#endif
			if
			:: found -> tell(me, accepted)
			:: else -> tell(me, refused)
			fi
		fi;
		committed = false; found = false;
		break
	}
	:: atomic { /* the reply is lost */
		if
		:: true -> commitChange(me)
		:: true
		fi;
		committed = false
	}
#ifdef MUTATE_effect_unknown
	tell(me, accepted);
	break
#endif
#ifdef MUTATE_repeat_commit
	atomic {
		if
		:: IN_HISTORY(me) -> tell(me, accepted)
		:: else -> tell(me, refused)
		fi;
		break
	}
#endif
	:: break /* crash, or told unknown */
	od
}

/* Delivers commits late or again. */
proctype network() {
	byte op;
	bool committed;
	do
	:: atomic {
		select(op: 0 .. OPERATORS - 1);
		if
		:: sent[op] -> commitChange(op)
		:: else
		fi;
		op = 0;
		committed = false
	}
	od
}


init {
	byte n;
	atomic {
		for (n : 0 .. OPERATORS - 1) {
			told[n] = untold;
			run operator(n)
		}
		run network();
		n = 0
	}
}
