/* Model of the at-most-once execution of the requests with one key: claims,
   seals, records, members that lose their memory, and several attempts (design
   chapter 6.3).

   Messages are not removed when they are received: each can be received never,
   once or many times, in any order.  The model therefore needs no channels,
   and a paused attempt is one that makes no step for a while.

   Invariants:
     ONCE     a request with the key runs at most once
     NOT_RUN  after the answer not-run it has not run and never will

   Each MUT_ macro disables one rule of the protocol.  */

#ifndef MEMBERS
#define MEMBERS 3
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#define QUORUM (MEMBERS / 2 + 1)

/* State of the key at a member; HELD + a: claimed by attempt a.  */
#define FREE 0
#define SEALED 1
#define DONE 2
#define HELD 3

mtype = { CLAIMING, OWNING, FLIGHT, SEALING, RECORDING, ENDED };

byte key[MEMBERS];
bool abstains[MEMBERS]; /* has another incarnation, or too old a generation */
mtype phase[ATTEMPTS] = CLAIMING;
byte granted[ATTEMPTS]; /* members that granted the claim, one bit each */
byte sealed[ATTEMPTS];
bool outcome[ATTEMPTS]; /* a member answered with the outcome */
bool seals[ATTEMPTS];   /* seal and record messages that were sent */
bool records[ATTEMPTS];
bool pending[ATTEMPTS]; /* the request was sent to a server and can still run */
byte runs;
bool not_run;

#define BITS(x) (((x) & 1) + ((x) >> 1 & 1) + ((x) >> 2 & 1))

#ifdef MUT_FORWARD_MINORITY
#define MAY_FORWARD(a) (granted[a] != 0)
#else
#define MAY_FORWARD(a) (BITS (granted[a]) >= QUORUM)
#endif

#ifdef MUT_SEAL_MINORITY
#define PROVED(a) (sealed[a] != 0)
#elif defined(MUT_NO_SEAL)
#define PROVED(a) (seals[a])
#else
#define PROVED(a) (BITS (sealed[a]) >= QUORUM)
#endif

#ifdef MUT_SEAL_TAKEN
#define MAY_SEAL(m, a) (key[m] == FREE || key[m] >= HELD)
#else
#define MAY_SEAL(m, a) (key[m] == FREE || key[m] == HELD + a)
#endif

#ifdef MUT_GRANT_SEALED
#define MAY_GRANT(m, a) (key[m] == FREE || key[m] == HELD + a || key[m] == SEALED)
#elif defined(MUT_GRANT_TAKEN)
#define MAY_GRANT(m, a) (key[m] == FREE || key[m] >= HELD)
#else
#define MAY_GRANT(m, a) (key[m] == FREE || key[m] == HELD + a)
#endif

#ifdef MUT_SEAL_FLIGHT
#define MAY_GIVE_UP(a) (phase[a] == CLAIMING || phase[a] == OWNING || phase[a] == FLIGHT)
#else
#define MAY_GIVE_UP(a) (phase[a] == CLAIMING || phase[a] == OWNING)
#endif

inline check ()
{
#ifndef SKIP_ONCE
  assert (runs <= 1); /* ONCE */
#endif
#ifndef SKIP_NOT_RUN
  assert (!not_run || runs == 0); /* NOT_RUN */
#endif
}

inline execute (a)
{
  pending[a] = false;
  runs++;
  check ();
}

proctype member (byte m)
{
  byte a;

  do
  /* A restart, which loses the memory, or the expiry of the key.  */
  :: atomic { !abstains[m] ->
       key[m] = FREE;
#ifndef MUT_INCARNATION
       abstains[m] = true
#endif
     }
  :: atomic { !abstains[m] ->
       select (a : 0 .. ATTEMPTS - 1);
       if
       /* Claim.  */
       :: MAY_GRANT (m, a) -> key[m] = HELD + a; granted[a] = granted[a] | (1 << m)
       :: key[m] == SEALED -> sealed[a] = sealed[a] | (1 << m)
       /* Seal.  */
       :: seals[a] && MAY_SEAL (m, a) -> key[m] = SEALED; sealed[a] = sealed[a] | (1 << m)
       /* Record.  It also replaces a claim or seal that only a minority has.  */
       :: records[a] -> key[m] = DONE
       :: key[m] == DONE -> outcome[a] = true
       :: else
       fi;
       a = 0
     }
  od
}

proctype attempt (byte a)
{
  do
  :: atomic { phase[a] == CLAIMING && MAY_FORWARD (a) -> phase[a] = OWNING }
  :: atomic { phase[a] == OWNING -> phase[a] = FLIGHT; pending[a] = true }
  /* Gives up: no quorum, no capacity, or the deadline is near.  */
  :: atomic { MAY_GIVE_UP (a) -> phase[a] = SEALING; seals[a] = true }
  /* Three results of a forwarded request: the server runs it and answers; the
     server proves that it did not run it; the connection is lost, and the
     request can still run.  */
  :: atomic { phase[a] == FLIGHT -> execute (a); phase[a] = RECORDING; records[a] = true }
  :: atomic { phase[a] == FLIGHT -> pending[a] = false; phase[a] = OWNING }
  :: atomic { phase[a] == FLIGHT ->
#ifdef MUT_RETRY
              phase[a] = OWNING
#else
              phase[a] = RECORDING; records[a] = true
#endif
     }
  :: atomic { pending[a] && phase[a] != FLIGHT -> execute (a) }
  /* The attempt answers its caller.  */
  :: atomic { (phase[a] == CLAIMING || phase[a] == SEALING) && PROVED (a) ->
              phase[a] = ENDED; not_run = true; check () }
  :: atomic { (phase[a] == CLAIMING || phase[a] == SEALING) && outcome[a] ->
              phase[a] = ENDED }
  od
}

init
{
  byte i;

  atomic {
    for (i : 0 .. MEMBERS - 1) { run member (i) }
    for (i : 0 .. ATTEMPTS - 1) { run attempt (i) }
    i = 0
  }
}
