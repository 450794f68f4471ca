/*
 * Turns of the executors of a service whose evacuation is requested, all at
 * once and until each is commanded. Each runs long-running tasks of one step, of
 * which one may be down at a time. The owner lets one executor leave after the
 * other: its tasks move to those that stay, or the last one stops without room;
 * then nothing starts there, and a command takes it away until another comes.
 * Short tasks run on any executor that stays.
 *
 * Assumed: the command for one executor, STUCK, is never sent, though its
 * evacuation goes on being requested. All others are. The program ends a turn
 * after a time, here at any moment.
 *
 * property serves: an executor that stays is left as another one leaves.
 * liveness leaves: every executor but the stuck one is commanded in the end.
 *
 * config room: -DN=2 -DTASKS=2 -DFITS=4 -DSTUCK=9
 * config no-room: -DN=2 -DTASKS=1 -DFITS=1 -DSTUCK=9
 * config three: -DN=3 -DTASKS=1 -DFITS=2 -DSTUCK=9
 * config stuck: -DN=2 -DTASKS=1 -DFITS=2 -DSTUCK=0
 *
 * mutation one_stays (room) breaks serves: an executor leaves whatever is left to the service
 * mutation asked_have_room (room) breaks leaves: tasks move only to executors whose evacuation is not requested
 * mutation stops_without_room (no-room) breaks leaves: a task that fits nowhere else keeps its executor
 * mutation turns_end (stuck) breaks leaves: a turn lasts until the command is sent
 * mutation rests (stuck) breaks leaves: an executor whose turn has ended goes first again
 */
#define WAITS 0
#define LEAVES 1
#define HELD 2
#define AWAY 3

byte phase[N];
byte tasks[N];
bool isDone[N];
bool hasRested[N];
byte down;       /* tasks that run nowhere */

#define STAYS(e) (phase[e] == WAITS)
#ifdef MUTATE_asked_have_room
#define TAKES(e) (STAYS(e) && isDone[e] && tasks[e] < FITS)
#else
#define TAKES(e) (STAYS(e) && tasks[e] < FITS)
#endif
#if N == 2
#define ANY_STAYS (STAYS(0) || STAYS(1))
#define ANY_TAKES (TAKES(0) || TAKES(1))
#define OTHER_STAYS(e) (STAYS(1 - e))
#define IS_FRESH(e) (!isDone[e] && STAYS(e) && !hasRested[e])
#define OTHER_IS_FRESH(e) IS_FRESH((1 - e))
#define ALL_DONE ((STUCK == 0 || isDone[0]) && isDone[1])
#else
#define ANY_STAYS (STAYS(0) || STAYS(1) || STAYS(2))
#define ANY_TAKES (TAKES(0) || TAKES(1) || TAKES(2))
#define OTHER_STAYS(e) (STAYS((e + 1) % 3) || STAYS((e + 2) % 3))
#define IS_FRESH(e) (!isDone[e] && STAYS(e) && !hasRested[e])
#define OTHER_IS_FRESH(e) (IS_FRESH((e + 1) % 3) || IS_FRESH((e + 2) % 3))
#define ALL_DONE (isDone[0] && isDone[1] && isDone[2])
#endif

ltl leaves { <> ALL_DONE }

proctype executor(byte e) {
	do
	:: isDone[e] -> break
	:: atomic {
		phase[e] == WAITS &&
#ifndef MUTATE_one_stays
		OTHER_STAYS(e) &&
#endif
#ifndef MUTATE_rests
		(!hasRested[e] || !OTHER_IS_FRESH(e)) &&
#endif
		!isDone[e] ->
		phase[e] = LEAVES;
		assert(ANY_STAYS) // serves
	}
	:: atomic {
		phase[e] == LEAVES && tasks[e] > 0 && down == 0 && ANY_TAKES ->
		tasks[e]--;
		down++
	}
#ifndef MUTATE_stops_without_room
	:: atomic {
		phase[e] == LEAVES && tasks[e] == 1 && down == 0 && !ANY_TAKES ->
		tasks[e]--;
		down++
	}
#endif
	:: atomic { phase[e] == LEAVES && tasks[e] == 0 -> phase[e] = HELD }
	:: atomic { phase[e] == HELD && e != STUCK -> phase[e] = AWAY }
#ifndef MUTATE_turns_end
	:: atomic {
		phase[e] == HELD && e == STUCK ->
		hasRested[e] = true;
		phase[e] = WAITS
	}
#endif
	:: atomic {
		phase[e] == AWAY ->
		isDone[e] = true;
		phase[e] = WAITS
	}
	od
}

/* Starts a task that is down where an executor takes it. */
proctype starter() {
	byte e;
end:
	do
	:: atomic {
		down > 0 && ANY_TAKES ->
		if
		:: TAKES(0) -> e = 0
		:: TAKES(1) -> e = 1
#if N > 2
		:: TAKES(2) -> e = 2
#endif
		fi;
		tasks[e]++;
		down--
	}
	od
}

init {
	byte e;
	atomic {
		for (e : 0 .. N - 1) {
			tasks[e] = TASKS;
			run executor(e)
		}
		run starter()
	}
}
