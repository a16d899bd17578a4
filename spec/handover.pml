/*
 * Handing a shard of a request to the daemons that own it.
 *
 * The root sends the request to the first owner, which acknowledges it and asks a
 * target. Once the root has taken the acknowledgement in, it says so and goes
 * nowhere else; only then may the owner ask a second target. An owner that does
 * not acknowledge in time is given up: the request is withdrawn and goes to the
 * next owner, or the root asks a target itself. Messages of each direction keep
 * their order; they are delayed for any time, and the link may break at any time,
 * which loses all that is under way.
 *
 * Properties:
 *   the request runs on two targets at most;
 *   if the root has told its caller that the request was not run, it never runs.
 *
 * Mutants, each of which must be rejected:
 *   UNASKED     an owner asks a second target without the root's word
 *   UNCOUNTED   an owner without acknowledgement counts as not having run it
 *   GOES_ON     the root gives its word and goes elsewhere as well
 *   LOOSE       the second owner may ask two targets
 *   HASTY       the root promises that nothing ran while an owner may have
 */
// mutants: UNASKED UNCOUNTED GOES_ON LOOSE HASTY
// bounds: 1 shard, 2 owners, 2 attempts, any delays, each link breaks once at any time

#define OWNERS 2
#define ATTEMPTS 2

mtype = { request, word, withdrawal, acknowledgement };

/* Messages to each owner with the targets that it may ask, and back. */
chan to[OWNERS] = [3] of { mtype, byte };
chan back[OWNERS] = [1] of { mtype };
bit broken[OWNERS];

byte runs;            /* targets that were asked */
bit promised;         /* the caller was told that the request was not run */

inline run_once() {
  runs++;
  assert(runs <= ATTEMPTS);
  assert(!promised)
}

proctype owner(byte me) {
  byte may, asked;
  bit counted;
  do
  :: atomic { to[me] ? request, may -> if :: !broken[me] -> back[me] ! acknowledgement :: else fi }
     /* The target is asked at once, or the withdrawal comes first. */
     if
     :: atomic { !(to[me] ? [withdrawal, _]) -> run_once(); asked++ }
     :: to[me] ? [withdrawal, _]
     fi
  :: to[me] ? word, _ -> counted = 1
  :: to[me] ? withdrawal, _ -> break
#ifdef UNASKED
  :: atomic { asked == 1 && may > asked -> run_once(); asked++ }
#else
  :: atomic { asked == 1 && may > asked && counted -> run_once(); asked++ }
#endif
  :: broken[me] && empty(to[me]) -> break
  :: timeout -> break
  od
}

/* The link to an owner may break: what is under way is lost, and nothing more
 * passes. The owner goes on for a while with what it has. */
proctype breaker(byte o) {
  byte any;
  mtype kind;
  if
  :: atomic {
       broken[o] = 1;
       do
       :: to[o] ? kind, any
       :: back[o] ? kind
       :: empty(to[o]) && empty(back[o]) -> break
       od
     }
  :: skip
  fi
}

#define pass(o, kind, n) if :: !broken[o] -> to[o] ! kind, n :: else fi

active proctype root() {
  byte ran, next, limit;
  bit sent, settled;
  run owner(0);
  run owner(1);
  run breaker(0);
  run breaker(1);
  do
  :: settled || ran >= ATTEMPTS || next >= OWNERS -> break
  :: else ->
     limit = ATTEMPTS;
#ifndef LOOSE
     if :: next > 0 -> limit = 1 :: else fi;
#endif
     if
     :: atomic { broken[next] -> skip }            /* known not to be sent */
     :: atomic { !broken[next] -> to[next] ! request, limit; sent = 1;
#ifndef UNCOUNTED
          ran++
#endif
        }
        if
        :: atomic { back[next] ? acknowledgement -> pass(next, word, 0);
#ifndef GOES_ON
             settled = 1
#endif
           }
        :: atomic { pass(next, withdrawal, 0) }    /* given up */
        fi
     fi;
     next++
  od;
  /* The root asks a target itself. */
  if
  :: atomic { !settled && ran < ATTEMPTS -> run_once(); ran++; sent = 1 }
  :: skip
  fi;
  /* Without any attempt the caller is told that the request was not run. */
  if
#ifdef HASTY
  :: atomic { !settled -> promised = 1; assert(runs == 0) }
#else
  :: atomic { !sent -> promised = 1; assert(runs == 0) }
#endif
  :: else -> skip
  fi
}
