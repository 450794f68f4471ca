/*
 * The holder of the fleet ends what runs on a machine by a command (a move, or
 * the maintenance of a wave), and asks the service's owner before that whether
 * the machine is clear. One machine, one wave, owners one after another.
 *
 * An owner that knows that nothing runs there stores a reservation under the
 * lease row and the reservation row's version, and answers `clear` once it is
 * stored. No owner starts anything there until the reservation is over. Owners
 * and the holder may stand still anywhere. Starts and writes take effect late
 * or never, answers may be lost. The executor may be replaced at any time.
 *
 * Time is counted in ticks. An owner knows the store's clock only to within an
 * interval, and reckons with the worse end of it. A reservation that lasts
 * longer than it must only forbids starts, so that the ticks here are the least.
 *
 * Assumed: COMMAND counts from the holder's check of its time; the answer `done`
 * comes after the effect. With SAME_ID the executor starts again under its id,
 * knows no token, and takes a start that was meant for the one before: only the
 * starts of the present owner are then kept away. Reservations are by machine,
 * those of the program by executor: mutation by_machine shows what that leaves
 * open.
 *
 * property empty: a command never takes effect while a task runs on the machine.
 * property maintained: a machine counts as maintained only if a command of the wave took effect.
 *
 * config two-owners: -DOWNERS=2 -DRESERVATIONS0=1 -DRESERVATIONS1=1 -DASKS=2 -DCRASHES=0
 * config three-owners: -DOWNERS=3 -DRESERVATIONS0=1 -DRESERVATIONS1=0 -DASKS=1 -DCRASHES=0
 * config renewed: -DOWNERS=2 -DRESERVATIONS0=2 -DRESERVATIONS1=0 -DASKS=2 -DCRASHES=0
 * config replaced: -DOWNERS=2 -DRESERVATIONS0=1 -DRESERVATIONS1=1 -DASKS=1 -DCRASHES=1
 * config same-id: -DOWNERS=1 -DRESERVATIONS0=2 -DRESERVATIONS1=0 -DASKS=2 -DCRASHES=1 -DSAME_ID
 *
 * mutation stored (two-owners) breaks empty: `clear` is answered before the reservation is stored
 * mutation written (two-owners) breaks empty: an owner, perhaps a replaced one, answers `clear` from memory, without a write
 * mutation resolved (two-owners) breaks empty: `clear` is answered before the executor has answered this owner
 * mutation renewed (renewed) breaks empty: the reservation of an earlier ask counts for this one
 * mutation late_reading (two-owners) breaks empty: the end of a reservation is reckoned from the earliest time that the store may show
 * mutation early_reading (two-owners) breaks empty: a reservation is over at the latest time that the store may show
 * mutation read_reservation (two-owners) breaks empty: the next owner does not read the reservation
 * mutation read_after_lease (two-owners) breaks empty: the next owner reads the reservation before it takes the lease
 * mutation checks_lease (two-owners) breaks empty: a reservation is stored without a check of the lease row
 * mutation checks_version (renewed) breaks empty: a reservation is stored without a check of its row's version
 * mutation keeps_empty (two-owners) breaks empty: the owner itself starts tasks while its reservation lasts
 * mutation from_ask (two-owners) breaks empty: the holder counts from the answer, not from when it asked
 * mutation check_at_send (two-owners) breaks empty: the holder does not check the time that is left before it sends
 * mutation new_clearance (renewed) breaks empty: a command without an answer is repeated without a new clearance
 * mutation assume_send (two-owners) breaks empty: the holder stands still between its check of the time and the send
 * mutation assume_command_time (two-owners) breaks empty: a command takes effect more than COMMAND ticks after it was sent
 * mutation needs_owner (two-owners) breaks empty: a service without an owner counts as clear
 * mutation keeps_start (same-id) breaks empty: an owner forgets its start without an answer once the executor is replaced
 * mutation by_machine (replaced) breaks empty: a reservation is for one executor only, not for the one that replaces it
 * mutation answered_only (replaced) breaks maintained: a machine whose executor was replaced counts as maintained
 */
#define RESERVATIONS(o) (o == 0 -> RESERVATIONS0 : (o == 1 -> RESERVATIONS1 : 0))
#define LASTS 3    /* how long `clear` holds, in ticks */
#define COMMAND 1  /* the longest time until a command takes effect */
/* Whether an owner's start may be carried out by the present executor. */
#ifdef SAME_ID
#define REACHES(o) true
#else
#define REACHES(o) (startSent[o] == life + 1)
#endif
#define GREATEST(a, b) (a > b -> a : b)
#define LESS(a) (a > 0 -> a - 1 : 0)

/* The store. Ends of reservations are counted as ticks that are left. */
byte leaseToken;      /* token of the owner in the lease row; 0 is none */
byte version;         /* of the reservation row */
byte reservedLeft;
byte reservedLife;    /* the executor that was asked about */
byte rosterLife;      /* the newest executor that may have been started on */

/* The machine. */
byte life;            /* number of its executor; another one after each replacement */
byte fence;           /* highest token that this executor has seen */
bool running;
byte crashes;
bool isMaintained;    /* a command of the wave took effect */

/* In the network. */
byte startSent[OWNERS]; /* by owner: 1 + the executor, or 0 */
bool writeSent[3];    /* index owner * 2 + number of the reservation */
bool writeStored[3];
byte writeVersion[3], writeLeft[3], writeLife[3];
byte askNumber;       /* of the holder's last ask; 0 is none */
bool isAsking;
bool isAnswered;      /* `clear` is under way */
byte askAge;
bool commandSent;
byte commandAge;
bool commandDone;     /* its answer is under way */

/* Ticks for which each owner starts nothing on the machine. */
byte holdLeft[OWNERS];
byte holdLife[OWNERS];

proctype ticks() {
	do
	:: d_step {
#ifndef MUTATE_assume_command_time
		(!commandSent || commandAge < COMMAND) &&
#endif
		true ->
		askAge = (askAge < LASTS -> askAge + 1 : LASTS);
		commandAge = (commandSent && commandAge < COMMAND -> commandAge + 1 : commandAge);
		reservedLeft = LESS(reservedLeft);
		writeLeft[0] = LESS(writeLeft[0]);
		writeLeft[1] = LESS(writeLeft[1]);
		writeLeft[2] = LESS(writeLeft[2]);
#if OWNERS > 1
		holdLeft[1] = LESS(holdLeft[1]);
#endif
#if OWNERS > 2
		holdLeft[2] = LESS(holdLeft[2]);
#endif
		holdLeft[0] = LESS(holdLeft[0])
	}
	od
}

inline replace() {
	life++;
	fence = 0;
	running = false
}

inline dropWrite(i) {
	writeSent[i] = false;
	writeVersion[i] = 0;
	writeLeft[i] = 0;
	writeLife[i] = 0
}

inline pickWrite(i) {
	if
	:: writeSent[0] -> i = 0
	:: writeSent[1] -> i = 1
	:: writeSent[2] -> i = 2
	fi
}

proctype world() {
	byte o, i;
	do
	:: atomic { /* a start arrives */
		if
		:: startSent[0] != 0 -> o = 0
#if OWNERS > 1
		:: startSent[1] != 0 -> o = 1
#endif
#if OWNERS > 2
		:: startSent[2] != 0 -> o = 2
#endif
		fi;
		if
		:: o + 1 >= fence && REACHES(o) -> fence = o + 1; running = true
		:: else
		fi;
		startSent[o] = 0;
		o = 0
	}
	:: atomic { /* a reservation reaches the store */
		pickWrite(i);
		if
#ifdef MUTATE_checks_lease
		:: writeVersion[i] == version ->
#elif defined(MUTATE_checks_version)
		:: leaseToken == i / 2 + 1 ->
#else
		:: leaseToken == i / 2 + 1 && writeVersion[i] == version ->
#endif
			version++;
			reservedLeft = writeLeft[i];
			reservedLife = writeLife[i];
			writeStored[i] = true
		:: else
		fi;
		dropWrite(i);
		i = 0
	}
	:: d_step { crashes < CRASHES -> crashes++; replace() }
	:: atomic { commandSent ->
		if
		:: true -> /* it takes effect */
			assert(!running); // empty
			isMaintained = true;
			replace()
		:: isMaintained /* one was carried out before: answered only */
		fi;
		commandSent = false;
		commandAge = 0;
		commandDone = true
	}
	:: d_step { commandSent -> commandSent = false; commandAge = 0 } /* lost */
	od
}

/* What an owner knows of the executor. */
#define UNRESOLVED 0
#define FREE 1
#define MAY_RUN 2   /* started or seen there */

#ifdef MUTATE_by_machine
#define ASKED_LIFE knownLife
#define MAY_START(o) (holdLeft[o] == 0 || holdLife[o] != knownLife)
#else
#define ASKED_LIFE 0
#define MAY_START(o) (holdLeft[o] == 0)
#endif
#ifdef MUTATE_answered_only
#define SEEN_LIFE life
#else
#define SEEN_LIFE 0
#endif

/* Starts nothing until a reservation with `left` ticks is over by its reading. */
inline hold(left, ofLife) {
#ifndef MUTATE_early_reading
	holdLeft[me] = GREATEST(holdLeft[me], left);
#else
	holdLeft[me] = GREATEST(holdLeft[me], LESS(left));
#endif
	holdLife[me] = ofLife
}

inline takeLease() {
	atomic { leaseToken == me -> leaseToken = me + 1 }
}

inline readRows() {
	atomic {
		knownVersion = version;
		knownLife = rosterLife;
#ifndef MUTATE_read_reservation
		hold(reservedLeft, reservedLife)
#endif
	}
}

proctype owner(byte me) {
	byte known = UNRESOLVED;
	byte knownLife;
	byte knownVersion;
	byte serving;        /* number of the ask, or 0 */
	byte written;        /* reservations sent */
	byte writtenFor;     /* the ask that the last one is for */

#ifdef MUTATE_read_after_lease
	readRows();
	takeLease();
#else
	takeLease();
	readRows();
#endif
	do
	:: atomic { /* the registry lists another executor, which goes into the roster */
		knownLife != life && leaseToken == me + 1 ->
		knownLife = life;
		rosterLife = life;
		known = UNRESOLVED
	}
	:: atomic { /* a look is answered */
		knownLife == life && fence <= me + 1 ->
		fence = me + 1;
#ifdef MUTATE_keeps_start
		known = (running || (startSent[me] != 0 && known == MAY_RUN) -> MAY_RUN : FREE)
#else
		known = (running || (startSent[me] != 0 && (REACHES(me) || known == MAY_RUN)) -> MAY_RUN : FREE)
#endif
	}
	:: atomic { /* a stop is answered: the run ends, or never begins */
		knownLife == life && fence <= me + 1 && known == MAY_RUN ->
		fence = me + 1;
		running = false;
		startSent[me] = 0;
		known = FREE
	}
	:: atomic { /* order a start */
		known == FREE && MAY_START(me) && startSent[me] == 0 ->
		known = MAY_RUN;
		startSent[me] = knownLife + 1
	}
	:: atomic { /* the answer to a write, or the row read back */
		leaseToken == me + 1 && knownVersion != version ->
		knownVersion = version
	}
	:: atomic { isAsking && serving != askNumber -> serving = askNumber }
	:: atomic { /* send a reservation */
#ifndef MUTATE_resolved
		known == FREE &&
#else
		known != MAY_RUN &&
#endif
		serving > 0 && writtenFor != serving && written < RESERVATIONS(me) ->
		writeSent[me * 2 + written] = true;
		writeVersion[me * 2 + written] = knownVersion;
		writeLife[me * 2 + written] = ASKED_LIFE;
#ifndef MUTATE_late_reading
		writeLeft[me * 2 + written] = LASTS;
#else
		writeLeft[me * 2 + written] = LASTS - 1;
#endif
#ifndef MUTATE_keeps_empty
		hold(writeLeft[me * 2 + written], ASKED_LIFE);
#endif
#ifdef MUTATE_written
		dropWrite(me * 2 + written);
#endif
		written++;
		writtenFor = serving
	}
	:: atomic { /* answer `clear` */
		isAsking && serving == askNumber && written > 0 &&
#ifndef MUTATE_renewed
		writtenFor == serving &&
#endif
#if !defined(MUTATE_stored) && !defined(MUTATE_written)
		writeStored[me * 2 + written - 1] &&
#endif
#ifndef MUTATE_resolved
		known == FREE ->
#else
		known != MAY_RUN ->
#endif
		isAnswered = true
	}
	od
}

proctype holder() {
	bool isClear;
	bool hasSent;
	bool isChecked;
	byte sentLife;   /* the executor when the last command was sent */
	do
	:: atomic { !isAsking && !isClear && askNumber < ASKS ->
		askNumber++;
		isAsking = true;
		askAge = 0
	}
	:: atomic { isAnswered -> /* the owner answers `clear` */
		isAnswered = false;
		isAsking = false;
		isClear = true;
#ifdef MUTATE_from_ask
		askAge = 0
#endif
	}
#ifdef MUTATE_needs_owner
	:: atomic { leaseToken == 0 && !isAsking && !isClear -> isClear = true; askAge = 0 }
#endif
#ifdef MUTATE_assume_send
	:: atomic { isClear && askAge + COMMAND < LASTS -> isClear = false; isChecked = true }
#endif
	/* gives up, or is replaced */
	:: atomic { isAsking || isClear -> isAnswered = false; isAsking = false; isClear = false }
	:: atomic { /* send the command */
		!commandSent &&
#ifdef MUTATE_check_at_send
		isClear ->
#elif defined(MUTATE_assume_send)
		isChecked ->
		isChecked = false;
#elif defined(MUTATE_new_clearance)
		(isClear && askAge + COMMAND < LASTS || hasSent) ->
#else
		isClear && askAge + COMMAND < LASTS ->
#endif
		isClear = false;
		commandSent = true;
		hasSent = true;
		sentLife = SEEN_LIFE
	}
	:: d_step { commandDone -> /* the answer, which may be lost */
		commandDone = false;
		assert(isMaintained) // maintained
	}
	:: d_step { commandDone -> commandDone = false }
#ifdef MUTATE_answered_only
	:: d_step { hasSent && sentLife != life ->
		assert(isMaintained) // maintained
	}
#endif
	od
}

init {
	atomic {
		run ticks();
		run world();
		run holder();
		run owner(0);
#if OWNERS > 1
		run owner(1);
#endif
#if OWNERS > 2
		run owner(2);
#endif
		skip
	}
}
