/*
 * A key that is taken away, an entry E that judges calls with it, and a peer P
 * of E. Both read the configuration from the store; E may also ask P. Any read,
 * question, answer and request may be under way for any time, and E may stand
 * still at any point. Time is counted in ticks; ages end at BOUND.
 *
 * property no_late_use: no call is served that was sent BOUND or more after the removal of its key was acknowledged.
 *
 * config one-peer: -DBOUND=3
 *
 * mutation sent_at (one-peer) breaks no_late_use: a read confirms from the receipt of its answer
 * mutation within_bound (one-peer) breaks no_late_use: a key is accepted however long ago the configuration was confirmed
 * mutation suspension (one-peer) breaks no_late_use: E measures by its steady clock only, which stands still while E is suspended
 * mutation judge_after_arrival (one-peer) breaks no_late_use: E judges a connection before a call on it has arrived
 * mutation readable (one-peer) breaks no_late_use: a configuration that E cannot read confirms the one before
 * mutation asked_at (one-peer) breaks no_late_use: the word of P counts from its receipt
 * mutation stated_age (one-peer) breaks no_late_use: the word of P counts from the question, without the age that P states
 * mutation same_version (one-peer) breaks no_late_use: the word of P counts for whatever version E uses
 */
#define GROWN(age) (age < BOUND -> age + 1 : age)
#define LEAST(a, b) (a < b -> a : b)

bool removed;          /* the removal is acknowledged */
byte removedAge;

/* The reads of E and P: not sent, sent, answered by the store. */
mtype = {idle, sent, kept, gone};
mtype read = idle;
byte readAge;
mtype peerRead = idle;
byte peerReadAge;

bool listed = true;    /* E uses a configuration with the key */
byte confirmedAge = BOUND;
bool peerListed = true;
byte peerConfirmedAge = BOUND;

/* The question of E to P: not sent, sent, answered. */
mtype question = idle;
byte questionAge;
byte statedAge;

/* A call: when it was sent, by the age of the removal then. */
bool called;
byte calledAge;
bool judged;

proctype ticks() {
	do
	:: d_step {
		true ->
		removedAge = (removed -> GROWN(removedAge) : 0);
		peerConfirmedAge = GROWN(peerConfirmedAge);
		peerReadAge = (peerRead == idle -> 0 : GROWN(peerReadAge));
		confirmedAge = GROWN(confirmedAge);
		readAge = (read == idle -> 0 : GROWN(readAge));
		questionAge = (question == idle -> 0 : GROWN(questionAge))
	}
#ifdef MUTATE_suspension
	:: d_step {
		true ->
		removedAge = (removed -> GROWN(removedAge) : 0);
		peerConfirmedAge = GROWN(peerConfirmedAge);
		peerReadAge = (peerRead == idle -> 0 : GROWN(peerReadAge))
	}
#endif
	od
}

proctype store() {
	do
	:: d_step { !removed -> removed = true }
	:: d_step { read == sent -> read = (removed -> gone : kept) }
	:: d_step { peerRead == sent -> peerRead = (removed -> gone : kept) }
	od
}

proctype peer() {
	do
	:: d_step { peerRead == idle -> peerRead = sent; peerReadAge = 0 }
	:: d_step { peerRead == kept || peerRead == gone ->
		peerListed = (peerRead == kept);
		peerConfirmedAge = peerReadAge;
		peerRead = idle; peerReadAge = 0
	}
	:: d_step { question == sent ->
		statedAge = peerConfirmedAge;
		question = (peerListed -> kept : gone)
	}
	od
}

proctype entry() {
	do
	:: d_step { read == idle -> read = sent; readAge = 0 }
	:: d_step { read == kept || read == gone ->
		listed = (read == kept);
#ifndef MUTATE_sent_at
		confirmedAge = readAge;
#else
		confirmedAge = 0;
#endif
		read = idle; readAge = 0
	}
	:: d_step { read == gone -> /* it cannot be read */
#ifdef MUTATE_readable
		confirmedAge = readAge;
#else
		confirmedAge = BOUND;
#endif
		read = idle; readAge = 0
	}
	:: d_step { question == idle -> question = sent; questionAge = 0 }
	:: d_step { question == kept || question == gone ->
		if
#ifndef MUTATE_same_version
		:: (question == kept) == listed ->
#else
		:: true ->
#endif
#ifdef MUTATE_asked_at
			confirmedAge = LEAST(confirmedAge, statedAge)
#else
#ifdef MUTATE_stated_age
			confirmedAge = LEAST(confirmedAge, questionAge)
#else
			confirmedAge = LEAST(confirmedAge, LEAST(BOUND, questionAge + statedAge))
#endif
#endif
		:: else -> skip
		fi;
		question = idle; questionAge = 0; statedAge = 0
	}
	:: d_step {
#ifndef MUTATE_judge_after_arrival
		called &&
#endif
		listed &&
#ifndef MUTATE_within_bound
		confirmedAge < BOUND &&
#endif
		!judged -> judged = true
	}
	:: d_step { judged && called ->
		assert(calledAge < BOUND); // no_late_use
		called = false; calledAge = 0; judged = false
	}
	od
}

proctype caller() {
	do
	:: d_step { !called -> called = true; calledAge = removedAge }
	od
}

init {
	atomic {
		run ticks();
		run store();
		run peer();
		run entry();
		run caller()
	}
}
