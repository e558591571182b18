/* The lease part.  Time advances in ticks, which are the same for every server.
   The difference between the election time and the lease is the margin for the
   clock-rate error.  */

#ifndef LEASE_TICKS
#define LEASE_TICKS 2
#endif
#ifndef ELECTION_TICKS
#define ELECTION_TICKS 3
#endif

byte quiet[SERVERS]; /* ticks left without a vote or candidacy of the server */
byte lease[SERVERS]; /* ticks left of the leader's lease */
byte age[SERVERS];   /* ticks since the last heartbeat was sent */
byte acked[SERVERS]; /* servers that have answered that one, one bit each */
#ifdef STEPS
byte step[TERMS + 1]; /* 1: the leader of the term has issued a step */
byte acted;           /* term of the last step that the receiver acted on */
#endif

#ifdef MUT_VOTE_EARLY
#define QUIET(s) false
#else
#define QUIET(s) (quiet[s] > 0 || lease[s] > 0)
#endif

/* The lease is counted from the sending of the heartbeat.  */
#ifdef MUT_LEASE_FROM_ANSWER
#define LEASE_LEFT(s) LEASE_TICKS
#else
#define LEASE_LEFT(s) (LEASE_TICKS - age[s])
#endif

#ifdef MUT_NO_FENCE
#define MAY_ACT(t) true
#else
#define MAY_ACT(t) (t >= acted)
#endif

/* S gives up its lease.  */
inline retire (s)
{
  lease[s] = 0;
  age[s] = 0;
  acked[s] = 0
}

active [SERVERS] proctype server ()
{
  byte o;

  FIRST_CANDIDATE;
  do
  :: d_step { role[_pid] != LEADER && term[_pid] < TERMS && !QUIET (_pid) -> stand (_pid) }
  :: atomic { select (o : 0 .. SERVERS - 1);
       d_step {
         if
         :: o != _pid && role[o] == CANDIDATE && FREE_TO_VOTE (_pid, o) && !QUIET (_pid) ->
            grant (_pid, o);
            retire (_pid)
         :: else
         fi;
         o = 0
       }
     }
  :: d_step { role[_pid] == CANDIDATE && MAJORITY (votes[_pid], ALL) -> win (_pid) }

  /* Heartbeat and its answers, which can take any time.  */
  :: d_step { role[_pid] == LEADER -> age[_pid] = 0; acked[_pid] = 1 << _pid }
  :: atomic { select (o : 0 .. SERVERS - 1);
       d_step {
         if
         :: o != _pid && role[o] == LEADER && acked[o] != 0 && term[o] >= term[_pid] ->
            follow (_pid, term[o]);
            retire (_pid);
            quiet[_pid] = ELECTION_TICKS;
            acked[o] = acked[o] | (1 << _pid)
         :: else
         fi;
         o = 0
       }
     }
  :: d_step { role[_pid] == LEADER && MAJORITY (acked[_pid], ALL) && LEASE_LEFT (_pid) > 0 ->
       lease[_pid] = (lease[_pid] > LEASE_LEFT (_pid) -> lease[_pid] : LEASE_LEFT (_pid));
       /* Every server with a lease accepts proposals.  */
       for (o : 0 .. SERVERS - 1) {
         assert (o == _pid || lease[o] == 0) /* OVERLAP */
       }
       o = 0
     }

#ifdef STEPS
  /* A step is issued only with a lease, but can arrive much later.  */
  :: d_step { role[_pid] == LEADER && lease[_pid] > 0 -> step[term[_pid]] = 1 }
#endif

  /* Restart.  */
  :: d_step { role[_pid] != FOLLOWER || quiet[_pid] > 0 ->
       resign (_pid);
       retire (_pid);
#ifdef MUT_RESTART_VOTES
       quiet[_pid] = 0
#else
       /* The timer is not durable, so it starts again with its full time.  */
       quiet[_pid] = ELECTION_TICKS
#endif
     }
  od
}

active proctype clock ()
{
  byte i;

  do
  :: d_step {
       for (i : 0 .. SERVERS - 1) {
         quiet[i] = (quiet[i] > 0 -> quiet[i] - 1 : 0);
         lease[i] = (lease[i] > 0 -> lease[i] - 1 : 0);
         age[i] = (role[i] == LEADER && age[i] < LEASE_TICKS -> age[i] + 1 : age[i])
       }
       i = 0
     }
  od
}

#ifdef STEPS
active proctype receiver ()
{
  byte t;

  do
  :: atomic { select (t : 1 .. TERMS);
       if
       :: step[t] == 1 && MAY_ACT (t) ->
          assert (t >= acted); /* FENCED */
          acted = t
       :: else
       fi;
       t = 0
     }
  od
}

#endif
