/*
 * Adoption of configurations by the daemons.
 *
 * The store holds the accepted revision, which operators raise. One daemon of
 * each data centre reads the store: it learns of a change by a watch event,
 * which may be lost, or by a periodic check, and then reads the configuration.
 * Every daemon pulls from a peer that it can reach and that has a higher
 * revision. Answers of reads and pulls may arrive late, in any order, after
 * the daemon has moved on. A read may be answered from an old state of the
 * store. Data centres lose the store and each other, and daemons restart with
 * nothing.
 *
 * A check or pull that tells nothing new changes no state and is left out, so
 * that the system comes to rest. All faults are bounded in number and cuts
 * always heal, so that it does so with everything connected.
 *
 * Properties:
 *   the revision in force never falls while a daemon runs;
 *   a daemon never adopts a revision that was not accepted;
 *   at rest every daemon has the last accepted revision;
 *   the system always comes to rest (no cycle).
 *
 * Mutants, each of which must be rejected:
 *   DOWNWARD   a daemon adopts what it is offered, also a lower revision
 *   CHECK_OFF  readers rely on watch events alone
 *   PULL_OFF   daemons do not pull from peers
 */
// mutants: DOWNWARD CHECK_OFF PULL_OFF
// bounds: 3 daemons in 2 data centres, 3 revisions, 1 old read, 1 restart, 2 cuts, any watch events lost
// cycles: none

#ifndef REVISIONS
#define REVISIONS 3
#endif
#ifndef OLD_READS
#define OLD_READS 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef CUTS
#define CUTS 2
#endif

#define DAEMONS 3
#define home(d)   ((d) / 2)        /* daemons 0 and 1 share a data centre */
#define reader(d) ((d) != 1)       /* one reader per data centre */
#define reaches(d, p) (home(d) == home(p) || !between)
#define higher(d, p)  ((d) != (p) && own[p] > own[d] && reaches(d, p))

/* Store. */
byte accepted = 1;
byte old_reads = OLD_READS, restarts = RESTARTS, cuts = CUTS;

/* Cuts: of a data centre from the store, and between the data centres. */
bit store_cut[2];
bit between;

/* Daemons. Answers on their way are stored plus one; 0 is none. */
byte own[DAEMONS];
byte known[DAEMONS];   /* the highest revision of which a reader has heard */
byte read[DAEMONS];
byte pulled[DAEMONS];

inline adopt(d, offered) {
	v = own[d];
#ifdef DOWNWARD
	own[d] = offered;
#else
	if
	:: offered > own[d] -> own[d] = offered
	:: else
	fi;
#endif
	assert(own[d] >= v);
	assert(own[d] <= accepted);
	if
	:: reader(d) && own[d] > known[d] -> known[d] = own[d]
	:: else
	fi;
	v = 0
}

/* Any revision lower than the accepted one, 0 for an empty store. */
inline pick_old(v) {
	v = 0;
	do
	:: v + 1 < accepted -> v++
	:: break
	od
}

proctype daemon(byte d) {
	byte v;
end:
	do
#ifndef CHECK_OFF
	:: atomic { reader(d) && known[d] < accepted && !store_cut[home(d)] ->
		known[d] = accepted
	   }
#endif
	:: atomic { known[d] > own[d] && !read[d] && !store_cut[home(d)] ->
		if
		:: read[d] = accepted + 1
		:: old_reads > 0 -> old_reads--; pick_old(v); read[d] = v + 1; v = 0
		fi
	   }
	:: atomic { read[d] -> adopt(d, read[d] - 1); read[d] = 0 }
#ifndef PULL_OFF
	:: atomic { !pulled[d] && (higher(d, 0) || higher(d, 1) || higher(d, 2)) ->
		if
		:: higher(d, 0) -> pulled[d] = own[0] + 1
		:: higher(d, 1) -> pulled[d] = own[1] + 1
		:: higher(d, 2) -> pulled[d] = own[2] + 1
		fi
	   }
	:: atomic { pulled[d] -> adopt(d, pulled[d] - 1); pulled[d] = 0 }
#endif
	od
}

proctype operator() {
	byte d;
end:
	do
	:: atomic { accepted < REVISIONS ->
		accepted++;
		for (d : 0 .. DAEMONS - 1) {
			if
			:: reader(d) && !store_cut[home(d)] -> known[d] = accepted /* event */
			:: true /* event lost, or late and then no better than a check */
			fi
		}
		d = 0
	   }
	od
}

inline restart(d) {
	own[d] = 0;
	known[d] = 0;
	read[d] = 0;
	pulled[d] = 0
}

proctype faults() {
	byte d;
end:
	do
	:: atomic { restarts > 0 -> restarts--; select(d : 0 .. DAEMONS - 1); restart(d); d = 0 }
	:: atomic { cuts > 0 -> cuts--;
		if
		:: store_cut[0] = 1
		:: store_cut[1] = 1
		:: between = 1
		:: store_cut[0] = 1; between = 1
		fi
	   }
	:: atomic { store_cut[0] -> store_cut[0] = 0 }
	:: atomic { store_cut[1] -> store_cut[1] = 0 }
	:: atomic { between -> between = 0 }
	od
}

proctype rest() {
	timeout;
	assert(own[0] == accepted && own[1] == accepted && own[2] == accepted)
}

init {
	atomic {
		run daemon(0);
		run daemon(1);
		run daemon(2);
		run operator();
		run faults();
		run rest()
	}
}
