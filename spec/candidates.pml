/*
 * Takeover of a shard where only its holder and candidates send heartbeats.
 * Entry 0 holds it first, entry 1 is a candidate, the others are observers.
 * Entries crash, and come back as another life, so many times in all. What is
 * modelled of time is only that silence is noticed in the end.
 *
 * property heartbeat_first: The heartbeat of a holder's life is stored before it holds.
 * property version_holds: A claim takes the shard only from the lease that was judged.
 * liveness taken_over: In the end a live entry holds the shard, if any lives.
 *
 * config three-entries: -DENTRIES=3 -DCRASHES=3
 *
 * mutation heartbeat_before_claim (three-entries) breaks heartbeat_first: an observer claims without a heartbeat
 * mutation check_version (three-entries) breaks version_holds: the claim does not check the version of the lease
 * mutation observers_claim (three-entries) breaks taken_over: candidates alone claim
 * mutation unchanged_is_told (three-entries) breaks taken_over: a read without changes says nothing
 * mutation unheard_is_silent (three-entries) breaks taken_over: a holder that was never heard counts as alive
 */
#define NOBODY ENTRIES

byte life[ENTRIES];
bool alive[ENTRIES];
bool stored[ENTRIES]; /* a heartbeat of this life is in the store */

byte holder;
byte holderLife;
byte version;

byte judged[ENTRIES];  /* version of the lease that was judged free; 0 for none */
bool heard[ENTRIES];   /* a heartbeat of the holder was read in this life */
byte crashes;

#define HOLDER_LIVES (holder != NOBODY && alive[holder] && life[holder] == holderLife)

#define BEATS(e) (alive[e] && (e == 1 || (holder == e && holderLife == life[e])))

#define ANY_BEATS (BEATS(0) || BEATS(1) || BEATS(2))

#ifdef MUTATE_observers_claim
#define MAY_CLAIM(e) (e == 1)
#else
#define MAY_CLAIM(e) true
#endif

inline endLife(e) {
	alive[e] = false;
	stored[e] = false;
	judged[e] = 0;
	heard[e] = false
}

proctype crasher() {
	byte e;
	do
	:: crashes < CRASHES -> atomic {
		select(e: 0 .. ENTRIES - 1);
		if
		:: alive[e] -> endLife(e); crashes++
		:: else
		fi;
		e = 0
	}
	:: crashes < CRASHES -> atomic {
		select(e: 0 .. ENTRIES - 1);
		if
		:: !alive[e] && life[e] < 2 -> alive[e] = true; life[e]++
		:: else
		fi;
		e = 0
	}
	:: break
	od
}

/* Reads heartbeats; what is not heard of the holder is silent in the end. */
proctype reader(byte me) {
end:	do
	:: atomic { alive[me] && HOLDER_LIVES && holder != me && !heard[me] ->
		heard[me] = true
	}
	:: atomic { alive[me] && !HOLDER_LIVES && judged[me] != version &&
#ifdef MUTATE_unchanged_is_told
		ANY_BEATS &&
#endif
#ifdef MUTATE_unheard_is_silent
		heard[me] &&
#endif
		true ->
		judged[me] = version
	}
	:: atomic { alive[me] && HOLDER_LIVES && holder != me && judged[me] != version ->
		judged[me] = version /* suspected, though it is only slow */
	}
	od
}

proctype claimer(byte me) {
end:	do
	:: atomic { alive[me] && judged[me] != 0 && MAY_CLAIM(me) && !stored[me] ->
#ifndef MUTATE_heartbeat_before_claim
		stored[me] = true
#else
		skip
#endif
	}
#ifdef MUTATE_heartbeat_before_claim
	atomic { alive[me] && judged[me] != 0 ->
#else
	:: atomic { alive[me] && judged[me] != 0 && MAY_CLAIM(me) && stored[me] ->
#endif
		if
		::
#ifndef MUTATE_check_version
			judged[me] == version &&
#endif
			version < 7 && !(holder == me && holderLife == life[me]) ->
			assert(judged[me] == version); // version_holds
			assert(stored[me]); // heartbeat_first
			holder = me;
			holderLife = life[me];
			version++;
			heard[0] = false; heard[1] = false; heard[2] = false
		:: else
		fi;
		judged[me] = 0
	}
	od
}

#define NONE_LIVES (!alive[0] && !alive[1] && !alive[2])
ltl taken_over { <>[] (NONE_LIVES || HOLDER_LIVES || version == 7) }

init {
	byte n;
	atomic {
		holder = 0;
		version = 1;
		for (n : 0 .. ENTRIES - 1) {
			alive[n] = true;
			stored[n] = true
		}
		for (n : 0 .. ENTRIES - 1) {
			run reader(n);
			run claimer(n)
		}
		run crasher();
		n = 0
	}
}
