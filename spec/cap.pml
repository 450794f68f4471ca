/*
 * The cap of a team, shared by the services A and B in one row. A changes hands:
 * OLD may start tasks on an executor that NEW has not polled yet, until NEW
 * polls it; then it obeys NEW only. NEW starts tasks on another executor. Writes
 * of the row may be stored late or never, and owners may see it late. All tasks
 * are equally large; the cap may be lowered once. Shares may grow beyond the cap,
 * since nothing starts then.
 *
 * property within_cap: no start brings what a team runs above its cap.
 *
 * config takeover: -DCAP=2 -DWRITES=4 -DTAKEOVER=1 -DLOWERED=0
 * config lowered: -DCAP=2 -DWRITES=6 -DTAKEOVER=0 -DLOWERED=1
 *
 * mutation row_version (takeover) breaks within_cap: writes do not check the version of the row
 * mutation share_bounds (takeover) breaks within_cap: an owner starts tasks beyond its share
 * mutation possible_writes (takeover) breaks within_cap: a smaller share does not count until its write is answered
 * mutation own_token (takeover) breaks within_cap: NEW uses the share of OLD before it has written its token
 * mutation unknown_runs (takeover) breaks within_cap: NEW does not count what OLD may run on the executor that has not answered
 * mutation covers_runs (takeover) breaks within_cap: a share may be smaller than what runs
 * mutation row_cap (lowered) breaks within_cap: a lowered cap is used before the row was written under it
 * mutation over_cap (lowered) breaks within_cap: tasks start while the shares exceed a lowered cap
 */
#define OLD 0
#define NEW 1
#define B 2
#define NONE 9
#define LEAST(a, b) (a < b -> a : b)

byte cap = CAP;

/* The row. */
byte version = 1;
byte shareA, shareB;
byte token = 1;        /* of A's share */
byte rowCap = CAP;     /* under which it was written last */

/* What runs: A's on the executor that only OLD has polled, A's on the other. */
byte onOld, onNew, ofB;
bool polled;           /* by NEW */

/* What each owner has seen, and its write that may still be stored. */
byte seenVersion[3];
byte seenA[3], seenB[3], seenToken[3], seenCap[3];
bool sent[3];
byte sentVersion[3], sentShare[3], sentCap[3];
byte possible[3];

#define OWN(i) (i == B -> seenB[i] : seenA[i])
#define HAS_TOKEN(i) (i == B || seenToken[i] == i + 1)

/* Tasks that a service runs, as its owner counts them. */
#ifndef MUTATE_unknown_runs
#define USED_BY_NEW (onNew + (polled -> onOld : CAP))
#else
#define USED_BY_NEW (onNew + (polled -> onOld : 0))
#endif
#define USED(i) (i == OLD -> onOld : (i == NEW -> USED_BY_NEW : ofB))

#ifndef MUTATE_own_token
#define HELD(i) (HAS_TOKEN(i) -> OWN(i) : 0)
#else
#define HELD(i) OWN(i)
#endif
#ifndef MUTATE_possible_writes
#define USABLE(i) LEAST(HELD(i), possible[i])
#else
#define USABLE(i) HELD(i)
#endif

inline see(i) {
	possible[i] = (version > seenVersion[i] -> NONE : possible[i]);
	seenVersion[i] = version;
	seenA[i] = shareA;
	seenB[i] = shareB;
	seenToken[i] = token;
	seenCap[i] = rowCap
}

proctype owner(byte i) {
	byte share;
end:
	do
	:: d_step { seenVersion[i] < version -> see(i) }
	:: atomic { !sent[i] && seenVersion[i] > 0 && version < WRITES &&
		(i == B || seenToken[i] <= i + 1) ->
		if
		:: share = 0
		:: share = 1
		:: share = 2
		fi;
		if
		:: d_step {
#ifndef MUTATE_covers_runs
			share >= LEAST(USED(i), CAP) &&
#endif
			true ->
			sent[i] = true;
			sentVersion[i] = seenVersion[i];
			sentShare[i] = share;
			sentCap[i] = cap;
			possible[i] = LEAST(possible[i], share)
		}
		:: else -> skip
		fi;
		share = 0
	}
	:: d_step { sent[i] -> /* reaches the store */
		if
#ifndef MUTATE_row_version
		:: sentVersion[i] == version ->
#else
		:: true ->
#endif
			if
			:: i == B -> shareB = sentShare[i]
			:: else -> shareA = sentShare[i]; token = i + 1
			fi;
			rowCap = sentCap[i];
			version++
		:: else -> skip
		fi;
		sent[i] = false; sentVersion[i] = 0; sentShare[i] = 0; sentCap[i] = 0
	}
	:: d_step { sent[i] -> sent[i] = false; sentVersion[i] = 0; sentShare[i] = 0; sentCap[i] = 0 } /* lost */
	:: d_step {
#ifndef MUTATE_share_bounds
		USED(i) + 1 <= USABLE(i) &&
#endif
#ifndef MUTATE_row_cap
		seenCap[i] <= cap &&
#endif
#ifndef MUTATE_over_cap
		seenA[i] + seenB[i] <= cap &&
#endif
		(i != OLD || !polled) && onOld + onNew + ofB < 4 ->
		if
		:: i == OLD -> onOld++
		:: i == NEW -> onNew++
		:: else -> ofB++
		fi;
		assert(onOld + onNew + ofB <= cap) // within_cap
	}
	od
}

proctype world() {
end:
	do
	:: d_step { onOld > 0 -> onOld-- }
	:: d_step { onNew > 0 -> onNew-- }
	:: d_step { ofB > 0 -> ofB-- }
	:: d_step { TAKEOVER && !polled -> polled = true }
	:: d_step { LOWERED && cap == CAP -> cap = CAP - 1 }
	od
}

init {
	atomic {
		possible[OLD] = NONE;
		possible[NEW] = NONE;
		possible[B] = NONE;
		run owner(OLD);
		if
		:: TAKEOVER -> run owner(NEW)
		:: else -> skip
		fi;
		run owner(B);
		run world()
	}
}
