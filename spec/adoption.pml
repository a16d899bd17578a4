/*
 * Adoption of configurations by the daemons.
 *
 * The store holds the accepted revision, which operators raise. One daemon of
 * each data centre reads the store. It learns of a change by a watch event,
 * which may be lost, or by a periodic check, and then reads the configuration.
 * Every daemon also pulls from a reachable peer that has a higher revision.
 * Replies to reads and pulls may arrive late and in any order, after the daemon
 * has adopted another revision. A read may return an older state of the store.
 * Data centres may be partitioned from the store and from each other, and
 * daemons restart without any configuration.
 *
 * A check or pull that brings nothing new changes no state. The model leaves it
 * out, so that the system can come to rest. The number of faults is bounded and
 * every partition heals, so the system comes to rest fully connected.
 *
 * Properties:
 *   the revision in force never decreases while a daemon runs;
 *   a daemon never adopts a revision that was not accepted;
 *   at rest every daemon has the last accepted revision in force;
 *   the system always comes to rest (no cycle).
 *
 * Mutants, each of which must be rejected:
 *   ADOPT_LOWER  a daemon also adopts a revision lower than its own
 *   CHECK_OFF    readers rely on watch events alone
 *   PULL_OFF     daemons do not pull from peers
 */
// mutants: ADOPT_LOWER CHECK_OFF PULL_OFF
// bounds: 3 daemons in 2 data centres, 3 revisions, 1 stale read, 1 restart, 2 partitions, any watch events lost
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
#ifndef PARTITIONS
#define PARTITIONS 2
#endif

#define DAEMONS 3
#define data_centre(daemon_id)   ((daemon_id) / 2)        /* daemons 0 and 1 are in data centre 0 */
#define reads_store(daemon_id) ((daemon_id) != 1)       /* one daemon of each data centre */
#define can_reach(daemon_id, peer) (data_centre(daemon_id) == data_centre(peer) || !dcs_partitioned)
#define can_pull_from(daemon_id, peer)  ((daemon_id) != (peer) && in_force[peer] > in_force[daemon_id] && can_reach(daemon_id, peer))

/* Store, and the numbers of faults that are left. */
byte accepted = 1;
byte old_reads = OLD_READS, restarts = RESTARTS, partitions = PARTITIONS;

/* Partitions in force: of each data centre from the store, and of the data
 * centres from each other. */
bit store_partitioned[2];
bit dcs_partitioned;

/* Daemons. A reply in flight is stored as its revision plus one; 0 means none. */
byte in_force[DAEMONS];
byte known[DAEMONS];   /* highest revision that a reader knows of */
byte read_reply[DAEMONS];
byte pull_reply[DAEMONS];

inline adopt(daemon_id, offered) {
	value = in_force[daemon_id];
#ifdef ADOPT_LOWER
	in_force[daemon_id] = offered;
#else
	if
	:: offered > in_force[daemon_id] -> in_force[daemon_id] = offered
	:: else
	fi;
#endif
	assert(in_force[daemon_id] >= value);
	assert(in_force[daemon_id] <= accepted);
	if
	:: reads_store(daemon_id) && in_force[daemon_id] > known[daemon_id] -> known[daemon_id] = in_force[daemon_id]
	:: else
	fi;
	value = 0
}

/* Sets value to any revision below the accepted one; 0 stands for an empty store. */
inline pick_older_revision(value) {
	value = 0;
	do
	:: value + 1 < accepted -> value++
	:: break
	od
}

proctype daemon(byte daemon_id) {
	byte value;
end:
	do
#ifndef CHECK_OFF
	:: atomic { reads_store(daemon_id) && known[daemon_id] < accepted && !store_partitioned[data_centre(daemon_id)] ->
		known[daemon_id] = accepted
	   }
#endif
	:: atomic { known[daemon_id] > in_force[daemon_id] && !read_reply[daemon_id] && !store_partitioned[data_centre(daemon_id)] ->
		if
		:: read_reply[daemon_id] = accepted + 1
		:: old_reads > 0 -> old_reads--; pick_older_revision(value); read_reply[daemon_id] = value + 1; value = 0
		fi
	   }
	:: atomic { read_reply[daemon_id] -> adopt(daemon_id, read_reply[daemon_id] - 1); read_reply[daemon_id] = 0 }
#ifndef PULL_OFF
	:: atomic { !pull_reply[daemon_id] && (can_pull_from(daemon_id, 0) || can_pull_from(daemon_id, 1) || can_pull_from(daemon_id, 2)) ->
		if
		:: can_pull_from(daemon_id, 0) -> pull_reply[daemon_id] = in_force[0] + 1
		:: can_pull_from(daemon_id, 1) -> pull_reply[daemon_id] = in_force[1] + 1
		:: can_pull_from(daemon_id, 2) -> pull_reply[daemon_id] = in_force[2] + 1
		fi
	   }
	:: atomic { pull_reply[daemon_id] -> adopt(daemon_id, pull_reply[daemon_id] - 1); pull_reply[daemon_id] = 0 }
#endif
	od
}

proctype operator() {
	byte daemon_id;
end:
	do
	:: atomic { accepted < REVISIONS ->
		accepted++;
		for (daemon_id : 0 .. DAEMONS - 1) {
			if
			:: reads_store(daemon_id) && !store_partitioned[data_centre(daemon_id)] -> known[daemon_id] = accepted /* event */
			:: true /* the event is lost, or so late that it equals a check */
			fi
		}
		daemon_id = 0
	   }
	od
}

inline restart(daemon_id) {
	in_force[daemon_id] = 0;
	known[daemon_id] = 0;
	read_reply[daemon_id] = 0;
	pull_reply[daemon_id] = 0
}

proctype faults() {
	byte daemon_id;
end:
	do
	:: atomic { restarts > 0 -> restarts--; select(daemon_id : 0 .. DAEMONS - 1); restart(daemon_id); daemon_id = 0 }
	:: atomic { partitions > 0 -> partitions--;
		if
		:: store_partitioned[0] = 1
		:: store_partitioned[1] = 1
		:: dcs_partitioned = 1
		:: store_partitioned[0] = 1; dcs_partitioned = 1
		fi
	   }
	:: atomic { store_partitioned[0] -> store_partitioned[0] = 0 }
	:: atomic { store_partitioned[1] -> store_partitioned[1] = 0 }
	:: atomic { dcs_partitioned -> dcs_partitioned = 0 }
	od
}

proctype check_at_rest() {
	timeout;
	assert(in_force[0] == accepted && in_force[1] == accepted && in_force[2] == accepted)
}

init {
	atomic {
		run daemon(0);
		run daemon(1);
		run daemon(2);
		run operator();
		run faults();
		run check_at_rest()
	}
}
