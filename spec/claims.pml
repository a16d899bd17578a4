/*
 * Claims and dispatch of one request key: at most one execution.
 *
 * The log of a bucket stands in the key-value service as immutable entries
 * after a base. The base holds the sequence up to which entries were dropped
 * and the floor: keys with an earlier time are refused. It is never deleted.
 * An append holds only if the base is unchanged and the next sequence is
 * absent. The same transaction may drop a prefix of the log.
 *
 * A message once sent may be handled at any time, by any keeper, repeatedly or
 * never. A keeper that takes no further step stands for a paused and for a
 * crashed one; its write may still land at any time. A dispatcher that takes no
 * further step stands for a crash before or after dispatch, and before record.
 *
 * Every send of the request is one attempt with its own dispatcher. Attempts
 * are numbered by the caller, or all zero if the caller does not number them.
 * A release by attempt a closes the key for all attempts numbered a or lower.
 *
 * Properties:
 *   at most one execution at the target;
 *   once attempt a was answered "not run", no attempt numbered a or lower has
 *     been executed or ever will be;
 *   the recorded outcome never changes and is that of the execution.
 *
 * Mutants, each of which must be rejected:
 *   FENCE_OFF               an append overwrites
 *   TRUNCATE_TO_EMPTY       truncation may delete the base with the entries
 *   DISPATCH_AFTER_RELEASE  a dispatcher that released still dispatches
 *   CLOSE_OFF               a release does not close earlier attempts
 *   FLOOR_OFF               truncation forgets a key without refusing it
 *   EARLY_ANSWER            a keeper grants before its write is known
 *   UNPROVEN                a resend without a claim is answered "not run"
 */
// mutants: FENCE_OFF TRUNCATE_TO_EMPTY DISPATCH_AFTER_RELEASE CLOSE_OFF FLOOR_OFF EARLY_ANSWER UNPROVEN
// bounds: 2 keepers, 2 attempts (numbered 1 2 or unnumbered), 4 log entries, 1 key and filler of other keys, truncation of nothing or all that may be dropped

#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef ENTRIES
#define ENTRIES  4
#endif
#if ATTEMPTS == 3
#define EVERY(x) (x(0) && x(1) && x(2))
#else
#define EVERY(x) (x(0) && x(1))
#endif

/* Entry and claim codes; d is the dispatcher. */
#define NONE    0
#define FILL    1
#define TAKE(d) (2 + (d))
#define REL(d)  (5 + (d))
#define REC(d)  (8 + (d))

/* Folded state of the key: free, held by d, recorded by d. */
#define FREE    0
#define HELD(d) (1 + (d))
#define DONE(d) (4 + (d))

/* Stages of an attempt. */
#define IDLE     0
#define CLAIMING 1
#define GRANTED  2
#define SENT     3
#define RELEASED 4  /* gave up or was refused by the target */
#define RECORDED 5  /* has an outcome to record */
#define ENDED    6

/* Claims that an attempt has sent to keepers. */
#define took(d)     (stage[d] != IDLE)
#define released(d) (stage[d] == RELEASED)
#define got(d)      (stage[d] == RECORDED)

#define REVISION (base * 2 + floor)

/* Key-value service. */
byte entry[ENTRIES + 2];
byte base;
bit  floor;

/* Answers of keepers, kept while the attempt may still act on them. */
bit granted[ATTEMPTS], closed[ATTEMPTS];

/* Target: state of the one call of each attempt. */
#define UNSENT   0
#define INFLIGHT 1
#define REFUSED  2
#define EXECUTED 3
byte call[ATTEMPTS];
byte executions;
byte first_record;

/* Attempts. */
byte number[ATTEMPTS];
byte stage[ATTEMPTS];
bit  not_run[ATTEMPTS];

/* Applies claim c to the folded state (hold, shut, low). */
inline fold(c, hold, shut, low) {
	if
	:: c >= TAKE(0) && c < REL(0) ->
		if
		:: hold == FREE && !low && number[c - 2] >= shut -> hold = HELD(c - 2)
		:: else
		fi
	:: c >= REL(0) && c < REC(0) ->
		if
		:: hold == HELD(c - 5) -> hold = FREE
		:: else
		fi;
#ifndef CLOSE_OFF
		if
		:: number[c - 5] + 1 > shut -> shut = number[c - 5] + 1
		:: else
		fi
#endif
	:: c >= REC(0) ->
		if
		:: hold == HELD(c - 8) -> hold = DONE(c - 8)
		:: else
		fi
	:: else
	fi
}

/* Answers attempt d with the grant. */
inline grant(d) {
#ifdef DISPATCH_AFTER_RELEASE
	granted[d] = 1
#else
	granted[d] = (stage[d] == CLAIMING)
#endif
}

/* Answers claim c from a folded state; done is false if it must be written. */
inline answer(c, hold, shut, low, done) {
	done = true;
	if
	:: c >= TAKE(0) && c < REL(0) ->
		if
		:: hold == HELD(c - 2) -> grant(c - 2)
		:: hold >= DONE(0) -> assert(call[hold - 4] == EXECUTED)
		:: hold == FREE && low
		:: hold == FREE && !low && number[c - 2] < shut -> closed[c - 2] = !not_run[c - 2]
		:: hold == FREE && !low && number[c - 2] >= shut -> done = false
		:: else
		fi
	:: c >= REL(0) && c < REC(0) ->
		if
		:: hold == FREE && number[c - 5] < shut && !low -> closed[c - 5] = !not_run[c - 5]
		:: hold == FREE && low
		:: hold >= DONE(0)
		:: hold != FREE && hold < DONE(0) && hold != HELD(c - 5) && number[c - 5] < shut
		:: else -> done = false
		fi
	:: c >= REC(0) ->
		if
		:: hold >= DONE(0)
		:: else -> done = false
		fi
	:: else -> done = false
	fi
}

proctype Keeper() {
	byte next = 0;      /* next sequence in the keeper's view; 0 if not loaded */
	byte seen = 0;      /* revision of the base in the view */
	byte hold = FREE;
	byte shut = 0;
	bit  low = 0;
	byte claim = NONE;  /* claim of the write in flight */
	byte new_base = 0;
	bit  new_floor = 0;
	byte i = 0;
	bit  done = 0;

	do
	/* Read the log, or read it again. */
	:: claim == NONE -> d_step {
		next = base + 1;
		seen = REVISION;
		low = floor;
		hold = FREE;
		shut = 0;
		do
		:: next <= ENTRIES && entry[next] != NONE ->
			fold(entry[next], hold, shut, low);
			next++
		:: else -> break
		od
	}

	/* Decide one claim. */
	:: claim == NONE && next != 0 -> atomic {
		if
		:: claim = FILL
		:: took(0) -> claim = TAKE(0)
		:: took(1) -> claim = TAKE(1)
		:: released(0) -> claim = REL(0)
		:: released(1) -> claim = REL(1)
		:: got(0) -> claim = REC(0)
		:: got(1) -> claim = REC(1)
#if ATTEMPTS == 3
		:: took(2) -> claim = TAKE(2)
		:: released(2) -> claim = REL(2)
		:: got(2) -> claim = REC(2)
#endif
		fi;
		d_step {
			answer(claim, hold, shut, low, done);
			if
			:: done || next > ENTRIES -> claim = NONE
			:: else ->
				new_base = seen / 2;
				new_floor = low;
#ifdef EARLY_ANSWER
				if
				:: claim >= TAKE(0) && claim < REL(0) -> grant(claim - 2)
				:: else
				fi
#endif
			fi;
			done = 0
		};
		/* Drop nothing, or all entries at the head that hold only keys below the floor. */
		if
		:: claim == FILL && seen == REVISION ->
			if
			:: new_floor = 1
			:: true
			fi;
			d_step {
				do
				:: new_base + 1 < next && (entry[new_base + 1] == FILL || new_floor) -> new_base++
				:: else -> break
				od;
				skip
			}
		:: true
		fi
	}

	/* The write lands, or lands again. */
	:: claim != NONE -> atomic {
		if
#ifdef FENCE_OFF
		:: true ->
#else
		:: REVISION == seen && entry[next] == NONE ->
#endif
			d_step {
			entry[next] = claim;
			i = base;
			do
			:: i < new_base -> i++; entry[i] = NONE
			:: else -> break
			od;
			i = 0;
			base = new_base;
#ifndef FLOOR_OFF
			floor = new_floor;
#endif
			if
			:: claim >= REC(0) && hold == HELD(claim - 8) ->
				assert(first_record == 0 || first_record == claim);
				assert(call[claim - 8] == EXECUTED);
				first_record = claim
			:: else
			fi
			};
#ifdef TRUNCATE_TO_EMPTY
			/* Deletes the log with its base once it holds nothing to retain. */
			if
			:: claim == FILL && new_base + 1 == next && hold == FREE && shut == 0 && !floor ->
				entry[next] = NONE;
				base = 0
			:: true
			fi;
#endif
			if
			:: d_step { /* The answer arrives. */
				low = new_floor;
				fold(claim, hold, shut, low);
				answer(claim, hold, shut, low, done);
				done = 0;
				seen = REVISION;
				next++;
				claim = NONE;
				new_base = 0;
				new_floor = 0
			}
#ifndef FENCE_OFF
			:: /* The answer is lost: the same write is repeated. */
				skip
#endif
			fi
#ifndef FENCE_OFF
		:: else -> d_step { /* Refused: read again and decide anew. */
			claim = NONE;
			next = 0;
			hold = FREE;
			shut = 0;
			low = 0;
			seen = 0;
			new_base = 0;
			new_floor = 0
		}
#endif
		fi
	}
	od
}

#define unrun(e)   (call[e] != EXECUTED || number[e] > number[d])
#define allowed(e) (!not_run[e] || number[d] > number[e])

/* Answers attempt d with "not run". */
inline report_not_run() {
	assert(EVERY(unrun));
	not_run[d] = 1;
	closed[d] = 0
}

/* Ends the wait for the claim. */
inline leave(s) {
	stage[d] = s;
#ifndef DISPATCH_AFTER_RELEASE
	granted[d] = 0
#endif
}

proctype Dispatcher(byte d) {
	do
	:: stage[d] == IDLE -> stage[d] = CLAIMING

	:: stage[d] == CLAIMING && granted[d] -> atomic { leave(GRANTED) }
	/* The keeper answered that the key is closed for this attempt. */
	:: stage[d] == CLAIMING && closed[d] -> atomic { leave(ENDED); report_not_run() }
	/* Gives up without a verdict. Only a first attempt knows of no other. */
	:: stage[d] == CLAIMING -> atomic {
		leave(RELEASED);
		if
		:: number[d] == 1 -> report_not_run()
#ifdef UNPROVEN
		:: number[d] != 1 -> report_not_run()
#else
		:: number[d] != 1
#endif
		fi
	}
	/* A release that was decided proves that the key was not run. */
	:: stage[d] == RELEASED && closed[d] -> atomic { report_not_run() }

	:: stage[d] == GRANTED -> atomic { stage[d] = SENT; call[d] = INFLIGHT }
	/* Gives up with the claim in hand. */
	:: stage[d] == GRANTED -> atomic { stage[d] = RELEASED; report_not_run() }

	:: stage[d] == SENT && call[d] == REFUSED ->
		atomic { stage[d] = RELEASED; report_not_run() }
	:: stage[d] == SENT && call[d] == EXECUTED -> stage[d] = RECORDED

#ifdef DISPATCH_AFTER_RELEASE
	:: stage[d] == RELEASED && granted[d] && call[d] == UNSENT ->
		atomic { stage[d] = SENT; call[d] = INFLIGHT }
#endif
	od
}

proctype Target(byte d) {
	do
	:: call[d] == INFLIGHT -> call[d] = REFUSED
	:: call[d] == INFLIGHT -> atomic {
		call[d] = EXECUTED;
		executions++;
		assert(executions <= 1);
		assert(EVERY(allowed))
	}
	od
}

init {
	atomic {
		if
		:: number[0] = 1; number[1] = 2;
#if ATTEMPTS == 3
			number[2] = 2
#endif
		:: skip
		fi;
		run Keeper();
		run Keeper();
		run Dispatcher(0);
		run Dispatcher(1);
		run Target(0);
		run Target(1);
#if ATTEMPTS == 3
		run Dispatcher(2);
		run Target(2)
#endif
	}
}
