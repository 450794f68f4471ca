/*
 * Lease of a control shard, with a fencing token. A lease may be taken over at
 * any time: whoever judges its holder to be silent may be wrong, and a holder
 * may be paused between any two steps. Writes to the store and starts at the
 * worker stay in the network: delivered never, late or again.
 *
 * property writes_fenced: No write of a holder takes effect after the shard has changed hands (no budget overspent, no instance in two pools by a paused holder).
 * property token_unique: Two holders never have the same fencing token.
 * property worker_fenced: A worker that has accepted a start by one holder accepts none by an earlier one (no work doubled).
 *
 * config two-daemons: -DDAEMONS=2 -DLAST=4
 *
 * mutation token_check (two-daemons) breaks writes_fenced: a write does not check the lease row
 * mutation check_in_transaction (two-daemons) breaks writes_fenced: the lease is read first and the write follows
 * mutation acquire_condition (two-daemons) breaks token_unique: acquireShard is not conditional on the version read
 * mutation acquire_in_doubt (two-daemons) breaks token_unique: a lost reply of acquireShard counts as acquired
 * mutation token_grows (two-daemons) breaks token_unique: acquireShard keeps the token after a hand-over
 * mutation release_condition (two-daemons) breaks token_unique: a hand-over is not conditional on the version
 * mutation worker_keeps_highest (two-daemons) breaks worker_fenced: the worker does not compare tokens
 */
#define NOBODY 255

/* The lease row; its version grows with every write. */
byte version;
byte holder = NOBODY;
byte token;

byte acquired[LAST + 1];  /* holder that was given each token, plus one */

/* Messages in the network. */
byte acquireAt[DAEMONS];  /* 1 + the version that an acquire needs */
byte acquireToken[DAEMONS];
byte releaseAt[DAEMONS];  /* 1 + the version that a release needs */
byte releaseToken[DAEMONS];
byte writeAt[DAEMONS];    /* 1 + the lease version that a write needs */
byte writeToken[DAEMONS];
byte startToken[DAEMONS]; /* start of a task at the worker */

byte workerToken;         /* highest that the worker has accepted */

inline acquireShard(d) {
	if
	:: version < LAST &&
#ifndef MUTATE_acquire_condition
		acquireAt[d] == version + 1 &&
#endif
		acquireAt[d] != 0 ->
		version++;
		holder = d;
		token = acquireToken[d];
		done = true
	:: else
	fi
}

inline loseOrRelease(d) {
	if
	:: version < LAST &&
#ifndef MUTATE_release_condition
		releaseAt[d] == version + 1 &&
#endif
		releaseAt[d] != 0 ->
		version++;
		holder = NOBODY;
		token = releaseToken[d]
	:: else
	fi
}

inline writeWithToken(d) {
	if
	::
#ifndef MUTATE_token_check
		writeAt[d] == version + 1 &&
#endif
		writeAt[d] != 0 ->
		assert(writeToken[d] == token && holder == d); // writes_fenced
	:: else
	fi
}

inline startTask(t) {
	if
	::
#ifndef MUTATE_worker_keeps_highest
		t >= workerToken &&
#endif
		t != 0 ->
		assert(t >= workerToken); // worker_fenced
		workerToken = t
	:: else
	fi
}

proctype network() {
	byte d;
	bool done;
	do
	:: atomic {
		select(d: 0 .. DAEMONS - 1);
		if
		:: acquireAt[d] != 0 -> acquireShard(d)
		:: releaseAt[d] != 0 -> loseOrRelease(d)
		:: writeAt[d] != 0 -> writeWithToken(d)
		:: startToken[d] != 0 -> startTask(startToken[d])
		:: else
		fi;
		d = 0; done = false
	}
	od
}

proctype daemon(byte me) {
	byte heldToken, heldVersion;
	bool done;
	do
	:: atomic { heldToken == 0 && version < LAST ->
		acquireAt[me] = version + 1;
#ifdef MUTATE_token_grows
		acquireToken[me] = (holder == NOBODY && token != 0 -> token : token + 1)
#else
		acquireToken[me] = token + 1
#endif
	}
		if
		:: atomic { true ->
			acquireShard(me);
			if
			:: done -> skip /* the reply arrives */
			:: else /* conflict, or the write was in effect before */
			fi;
			done = false
		}
		:: true /* lost before its effect, or late */
		:: atomic { true -> acquireShard(me); done = false } /* the reply is lost */
		fi;
		atomic { /* the same write again, whose conflict shows the row */
			if
			::
#ifndef MUTATE_acquire_in_doubt
				holder == me && version == acquireAt[me] &&
#endif
				acquireAt[me] != 0 ->
				heldToken = acquireToken[me];
				heldVersion = acquireAt[me];
				assert(acquired[heldToken] == 0 || acquired[heldToken] == me + 1); // token_unique
				acquired[heldToken] = me + 1
			:: else
			fi
		}
	:: atomic { heldToken != 0 -> /* a write of the holder */
		writeAt[me] = heldVersion + 1;
		writeToken[me] = heldToken
	}
#ifdef MUTATE_check_in_transaction
	:: heldToken != 0 && version == heldVersion ->
		assert(heldToken == token && holder == me); // writes_fenced
#else
	:: atomic { heldToken != 0 -> writeWithToken(me) }
#endif
	:: atomic { heldToken != 0 -> startToken[me] = heldToken }
	:: atomic { heldToken != 0 && version != heldVersion -> /* loseShard */
		heldToken = 0; heldVersion = 0
	}
	:: atomic { heldToken != 0 -> /* hand-over at a graceful stop */
		releaseAt[me] = heldVersion + 1;
		releaseToken[me] = heldToken;
		heldToken = 0; heldVersion = 0
	}
	:: atomic { true -> heldToken = 0; heldVersion = 0 } /* crash, new life */
	od
}

init {
	byte n;
	atomic {
		run network();
		for (n : 0 .. DAEMONS - 1) { run daemon(n) }
		n = 0
	}
}
