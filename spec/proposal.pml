/*
 * Proposals of configurations by concurrent operators: each change is accepted
 * at most once, and the result that an operator is told stays true.
 *
 * The manifest names the content of the accepted revision. Contents are stored
 * under their digests. An operator reads the state, writes its content if that
 * is not stored, and sends a transaction that replaces the manifest on condition
 * that it is still the one that was read. The same transaction deletes the other
 * contents that the operator saw. A transaction that was sent may be evaluated
 * at any later time, repeatedly or never, and its answer may be lost. After an
 * unknown outcome the operator reads who replaced the base revision. While
 * nobody has, it sends the same transaction again or gives up. After giving up
 * it may propose the same change again from the start. An operator that takes
 * no further step represents one that has crashed.
 *
 * Properties:
 *   a change is accepted at most once;
 *   a change that was reported as accepted has been accepted;
 *   a change that was reported as lost has not been accepted and never will be;
 *   the content that the manifest names is always stored.
 *
 * Mutants, each of which must be rejected:
 *   CONDITION_OFF                a transaction replaces any manifest
 *   REPROPOSE_WITHOUT_READ_BACK  after an unknown outcome the operator proposes
 *                                the change on a new base without reading back
 *   TRUST_FAILURE                a transaction whose condition failed is reported
 *                                as lost
 *   DELETE_WITHOUT_CONDITION     contents are deleted outside the transaction
 */
// mutants: CONDITION_OFF REPROPOSE_WITHOUT_READ_BACK TRUST_FAILURE DELETE_WITHOUT_CONDITION
// bounds: 3 operators, 2 contents, 4 revisions, 1 repeated proposal for each

#define OPERATORS 3
#define REVISIONS 4
#define CONTENTS  2
#define content(p) ((p) / 2)       /* operators 0 and 1 propose the same content */

#define NOTHING   0
#define ACCEPTED  1
#define LOST      2
#define UNDECIDED 3

/* Store: the accepted revision, the operator of each revision plus one, and which
 * contents are stored. */
byte revision;
byte winner[REVISIONS + 1];
bit  stored[CONTENTS];

/* Transactions that were sent, by operator and base revision, and the contents
 * that each operator saw in the store. */
bit sent[OPERATORS * REVISIONS];
bit seen_stored[OPERATORS * CONTENTS];

byte reported[OPERATORS];
byte acceptances[OPERATORS];

#define manifest_content_stored (revision == 0 || stored[content(winner[revision] - 1)])

inline delete_unneeded(p) {
	if
	:: seen_stored[p * CONTENTS + 1 - content(p)] -> stored[1 - content(p)] = 0
	:: else
	fi
}

/* The store evaluates a transaction of operator p on base b. */
inline evaluate(p, b) {
#ifdef CONDITION_OFF
	if
	:: revision < REVISIONS
#else
	if
	:: revision == b
#endif
		-> revision++;
		winner[revision] = p + 1;
		acceptances[p]++;
#ifndef DELETE_WITHOUT_CONDITION
		delete_unneeded(p);
#endif
		assert(acceptances[p] <= 1);
		assert(reported[p] != LOST);
		assert(manifest_content_stored)
	:: else
	fi
}

proctype store() {
	byte p, b;
end:
	do
	:: atomic {
		select(p : 0 .. OPERATORS - 1);
		select(b : 0 .. REVISIONS - 1);
		if
		:: sent[p * REVISIONS + b] -> evaluate(p, b)
		:: else
		fi;
		p = 0;
		b = 0
	   }
#ifdef DELETE_WITHOUT_CONDITION
	:: atomic {
		select(p : 0 .. OPERATORS - 1);
		if
		:: revision > 0 && winner[revision] == p + 1 -> delete_unneeded(p)
		:: else
		fi;
		p = 0;
		assert(manifest_content_stored)
	   }
#endif
	od
}

/* True if the change of operator p is in the history. */
#define in_history(p) (winner[1] == p + 1 || winner[2] == p + 1 || winner[3] == p + 1 || winner[4] == p + 1)

proctype operator(byte p) {
	byte base, proposals_left = 1;
start:
	atomic {
		if
		:: in_history(p) -> reported[p] = ACCEPTED; goto done
		:: else
		fi;
		if
		:: revision == REVISIONS -> goto done
		:: else
		fi;
		base = revision;
		seen_stored[p * CONTENTS] = stored[0];
		seen_stored[p * CONTENTS + 1] = stored[1]
	};
	if
	:: !seen_stored[p * CONTENTS + content(p)] -> stored[content(p)] = 1
	:: else
	fi;
	sent[p * REVISIONS + base] = 1;
wait_for_answer:
	if
	:: atomic { revision > base && winner[base + 1] == p + 1 -> reported[p] = ACCEPTED; goto done } /* answer */
#ifdef TRUST_FAILURE
	:: atomic { revision > base -> reported[p] = LOST; goto done }
#endif
	:: skip /* the answer is lost, or says that the condition failed */
	fi;
#ifdef REPROPOSE_WITHOUT_READ_BACK
	if
	:: proposals_left > 0 -> proposals_left--; base = revision;
		if
		:: base < REVISIONS -> sent[p * REVISIONS + base] = 1; goto wait_for_answer
		:: else -> goto done
		fi
	:: else
	fi;
#endif
	atomic {
		if
		:: revision > base && winner[base + 1] == p + 1 -> reported[p] = ACCEPTED; goto done
		:: revision > base && winner[base + 1] != p + 1 && !in_history(p) -> reported[p] = LOST; goto done
		:: revision > base && winner[base + 1] != p + 1 && in_history(p) -> reported[p] = ACCEPTED; goto done
		:: revision == base -> goto wait_for_answer /* sends the same transaction again */
		:: revision == base && proposals_left > 0 -> proposals_left--; reported[p] = UNDECIDED; goto start
		fi
	};
done:
	assert(reported[p] != ACCEPTED || acceptances[p] == 1);
	assert(reported[p] != LOST || acceptances[p] == 0)
}

init {
	atomic {
		run store();
		run operator(0);
		run operator(1);
		run operator(2)
	}
}
