/*
 * Proposals of configurations by racing operators: each change is accepted at
 * most once, and what an operator is told holds for good.
 *
 * The manifest names the content of the accepted revision; contents are stored
 * under their digests. An operator reads the state, writes its content if that
 * is not stored, and sends a transaction that replaces the manifest if it is
 * still the one that was read. The same transaction deletes the contents that
 * the operator saw and does not need. A transaction that was sent may be
 * evaluated at any later time, repeatedly or never, and its answer may be lost.
 * After an unknown outcome the operator reads back who replaced the base; while
 * nobody has, it sends the same transaction again or gives up. Having given up
 * it may propose the same change again from the start. An operator that takes
 * no further step stands for a crashed one.
 *
 * Properties:
 *   a change is accepted at most once;
 *   a change that was reported as accepted has been accepted;
 *   a change that was reported as lost has not been and never will be;
 *   the content that the manifest names is always stored.
 *
 * Mutants, each of which must be rejected:
 *   CONDITION_OFF  a transaction replaces any manifest
 *   BLIND          after an unknown outcome the change is proposed anew
 *   TRUST_FAILURE  a transaction that fails is reported as lost
 *   SWEEP_APART    contents are deleted without the condition
 */
// mutants: CONDITION_OFF BLIND TRUST_FAILURE SWEEP_APART
// bounds: 3 operators, 2 contents, 4 revisions, 1 proposal again for each

#define OPERATORS 3
#define REVISIONS 4
#define CONTENTS  2
#define content(p) ((p) / 2)       /* operators 0 and 1 propose the same */

#define NOTHING   0
#define ACCEPTED  1
#define LOST      2
#define UNDECIDED 3

/* Store. The winner of each revision is stored plus one. */
byte head;
byte winner[REVISIONS + 1];
bit  stored[CONTENTS];

/* Transactions that were sent, by operator and base, and what they delete. */
bit sent[OPERATORS * REVISIONS];
bit seen[OPERATORS * CONTENTS];

byte told[OPERATORS];
byte wins[OPERATORS];

#define manifest_intact (head == 0 || stored[content(winner[head] - 1)])

inline sweep(p) {
	if
	:: seen[p * CONTENTS + 1 - content(p)] -> stored[1 - content(p)] = 0
	:: else
	fi
}

/* The store evaluates a transaction of operator p on base b. */
inline evaluate(p, b) {
#ifdef CONDITION_OFF
	if
	:: head < REVISIONS
#else
	if
	:: head == b
#endif
		-> head++;
		winner[head] = p + 1;
		wins[p]++;
#ifndef SWEEP_APART
		sweep(p);
#endif
		assert(wins[p] <= 1);
		assert(told[p] != LOST);
		assert(manifest_intact)
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
#ifdef SWEEP_APART
	:: atomic {
		select(p : 0 .. OPERATORS - 1);
		if
		:: head > 0 && winner[head] == p + 1 -> sweep(p)
		:: else
		fi;
		p = 0;
		assert(manifest_intact)
	   }
#endif
	od
}

/* Reports whether the change of p is in the history. */
#define in_history(p) (winner[1] == p + 1 || winner[2] == p + 1 || winner[3] == p + 1 || winner[4] == p + 1)

proctype operator(byte p) {
	byte base, again = 1;
start:
	atomic {
		if
		:: in_history(p) -> told[p] = ACCEPTED; goto done
		:: else
		fi;
		if
		:: head == REVISIONS -> goto done
		:: else
		fi;
		base = head;
		seen[p * CONTENTS] = stored[0];
		seen[p * CONTENTS + 1] = stored[1]
	};
	if
	:: !seen[p * CONTENTS + content(p)] -> stored[content(p)] = 1
	:: else
	fi;
	sent[p * REVISIONS + base] = 1;
wait:
	if
	:: atomic { head > base && winner[base + 1] == p + 1 -> told[p] = ACCEPTED; goto done } /* answer */
#ifdef TRUST_FAILURE
	:: atomic { head > base -> told[p] = LOST; goto done }
#endif
	:: skip /* the answer is lost or tells that the condition failed */
	fi;
#ifdef BLIND
	if
	:: again > 0 -> again--; base = head;
		if
		:: base < REVISIONS -> sent[p * REVISIONS + base] = 1; goto wait
		:: else -> goto done
		fi
	:: else
	fi;
#endif
	atomic {
		if
		:: head > base && winner[base + 1] == p + 1 -> told[p] = ACCEPTED; goto done
		:: head > base && winner[base + 1] != p + 1 && !in_history(p) -> told[p] = LOST; goto done
		:: head > base && winner[base + 1] != p + 1 && in_history(p) -> told[p] = ACCEPTED; goto done
		:: head == base -> goto wait /* sends the same again */
		:: head == base && again > 0 -> again--; told[p] = UNDECIDED; goto start
		fi
	};
done:
	assert(told[p] != ACCEPTED || wins[p] == 1);
	assert(told[p] != LOST || wins[p] == 0)
}

init {
	atomic {
		run store();
		run operator(0);
		run operator(1);
		run operator(2)
	}
}
