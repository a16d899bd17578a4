/*
 * Claims and dispatch of one request key: at most one execution.
 *
 * The log of a bucket is stored in the key-value service as immutable entries
 * after a base. The base holds the sequence up to which entries were dropped,
 * and the floor: keys with an earlier time are refused. It is never deleted. An
 * append succeeds only if the base is unchanged and the next sequence does not
 * exist. The same transaction may drop a prefix of the log.
 *
 * A message that was sent may be handled at any time, by any bucket writer,
 * repeatedly or never. A bucket writer that takes no further step represents a
 * paused or a crashed one; its write may still be applied at any time. A
 * dispatcher that takes no further step represents a crash before or after the
 * dispatch, or before the outcome is recorded.
 *
 * Every attempt of the request has its own dispatcher. Callers number their
 * attempts; the number is 0 for all attempts of a caller that does not. A
 * release by an attempt with number n closes the key for all attempts with
 * number n or lower.
 *
 * Properties:
 *   the target executes the request at most once;
 *   once an attempt with number n was answered as not executed, no attempt with
 *     number n or lower has been executed or ever will be;
 *   the recorded outcome never changes and is that of the execution.
 *
 * Mutants, each of which must be rejected:
 *   FENCE_OFF                     an append overwrites
 *   TRUNCATE_TO_EMPTY             truncation may delete the base with the entries
 *   DISPATCH_AFTER_RELEASE        a dispatcher that released still dispatches
 *   CLOSE_OFF                     a release does not close earlier attempts
 *   FLOOR_OFF                     truncation drops a key without refusing it
 *   EARLY_ANSWER                  a bucket writer grants a claim before the result
 *                                 of its write is known
 *   NOT_EXECUTED_WITHOUT_RELEASE  a later attempt that gives up without a claim
 *                                 is answered as not executed
 */
// mutants: FENCE_OFF TRUNCATE_TO_EMPTY DISPATCH_AFTER_RELEASE CLOSE_OFF FLOOR_OFF EARLY_ANSWER NOT_EXECUTED_WITHOUT_RELEASE
// bounds: 2 bucket writers, 2 attempts (numbered 1 2 or unnumbered), 4 log entries, 1 key and filler of other keys, truncation of nothing or all that may be dropped

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

/* Codes of log entries and claims, by attempt. */
#define NONE    0
#define FILL    1
#define TAKE(attempt) (2 + (attempt))
#define RELEASE(attempt)  (5 + (attempt))
#define RECORD(attempt)  (8 + (attempt))

/* State of the key after its log: free, claimed by an attempt, or with a recorded
 * outcome of an attempt. */
#define FREE    0
#define HELD(attempt) (1 + (attempt))
#define DONE(attempt) (4 + (attempt))

/* Stages of an attempt. */
#define IDLE     0
#define CLAIMING 1
#define GRANTED  2
#define SENT     3
#define RELEASED 4  /* gave up, or the target refused the call */
#define RECORDED 5  /* was executed and has an outcome to record */
#define ENDED    6

/* Claims that an attempt may have sent to bucket writers. */
#define may_claim(attempt)     (stage[attempt] != IDLE)
#define released(attempt) (stage[attempt] == RELEASED)
#define has_outcome(attempt)      (stage[attempt] == RECORDED)

#define REVISION (base * 2 + floor)

/* Key-value service. */
byte entry[ENTRIES + 2];
byte base;
bit  floor;

/* Answers of bucket writers, kept while the attempt may still act on them. */
bit granted[ATTEMPTS], closed[ATTEMPTS];

/* Target: state of the only call of each attempt. */
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
bit  not_executed[ATTEMPTS];

/* Applies a log entry to the state of the key. Attempts with a number lower than
 * closed_below are refused, and so are all if the key is below the floor. */
inline fold(code, key_state, closed_below, below_floor) {
	if
	:: code >= TAKE(0) && code < RELEASE(0) ->
		if
		:: key_state == FREE && !below_floor && number[code - 2] >= closed_below -> key_state = HELD(code - 2)
		:: else
		fi
	:: code >= RELEASE(0) && code < RECORD(0) ->
		if
		:: key_state == HELD(code - 5) -> key_state = FREE
		:: else
		fi;
#ifndef CLOSE_OFF
		if
		:: number[code - 5] + 1 > closed_below -> closed_below = number[code - 5] + 1
		:: else
		fi
#endif
	:: code >= RECORD(0) ->
		if
		:: key_state == HELD(code - 8) -> key_state = DONE(code - 8)
		:: else
		fi
	:: else
	fi
}

/* Answers the attempt that it holds the claim. */
inline grant(attempt) {
#ifdef DISPATCH_AFTER_RELEASE
	granted[attempt] = 1
#else
	granted[attempt] = (stage[attempt] == CLAIMING)
#endif
}

/* Answers a claim from the state of the key. Sets done to false if the claim must
 * be written to the log first. */
inline answer(code, key_state, closed_below, below_floor, done) {
	done = true;
	if
	:: code >= TAKE(0) && code < RELEASE(0) ->
		if
		:: key_state == HELD(code - 2) -> grant(code - 2)
		:: key_state >= DONE(0) -> assert(call[key_state - 4] == EXECUTED)
		:: key_state == FREE && below_floor
		:: key_state == FREE && !below_floor && number[code - 2] < closed_below -> closed[code - 2] = !not_executed[code - 2]
		:: key_state == FREE && !below_floor && number[code - 2] >= closed_below -> done = false
		:: else
		fi
	:: code >= RELEASE(0) && code < RECORD(0) ->
		if
		:: key_state == FREE && number[code - 5] < closed_below && !below_floor -> closed[code - 5] = !not_executed[code - 5]
		:: key_state == FREE && below_floor
		:: key_state >= DONE(0)
		:: key_state != FREE && key_state < DONE(0) && key_state != HELD(code - 5) && number[code - 5] < closed_below
		:: else -> done = false
		fi
	:: code >= RECORD(0) ->
		if
		:: key_state >= DONE(0)
		:: else -> done = false
		fi
	:: else -> done = false
	fi
}

proctype BucketWriter() {
	byte next = 0;      /* next sequence in the writer's view; 0 if not loaded */
	byte seen_revision = 0;      /* revision of the base in the writer's view */
	byte key_state = FREE;
	byte closed_below = 0;
	bit  below_floor = 0;
	byte claim = NONE;  /* claim of the write in flight */
	byte new_base = 0;
	bit  new_floor = 0;
	byte i = 0;
	bit  done = 0;

	do
	/* Reads the log, for the first time or again. */
	:: claim == NONE -> d_step {
		next = base + 1;
		seen_revision = REVISION;
		below_floor = floor;
		key_state = FREE;
		closed_below = 0;
		do
		:: next <= ENTRIES && entry[next] != NONE ->
			fold(entry[next], key_state, closed_below, below_floor);
			next++
		:: else -> break
		od
	}

	/* Decides one claim. */
	:: claim == NONE && next != 0 -> atomic {
		if
		:: claim = FILL
		:: may_claim(0) -> claim = TAKE(0)
		:: may_claim(1) -> claim = TAKE(1)
		:: released(0) -> claim = RELEASE(0)
		:: released(1) -> claim = RELEASE(1)
		:: has_outcome(0) -> claim = RECORD(0)
		:: has_outcome(1) -> claim = RECORD(1)
#if ATTEMPTS == 3
		:: may_claim(2) -> claim = TAKE(2)
		:: released(2) -> claim = RELEASE(2)
		:: has_outcome(2) -> claim = RECORD(2)
#endif
		fi;
		d_step {
			answer(claim, key_state, closed_below, below_floor, done);
			if
			:: done || next > ENTRIES -> claim = NONE
			:: else ->
				new_base = seen_revision / 2;
				new_floor = below_floor;
#ifdef EARLY_ANSWER
				if
				:: claim >= TAKE(0) && claim < RELEASE(0) -> grant(claim - 2)
				:: else
				fi
#endif
			fi;
			done = 0
		};
		/* Drops nothing, or all entries at the head whose keys are below the floor. */
		if
		:: claim == FILL && seen_revision == REVISION ->
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

	/* The write is applied, or applied again. */
	:: claim != NONE -> atomic {
		if
#ifdef FENCE_OFF
		:: true ->
#else
		:: REVISION == seen_revision && entry[next] == NONE ->
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
			:: claim >= RECORD(0) && key_state == HELD(claim - 8) ->
				assert(first_record == 0 || first_record == claim);
				assert(call[claim - 8] == EXECUTED);
				first_record = claim
			:: else
			fi
			};
#ifdef TRUNCATE_TO_EMPTY
			/* Deletes the log with its base once no entry must be retained. */
			if
			:: claim == FILL && new_base + 1 == next && key_state == FREE && closed_below == 0 && !floor ->
				entry[next] = NONE;
				base = 0
			:: true
			fi;
#endif
			if
			:: d_step { /* The answer arrives. */
				below_floor = new_floor;
				fold(claim, key_state, closed_below, below_floor);
				answer(claim, key_state, closed_below, below_floor, done);
				done = 0;
				seen_revision = REVISION;
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
		:: else -> d_step { /* The condition failed: reads and decides again. */
			claim = NONE;
			next = 0;
			key_state = FREE;
			closed_below = 0;
			below_floor = 0;
			seen_revision = 0;
			new_base = 0;
			new_floor = 0
		}
#endif
		fi
	}
	od
}

#define never_executes(other)   (call[other] != EXECUTED || number[other] > number[attempt])
#define may_execute(other) (!not_executed[other] || number[attempt] > number[other])

/* Answers the attempt that the request was not executed. */
inline report_not_executed() {
	assert(EVERY(never_executes));
	not_executed[attempt] = 1;
	closed[attempt] = 0
}

/* Ends the wait for the claim and moves to stage s. */
inline stop_claiming(s) {
	stage[attempt] = s;
#ifndef DISPATCH_AFTER_RELEASE
	granted[attempt] = 0
#endif
}

proctype Dispatcher(byte attempt) {
	do
	:: stage[attempt] == IDLE -> stage[attempt] = CLAIMING

	:: stage[attempt] == CLAIMING && granted[attempt] -> atomic { stop_claiming(GRANTED) }
	/* A bucket writer answered that the key is closed for this attempt. */
	:: stage[attempt] == CLAIMING && closed[attempt] -> atomic { stop_claiming(ENDED); report_not_executed() }
	/* Gives up without an answer. Only the first attempt knows that there is no
	 * other. */
	:: stage[attempt] == CLAIMING -> atomic {
		stop_claiming(RELEASED);
		if
		:: number[attempt] == 1 -> report_not_executed()
#ifdef NOT_EXECUTED_WITHOUT_RELEASE
		:: number[attempt] != 1 -> report_not_executed()
#else
		:: number[attempt] != 1
#endif
		fi
	}
	/* The answer to a release proves that the request was not executed. */
	:: stage[attempt] == RELEASED && closed[attempt] -> atomic { report_not_executed() }

	:: stage[attempt] == GRANTED -> atomic { stage[attempt] = SENT; call[attempt] = INFLIGHT }
	/* Gives up although it holds the claim. */
	:: stage[attempt] == GRANTED -> atomic { stage[attempt] = RELEASED; report_not_executed() }

	:: stage[attempt] == SENT && call[attempt] == REFUSED ->
		atomic { stage[attempt] = RELEASED; report_not_executed() }
	:: stage[attempt] == SENT && call[attempt] == EXECUTED -> stage[attempt] = RECORDED

#ifdef DISPATCH_AFTER_RELEASE
	:: stage[attempt] == RELEASED && granted[attempt] && call[attempt] == UNSENT ->
		atomic { stage[attempt] = SENT; call[attempt] = INFLIGHT }
#endif
	od
}

proctype Target(byte attempt) {
	do
	:: call[attempt] == INFLIGHT -> call[attempt] = REFUSED
	:: call[attempt] == INFLIGHT -> atomic {
		call[attempt] = EXECUTED;
		executions++;
		assert(executions <= 1);
		assert(EVERY(may_execute))
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
		run BucketWriter();
		run BucketWriter();
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
