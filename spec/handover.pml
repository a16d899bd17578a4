/*
 * Handoff of one shard of a request to the daemons that own the shard.
 *
 * The root sends the request to the first owner, which acknowledges it and asks
 * a target. After the acknowledgement the root sends a permission to this owner
 * and asks nobody else. Only with this permission may the owner ask a second
 * target. If an owner does not acknowledge in time, the root withdraws the
 * request and sends it to the next owner, or asks a target itself. Messages in
 * one direction are delivered in order and with any delay. A link may break at
 * any time, which loses all messages in flight.
 *
 * Properties:
 *   at most two targets execute the request;
 *   if the root has told its caller that the request was not executed, no target
 *     has executed it or ever will.
 *
 * Mutants, each of which must be rejected:
 *   RETRY_WITHOUT_PERMISSION    an owner asks a second target without permission
 *   UNACKNOWLEDGED_NOT_COUNTED  the root assumes that an owner that did not
 *                               acknowledge has not asked a target
 *   CONTINUE_AFTER_PERMISSION   the root sends the permission and goes on asking
 *   SECOND_OWNER_UNLIMITED      the second owner may ask two targets
 *   NOT_EXECUTED_TOO_EARLY      the root reports that nothing was executed while
 *                               an owner may have asked a target
 */
// mutants: RETRY_WITHOUT_PERMISSION UNACKNOWLEDGED_NOT_COUNTED CONTINUE_AFTER_PERMISSION SECOND_OWNER_UNLIMITED NOT_EXECUTED_TOO_EARLY
// bounds: 1 shard, 2 owners, 2 attempts, any delays, each link breaks once at any time

#define OWNERS 2
#define ATTEMPTS 2

mtype = { request, permission, withdrawal, acknowledgement };

/* Messages to each owner, with the number of targets that it may ask, and back. */
chan to[OWNERS] = [3] of { mtype, byte };
chan back[OWNERS] = [1] of { mtype };
bit broken[OWNERS];

byte executions;            /* targets that were asked, each of which executes the request */
bit reported_not_executed;         /* the caller was told: not executed */

inline execute() {
  executions++;
  assert(executions <= ATTEMPTS);
  assert(!reported_not_executed)
}

proctype owner(byte id) {
  byte allowed, asked;
  bit permitted;
  do
  :: atomic { to[id] ? request, allowed -> if :: !broken[id] -> back[id] ! acknowledgement :: else fi }
     /* The owner asks a target at once, unless the withdrawal is already there. */
     if
     :: atomic { !(to[id] ? [withdrawal, _]) -> execute(); asked++ }
     :: to[id] ? [withdrawal, _]
     fi
  :: to[id] ? permission, _ -> permitted = 1
  :: to[id] ? withdrawal, _ -> break
#ifdef RETRY_WITHOUT_PERMISSION
  :: atomic { asked == 1 && allowed > asked -> execute(); asked++ }
#else
  :: atomic { asked == 1 && allowed > asked && permitted -> execute(); asked++ }
#endif
  :: broken[id] && empty(to[id]) -> break
  :: timeout -> break
  od
}

/* The link to an owner may break: messages in flight are lost, and no more are
 * delivered. The owner may still act on the messages that it has received. */
proctype link_failure(byte owner_id) {
  byte any;
  mtype kind;
  if
  :: atomic {
       broken[owner_id] = 1;
       do
       :: to[owner_id] ? kind, any
       :: back[owner_id] ? kind
       :: empty(to[owner_id]) && empty(back[owner_id]) -> break
       od
     }
  :: skip
  fi
}

#define send_unless_broken(owner_id, kind, n) if :: !broken[owner_id] -> to[owner_id] ! kind, n :: else fi

active proctype root() {
  byte possible_executions, next, limit;
  bit sent, permission_sent;
  run owner(0);
  run owner(1);
  run link_failure(0);
  run link_failure(1);
  do
  :: permission_sent || possible_executions >= ATTEMPTS || next >= OWNERS -> break
  :: else ->
     limit = ATTEMPTS;
#ifndef SECOND_OWNER_UNLIMITED
     if :: next > 0 -> limit = 1 :: else fi;
#endif
     if
     :: atomic { broken[next] -> skip }            /* certainly not sent */
     :: atomic { !broken[next] -> to[next] ! request, limit; sent = 1;
#ifndef UNACKNOWLEDGED_NOT_COUNTED
          possible_executions++
#endif
        }
        if
        :: atomic { back[next] ? acknowledgement -> send_unless_broken(next, permission, 0);
#ifndef CONTINUE_AFTER_PERMISSION
             permission_sent = 1
#endif
           }
        :: atomic { send_unless_broken(next, withdrawal, 0) }    /* no acknowledgement in time */
        fi
     fi;
     next++
  od;
  /* The root asks a target itself. */
  if
  :: atomic { !permission_sent && possible_executions < ATTEMPTS -> execute(); possible_executions++; sent = 1 }
  :: skip
  fi;
  /* If nothing was sent, the caller is told that the request was not executed. */
  if
#ifdef NOT_EXECUTED_TOO_EARLY
  :: atomic { !permission_sent -> reported_not_executed = 1; assert(executions == 0) }
#else
  :: atomic { !sent -> reported_not_executed = 1; assert(executions == 0) }
#endif
  :: else -> skip
  fi
}
