/*
 * Forgetting a silent entry by elapsed time, as an alternative to an operator
 * who confirms that it is gone (ownership.pml). One entry E may be cut off
 * from the store, dropped from the list, and paused; others may remove its row
 * when all three signs of life (heartbeat row, list, a majority of the
 * entries that E counts by) have been missing for FORGET ticks. E stops by itself
 * when nothing has confirmed it for ISOLATION ticks. For RENEW ticks after its
 * last confirmation nobody can have removed it yet, so that after a pause of
 * all entries the list or a majority may confirm it again.
 *
 * Time is a count of ticks that all processes share; only elapsed time is
 * compared. Messages and replies may be lost. STALL bounds the ticks between
 * E's last check and its bytes on the wire, and LONGEST those until the end of
 * the work on the executor: assumptions, not guards, whose removal
 * (assume_stall) shows what they carry. Silence of the store or of a
 * peer towards E is a message that is lost.
 *
 * property forgotten_is_silent: Each instance belongs to exactly one pool at any moment (no move commits while an entry that it did not wait for still sends).
 *
 * config two-peers: -DISOLATION=2 -DLAG=1 -DSTALL=1 -DLONGEST=0
 * config long-request: -DISOLATION=2 -DLAG=1 -DSTALL=1 -DLONGEST=1
 *
 * mutation assume_stall (two-peers) breaks forgotten_is_silent: E is paused for longer between its check and the send
 * mutation isolation (two-peers) breaks forgotten_is_silent: E does not stop by itself
 * mutation forget_after (two-peers) breaks forgotten_is_silent: the others wait for ISOLATION + LAG + STALL
 * mutation heartbeat_silent (two-peers) breaks forgotten_is_silent: list and majority are enough
 * mutation list_silent (two-peers) breaks forgotten_is_silent: heartbeat row and majority are enough
 * mutation majority_silent (two-peers) breaks forgotten_is_silent: heartbeat row and list are enough
 * mutation row_version (two-peers) breaks forgotten_is_silent: the removal is not conditional on the row version that was judged
 * mutation asked_at (two-peers) breaks forgotten_is_silent: a confirmation counts from its answer, not from its question
 * mutation lapse_final (long-request) breaks forgotten_is_silent: after a lapse the list or a majority confirms again, however late
 * mutation renew_before_claims (long-request) breaks forgotten_is_silent: the time for which a claim is fresh is not subtracted from RENEW
 * mutation read_back (two-peers) breaks forgotten_is_silent: after a heartbeat without reply any row of E that is read, perhaps an old one, confirms E from now on
 * mutation same_quorum (two-peers) breaks forgotten_is_silent: E counts its majority in the set it knows, the others in the newest set
 * mutation quorum_in_doubt (two-peers) breaks forgotten_is_silent: after a heartbeat without reply E counts by the old set only
 */
/* Twice ISOLATION: a question that was asked just before E lapses may be
 * answered by a peer just after it has claimed not to have heard E. */
#ifdef MUTATE_forget_after
#define FORGET (ISOLATION + LAG + STALL + LONGEST)
#else
#define FORGET (2 * ISOLATION + LAG + STALL + LONGEST)
#endif
/* The list may show E for LAG ticks after it was dropped, and a claim that a
 * peer has made before it hears E again counts for CLAIM ticks: it may be
 * delayed on its way into the peer's row, and is fresh there for STALL + 1. */
#define CLAIM (2 * STALL + 1)
#ifdef MUTATE_renew_before_claims
#define RENEW (FORGET - LAG)
#else
#define RENEW (FORGET - LAG - CLAIM)
#endif
#define MAX_ASK 2                     /* a call ends within so many ticks */
/* Ages are not counted further. */
#define OLDEST (RENEW > ISOLATION + MAX_ASK -> RENEW : ISOLATION + MAX_ASK)

/* Peer 0 is there from the start; peer 1 joins later and stands for three
 * new entries that act as one, such as those put in place of a lost zone. */
#define SIZE(set) (((set) & 1) + 3 * (((set) >> 1) & 1))
/* More than half of E and the peers in the set; E answers for itself. */
#define IS_MAJORITY(answers, set) (2 * (SIZE((answers) & (set)) + 1) > SIZE(set) + 1)
#define SILENT ((claimLeft[0] > 0) + 2 * (claimLeft[1] > 0))
#define IS_SILENT_MAJORITY(set) (2 * SIZE(SILENT & (set)) > SIZE(set) + 1)

byte joined = 1;          /* registered peers */
byte rowSet = 1;          /* peers that E's row names as those it counts by */
bool removed;
bool renewed;             /* E's row was written since it was judged */

/* Ages in ticks. */
byte confirmedAge;        /* of E's newest confirmation */
byte rowAge;              /* since E's row was written */
byte unlistedAge;         /* since E was listed */
byte heardAge[2];     /* since the peer has heard E */
byte claimLeft[2];    /* ticks for which the peer's claim not to have heard E is fresh */

/* E's question that is out. */
bool asking;
byte askAge;
byte answers;             /* bit p: peer p has answered */
bool listAnswer, tableAnswer;
byte mySet = 1;           /* peers that E counts by */
byte doubtSet = 1;        /* the set of a heartbeat without reply */
byte lostAge = OLDEST;    /* of a heartbeat that committed without reply */

/* E's request between the check and the wire. */
bool checked;             /* until the work has ended */
byte stallAge;

#define GROWN(age, most) (age < most -> age + 1 : age)

proctype ticks() {
	do
	:: d_step {
#ifndef MUTATE_assume_stall
		(!checked || stallAge < STALL + LONGEST) &&
#endif
		(!asking || askAge < MAX_ASK) ->
		confirmedAge = GROWN(confirmedAge, OLDEST);
		lostAge = GROWN(lostAge, OLDEST);
		rowAge = GROWN(rowAge, FORGET);
		unlistedAge = GROWN(unlistedAge, FORGET);
		heardAge[0] = GROWN(heardAge[0], FORGET);
		heardAge[1] = (joined & 2 -> GROWN(heardAge[1], FORGET) : 0);
		claimLeft[0] = (claimLeft[0] > 0 -> claimLeft[0] - 1 : 0);
		claimLeft[1] = (claimLeft[1] > 0 -> claimLeft[1] - 1 : 0);
		askAge = askAge + asking;
		stallAge = (checked && stallAge < STALL + LONGEST -> stallAge + 1 : stallAge)
	}
	od
}

proctype world() {
	do
	:: d_step { unlistedAge != 0 -> unlistedAge = 0 } /* the list shows E */
	:: d_step { joined == 1 -> joined = 3 }
	od
}

inline confirmStanding(source) {
	if
	:: (
#ifndef MUTATE_lapse_final
		confirmedAge - askAge < ISOLATION || confirmedAge < RENEW ||
#else
		true ||
#endif
		source) && askAge < confirmedAge ->
#ifndef MUTATE_asked_at
		confirmedAge = askAge
#else
		confirmedAge = 0
#endif
	:: else
	fi
}

inline endQuestion() {
	asking = false;
	askAge = 0;
	answers = 0;
	listAnswer = false;
	tableAnswer = false
}

proctype entry() {
	do
	:: d_step { !asking -> asking = true }
	/* a peer hears E and answers */
	:: d_step { asking -> heardAge[0] = 0; answers = answers | 1 }
	:: d_step { asking && (joined & 2) -> heardAge[1] = 0; answers = answers | 2 }
	:: d_step { asking && unlistedAge <= LAG -> listAnswer = true }
	:: d_step { asking && !removed && !tableAnswer -> /* heartbeat */
		rowAge = 0;
		renewed = true;
		rowSet = joined;
		doubtSet = joined;
		tableAnswer = true
	}
	/* replies arrive */
	:: d_step { tableAnswer ->
		mySet = doubtSet;
		confirmStanding(true);
		endQuestion()
	}
	:: d_step { listAnswer -> confirmStanding(false); endQuestion() }
	:: d_step {
#ifndef MUTATE_quorum_in_doubt
		IS_MAJORITY(answers, doubtSet) &&
#endif
		asking && IS_MAJORITY(answers, mySet) ->
		confirmStanding(false);
		endQuestion()
	}
	:: d_step { asking -> /* lost */
		lostAge = (tableAnswer -> askAge : lostAge);
		endQuestion()
	}
	/* a read of the own row, perhaps an old one, with the operation id of that
	 * heartbeat: confirms from the time of its question, and no later */
#ifndef MUTATE_read_back
	:: d_step { lostAge < OLDEST ->
		mySet = doubtSet;
		confirmedAge = (lostAge < confirmedAge -> lostAge : confirmedAge);
		lostAge = OLDEST
	}
#else
	:: d_step { asking -> confirmStanding(true); endQuestion() }
#endif
	:: d_step { !checked &&
#ifndef MUTATE_isolation
		confirmedAge < ISOLATION &&
#endif
		true -> checked = true; stallAge = 0
	}
	:: d_step { checked ->
		checked = false;
		stallAge = 0;
		assert(!removed) // forgotten_is_silent
	}
	od
}

proctype forgetter() {
	bool judged;
	do
	/* a peer claims that it has not heard E */
	:: d_step { heardAge[0] >= FORGET -> claimLeft[0] = CLAIM }
	:: d_step { heardAge[1] >= FORGET -> claimLeft[1] = CLAIM }
	:: d_step { /* judges the signs of life */
#ifndef MUTATE_heartbeat_silent
		rowAge >= FORGET &&
#endif
#ifndef MUTATE_list_silent
		unlistedAge >= FORGET &&
#endif
#ifndef MUTATE_majority_silent
#ifndef MUTATE_same_quorum
		IS_SILENT_MAJORITY(rowSet) &&
#else
		IS_SILENT_MAJORITY(joined) &&
#endif
#endif
		!removed && !judged -> judged = true; renewed = false
	}
	:: d_step { /* forgetEntry, perhaps after a pause */
		judged -> judged = false;
		if
		::
#ifndef MUTATE_row_version
			!renewed &&
#endif
			!removed -> removed = true
		:: else
		fi
	}
	od
}

init {
	atomic {
		run ticks();
		run world();
		run entry();
		run forgetter()
	}
}
